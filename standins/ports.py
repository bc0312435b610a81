"""Ports for processes that are started later.

A port in the range of outgoing connections could be taken by one of them
before its process binds it, and two test processes could choose the same
port. The ports are therefore below that range, in blocks that belong to one
process each.
"""

import collections
import os
import socket
import threading

__all__ = ['FIRST_PORT', 'LAST_PORT', 'PortAllocator', 'free_ports']

HOST = '127.0.0.1'
FIRST_PORT = 12_000
LAST_PORT = 32_000
BLOCK_PORTS = 100


class PortAllocator:
    """Returns ports of blocks that no other process uses.

    Attributes:
        ports: Ports of this process's blocks, least recently returned first.
        guards: Sockets bound to the first port of each block, which show
            other processes that it is in use.
    """

    def __init__(self) -> None:
        self.ports: collections.deque[int] = collections.deque()
        self.guards: list[socket.socket] = []
        self.lock = threading.Lock()

    def free_ports(self, count: int) -> list[int]:
        """Return ports that no process has bound.

        Raises:
            OSError: If all blocks are in use.
        """
        found: list[int] = []
        tried = 0
        with self.lock:
            while len(found) < count:
                if tried == len(self.ports):
                    self._claim_block()
                port = self.ports.popleft()
                self.ports.append(port)
                tried += 1
                if _is_free(port):
                    found.append(port)
        return found

    def reset(self) -> None:
        """Release all blocks."""
        for guard in self.guards:
            guard.close()
        self.guards.clear()
        self.ports.clear()

    def _claim_block(self) -> None:
        for first in range(FIRST_PORT, LAST_PORT, BLOCK_PORTS):
            guard = socket.socket()
            try:
                guard.bind((HOST, first))
            except OSError:
                guard.close()
                continue
            self.guards.append(guard)
            block = range(first + 1, first + BLOCK_PORTS)
            self.ports.extendleft(reversed(block))
            return
        raise OSError('no block of ports is free; end other test processes')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


_allocator = PortAllocator()
# A forked process must not use the blocks of its parent.
os.register_at_fork(after_in_child=_allocator.reset)


def free_ports(count: int) -> list[int]:
    """Return unused ports that no other process is given."""
    return _allocator.free_ports(count)
