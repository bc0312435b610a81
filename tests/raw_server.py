"""Server that sends fixed bytes to each connection and closes it."""

import contextlib
import socket
import threading

__all__ = ['RawServer']


class RawServer:
    """Answers the first bytes of each connection with fixed bytes.

    Args:
        answer: The bytes to send.
        repeated: What is sent after them until the peer closes, if anything.

    Attributes:
        address: ``IP:port`` of the server.
        received: First bytes of each connection.
    """

    def __init__(self, answer, repeated=b''):
        self.answer = answer
        self.repeated = repeated
        self.received = []
        self.listener = socket.create_server(('127.0.0.1', 0))
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self):
        """Stop accepting connections."""
        with contextlib.suppress(OSError):
            # Wakes the accepting thread; Linux reports an error for it.
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _serve(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                self.received.append(connection.recv(65_536))
                connection.sendall(self.answer)
                with contextlib.suppress(OSError):
                    while self.repeated:
                        connection.sendall(self.repeated)
