"""Check whether an engine that broke off requests has crashed.

An engine may reset single connections, because it has too many of them or
fails some requests. If a new connection to it is refused, no process
listens on its address any more.
"""

import collections.abc
import errno

from eelgrassknot.forwarding import connection as connections
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import model
from eelgrassknot import logs

__all__ = ['CrashChecks']

TIMEOUT_MS = 600.0
"""Time after which an engine that does not respond counts as unreachable,
which is no evidence of a crash; ms. Ten round trips between regions."""

DELAY_MS = 50.0
"""Delay before a connection is opened; ms. A process that ends closes its
sockets one after the other."""
OPEN_MS = 150.0
"""Time for which a connection must stay open; ms. The kernel also accepts
connections for a process that is ending, and resets them then."""
MAX_TRIES = 3
"""Maximum number of connections. One that ends shows nothing: the engine may
be ending, or have too many connections."""

Callback = collections.abc.Callable[[], None]


class CrashChecks:
    """Checks engines, each of them once at a time.

    Args:
        loop: Event loop that serves the connections.

    Attributes:
        pending: Checks in progress by upstream and its start.
    """

    def __init__(self, loop: loops.EventLoop) -> None:
        self.loop = loop
        self.pending: dict[str, _Check] = {}

    def check(self, upstream: model.Upstream, on_crash: Callback) -> None:
        """Call back if an engine has crashed, otherwise never.

        Args:
            upstream: The engine.
            on_crash: Called once its address refuses connections.
        """
        found = self.pending.get(upstream.incarnation)
        if found is None:
            found = _Check(self, upstream)
            self.pending[upstream.incarnation] = found
        found.callbacks.append(on_crash)


class _Check(connections.Handler):
    """Connections that are opened to see whether they are refused."""

    def __init__(self, checks: CrashChecks, upstream: model.Upstream) -> None:
        self.checks = checks
        self.upstream = upstream
        self.callbacks: list[Callback] = []
        self.tries = 0
        self.connection: connections.Connection | None = None
        self.timer = checks.loop.call_later(DELAY_MS, self._connect)

    def connected(self) -> None:
        """Wait for the end of a connection that was accepted."""
        self.timer.cancel()
        self.timer = self.checks.loop.call_later(OPEN_MS, self._stays_open)

    def ended(self, error: OSError | None) -> None:
        """Handle a connection that was refused or has failed."""
        self.timer.cancel()
        code = error.errno if error is not None else None
        if code == errno.ECONNREFUSED:
            self._finish('refused', True)
        elif self.tries < MAX_TRIES:
            self.timer = self.checks.loop.call_later(DELAY_MS, self._connect)
        else:
            self._finish(errno.errorcode.get(code, 'closed'), False)

    def _connect(self) -> None:
        self.tries += 1
        self.timer = self.checks.loop.call_later(TIMEOUT_MS, self._timed_out)
        self.connection = connections.Connection.opened(
            self.checks.loop, self.upstream.address, self
        )

    def _stays_open(self) -> None:
        self._finish('accepted', False)

    def _timed_out(self) -> None:
        self._finish('timeout', False)

    def _finish(self, found: str, has_crashed: bool) -> None:
        if self.checks.pending.pop(self.upstream.incarnation, None) is None:
            return
        self.timer.cancel()
        self.connection.close()
        logs.event(
            'engine_checked',
            upstream=self.upstream.upstream,
            found=found,
            tries=self.tries,
            requests=len(self.callbacks),
        )
        if has_crashed:
            for callback in self.callbacks:
                callback()
