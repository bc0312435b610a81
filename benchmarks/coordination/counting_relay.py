"""TCP relay that counts the forwarded bytes."""

import socket
import threading

__all__ = ['CountingRelay']

CHUNK_BYTES = 65_536


class CountingRelay:
    """Forwards bytes between clients and one target.

    Args:
        target: ``IP:port`` of the target.

    Attributes:
        address: Address on which the relay listens.
        byte_count: Number of bytes forwarded in both directions.
    """

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(':', 1)
        self.target = (host, int(port))
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=512)
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        self.byte_count = 0
        self.lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            server = socket.create_connection(self.target)
            for ends in ((client, server), (server, client)):
                threading.Thread(
                    target=self._forward, args=ends, daemon=True
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                with self.lock:
                    self.byte_count += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return
