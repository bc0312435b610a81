"""TCP relay that can silently stop forwarding on its connections."""

import socket
import threading

__all__ = ['SilentRelay']

CHUNK_BYTES = 65_536


class SilentRelay:
    """Forwards bytes until ``silence`` blocks the open connections.

    Connections opened later work, and no connection is closed, as if a
    middlebox had lost its state for the earlier ones.
    """

    def __init__(self, target):
        host, port = target.rsplit(':', 1)
        self.target = (host, int(port))
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        self.silenced = threading.Event()
        self.sockets = []
        self.accepted = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Stop forwarding on the open connections."""
        self.silenced.set()
        self.silenced = threading.Event()

    def close(self):
        """Close the listener and all connections."""
        for each in [self.listener, *self.sockets]:
            each.close()

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            far = socket.create_connection(self.target)
            self.sockets += [near, far]
            for ends in ((near, far), (far, near)):
                threading.Thread(
                    target=_pass, args=(*ends, self.silenced), daemon=True
                ).start()


def _pass(source, sink, silenced):
    try:
        while data := source.recv(CHUNK_BYTES):
            if not silenced.is_set():
                sink.sendall(data)
    except OSError:
        return
