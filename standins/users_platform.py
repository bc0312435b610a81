"""Stand-in of the users' platform: store, plain servers and engines.

They run in threads of the test process, so that a test can control them
directly; the entry VM under test is a separate process.
"""

import collections
import json
import threading
import time

from standins import users_http
from standins import users_store
from standins import users_upstream

__all__ = ['Platform', 'Upstream']

RESTART_DELAY_S = 0.3

Rows = dict[tuple[str, str], tuple[bytes, int]]


class Platform:
    """The store and all servers.

    Attributes:
        is_down: Whether the store answers 503.
        rows: Value and version of each row by table and key.
        state: Current desired state.
        runs: Number of executions of each request on all servers.
        run_times: Server and time of each execution, in s on the
            monotonic clock.
        answers_to_lose: Number of next calls that are executed without
            an answer.
        keeps_copies: Whether engines keep copies of the memory of runs.
        oldest_change: Version before which the change feed is discarded.
        timeline: Number of restorations of the store.
        store_calls: Number of calls that the store has received.
        crashes: Number of engines crashed by a prompt.
        is_stopped: Whether no more servers are started.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.is_down = False
        self.version = 0
        self.rows: Rows = {}
        self.state: dict = {}
        self.log: list[tuple[int, str, str, bytes | None]] = []
        self.runs: collections.Counter = collections.Counter()
        self.run_times: dict[str, list[tuple[str, float]]] = (
            collections.defaultdict(list)
        )
        self.answers_to_lose = 0
        self.keeps_copies = True
        self.oldest_change = 0
        self.timeline = 0
        self.store_calls = 0
        self.upstreams: dict[str, 'Upstream'] = {}
        self.copies: dict[tuple[str, str], str] = {}
        self.crashes = 0
        self.is_stopped = False
        self.server = users_http.Server(self, users_store.StoreHandler)

    @property
    def address(self) -> str:
        """Address of the store."""
        return self.server.address

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, or delete it if the value is None."""
        with self.lock:
            self._put(table, key, value)

    def _put(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        self.log.append((self.version, table, key, value))
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.version)

    def restore(
        self, version: int, rewritten: collections.abc.Collection[str] = ()
    ) -> None:
        """Return the store to an earlier version, as from a copy.

        Args:
            version: Version of the copy.
            rewritten: Tables whose rows their writers write again at once.
        """
        with self.lock:
            before = self._values(rewritten)
            self.timeline += 1
            self.version = version
            self.oldest_change = min(self.oldest_change, version)
            self.log = [entry for entry in self.log if entry[0] <= version]
            self.rows = {}
            for written, table, key, value in self.log:
                if value is None:
                    self.rows.pop((table, key), None)
                else:
                    self.rows[table, key] = (value, written)
            copied = self._values(rewritten)
            for place in sorted(before.keys() | copied.keys()):
                if before.get(place) != copied.get(place):
                    self._put(*place, before.get(place))

    def _values(
        self, tables: collections.abc.Collection[str]
    ) -> dict[tuple[str, str], bytes]:
        return {
            place: value
            for place, (value, _) in self.rows.items()
            if place[0] in tables
        }

    def put_state(self, document: dict) -> None:
        """Accept a desired state."""
        self.state = document
        self.put('op', 'config', json.dumps(document).encode())

    def start_upstream(
        self, name: str, service: str, port: int = 0, zone: str = 'z'
    ) -> 'Upstream':
        """Start a server and list it; port 0 selects a free port."""
        upstream = Upstream(self, name, service, port, zone)
        self.upstreams[upstream.address] = upstream
        upstream.publish_state('ready')
        return upstream

    def stop(self) -> None:
        """Stop the store and all servers."""
        with self.lock:
            self.is_stopped = True
            upstreams = list(self.upstreams.values())
        for upstream in upstreams:
            upstream.server.stop()
        self.server.stop()

    def record_run(self, request: str, upstream: str) -> None:
        """Record an execution of a request."""
        self.runs[request] += 1
        self.run_times[request].append((upstream, time.monotonic()))

    def changes(self, table: str, after: int) -> list[dict]:
        """Return the rows of a table that changed after a version."""
        with self.lock:
            newest: dict[str, int] = {}
            for version, changed, key, _ in self.log:
                if changed == table and version > after:
                    newest[key] = version
            return [
                users_store.row_document(
                    table, key, self.rows.get((table, key)), version
                )
                for key, version in newest.items()
            ]


class Upstream:
    """One server of a service.

    Attributes:
        faults: Faults of the next requests, in order: ``shed``, ``cut``,
            ``vanish`` (the connection closes before the answer), ``hang``
            (the request runs and is never answered), ``large`` (the
            answer exceeds the buffers of a socket), ``unframed``,
            ``refusal`` (the request is not run), ``repeat_refusal`` and
            ``unnamed_refusal`` (it runs, but an earlier refusal on the
            connection is sent first, the latter without an ID),
            ``extra`` (a second answer follows), ``forged`` (the answer
            lacks the server's stamp) or one of ``users_faults.FAULTS``.
        seen: Headers of the received requests.
        continuation_fault: Fault of all runs that continue from a copy.
        move_fault: Fault of all calls that copy the memory of a run.
        paused_after: Event after which streams wait until they are resumed,
            or None.
        connections: Number of accepted connections.
        limit_per_s: Request limit that all answers state, or None.
        is_leaving: Whether all answers say that the server is leaving.
        pause_s: Time that the server states when it turns a request away,
            or None if it takes requests.
        turned_away_s: When it turned each request away, on the monotonic
            clock.
        arrivals_s: Arrival of each request, on the monotonic clock.
        unended: Endless responses that the peer has not cut off.
        deadly_parts: Parts of prompts that crash the server when it
            begins to answer.
        crashes_before_head: Whether it crashes before the head of that
            answer, not after it.
        successor: Server that replaced this one after a crash, or None.
        cold_until_s: Until when it is cold, on the monotonic clock.
        cold_bound: Number of requests in one second above which it crashes
            while it is cold.
    """

    def __init__(
        self,
        platform: Platform,
        name: str,
        service: str,
        port: int,
        zone: str = 'z',
    ) -> None:
        self.platform = platform
        self.name = name
        self.service = service
        self.zone = zone
        self.faults: list[str] = []
        self.continuation_fault = ''
        self.move_fault = ''
        self.paused_after: int | None = None
        self.resumed = threading.Event()
        self.seen: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.connections = 0
        self.limit_per_s: float | None = None
        self.is_leaving = False
        self.pause_s: float | None = None
        self.turned_away_s: list[float] = []
        self.arrivals_s: list[float] = []
        self.unended: list[users_http.Handler] = []
        self.deadly_parts: set[str] = set()
        self.crashes_before_head = False
        self.successor: Upstream | None = None
        self.cold_until_s = 0.0
        self.cold_bound = 0
        self.broken = threading.Event()
        self.server = users_http.Server(
            self, users_upstream.UpstreamHandler, port
        )

    @property
    def address(self) -> str:
        """Address of the server."""
        return self.server.address

    @property
    def cold_left_ms(self) -> int:
        """How long it stays cold."""
        return max(0, round((self.cold_until_s - time.monotonic()) * 1_000))

    def turn_cold(self, duration_s: float, bound: int) -> None:
        """Be cold from now on.

        Args:
            duration_s: For how long; s.
            bound: Number of requests in one second that it survives.
        """
        self.cold_bound = bound
        self.cold_until_s = time.monotonic() + duration_s

    def is_overrun(self) -> bool:
        """Return whether it gets too many requests for a cold server."""
        now_s = time.monotonic()
        recent = sum(now_s - each < 1.0 for each in self.arrivals_s)
        return now_s < self.cold_until_s and recent > self.cold_bound

    def publish_state(self, state: str, address: str | None = None) -> None:
        """Write the server's entry, optionally with another address."""
        entry = {
            'service': self.service,
            'address': address or self.address,
            'zone': self.zone,
            'version': 'v1',
            'batchSlots': 8,
            'state': state,
            'warmupLeftMs': self.cold_left_ms,
            'born': 1,
        }
        self.platform.put('servers', self.name, json.dumps(entry).encode())

    def crash(self) -> None:
        """Close all connections and stop accepting new ones."""
        self.broken.set()
        self.server.close_connections()
        self.server.stop()
        self.server.close_connections()

    def is_deadly(self, prompt: str | None) -> bool:
        """Return whether a prompt crashes the server."""
        parts = {entry.split(':')[0] for entry in (prompt or '').split(',')}
        return not parts.isdisjoint(self.deadly_parts)

    def crash_and_restart(self) -> None:
        """Crash, and start anew with another name and address."""
        with self.platform.lock:
            if self.broken.is_set():
                return
            self.broken.set()
            self.platform.crashes += 1
        self.crash()
        timer = threading.Timer(RESTART_DELAY_S, self._restart)
        timer.daemon = True
        timer.start()

    def _restart(self) -> None:
        self.platform.put('servers', self.name, None)
        successor = Upstream(
            self.platform, f'{self.name}r', self.service, 0, self.zone
        )
        successor.deadly_parts = self.deadly_parts
        successor.crashes_before_head = self.crashes_before_head
        self.successor = successor
        with self.platform.lock:
            if self.platform.is_stopped:
                successor.server.stop()
                return
            self.platform.upstreams[successor.address] = successor
        successor.publish_state('ready')
