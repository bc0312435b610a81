"""Stand-in of the users' platform: its store, plain servers and engines.

They run as threads of the test, so that it can change what they do; the
entry VM under test is a process of its own.
"""

import base64
import collections
import collections.abc
import http.server
import json
import threading
import time
import urllib.parse

__all__ = ['Platform', 'Upstream', 'desired_state', 'entry_settings']

EVENT_INTERVAL_S = 0.02
STREAM_EVENTS = 40
FEED_POLL_S = 0.01

Rows = dict[tuple[str, str], tuple[bytes, int]]


def desired_state(version: int) -> dict:
    """Return a desired state with two plain routes and one for streams."""

    def route(name: str, kind: str, service: str, **more: object) -> dict:
        return {
            'name': name,
            'host': 'a.example',
            'prefix': f'/{name}/',
            'kind': kind,
            'timeoutMs': 5_000,
            'sloMs': 500,
            'priority': 1,
            'service': service,
            'maxAttempts': 2 if kind == 'safe' else 1,
            **more,
        }

    return {
        'version': version,
        'routes': [
            route('book', 'unsafe', 'desk'),
            route('look', 'safe', 'desk'),
            route('write', 'streaming', 'writer', resumable=False),
        ],
        'services': [
            {'name': 'desk', 'healthPath': '/health', 'maxConns': 90},
            {
                'name': 'writer',
                'healthPath': '/health',
                'maxConns': 90,
                'engine': {
                    'batchSlots': 8,
                    'kvCapacity': 30_000,
                    'kvTokenBytes': 1_000,
                    'linkMbps': 1_000,
                    'moves': True,
                    'backups': True,
                    'stride': 4,
                    'handleS': 5.0,
                },
            },
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 65_536,
            'headerTimeoutMs': 1_000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [{'name': 'acme', 'apiKeys': ['key-one', 'key-two']}],
    }


def entry_settings(
    vm: str, zone: str, ports: dict[str, int], store: str
) -> dict:
    """Return the settings of an entry VM on loopback.

    Args:
        vm: Name of the VM.
        zone: Its availability zone.
        ports: Port of each of its listeners.
        store: Address of the store.
    """
    listen = {name: f'127.0.0.1:{port}' for name, port in ports.items()}
    return {
        'vm': vm,
        'availability_zone': zone,
        'region': 'r',
        'regions': {zone: 'r'},
        'listen': {**listen, 'store': store},
        'memory_mb': 150,
        'descriptors': 4_200,
        'heartbeat_ms': 1_200,
        'rules': {
            'drain_ms': 3_000,
            'grace_s': 8,
            'contact_ms': 4_000,
            'revoke_ms': 5_000,
            'address_reuse_s': 2,
            'retry_ratio': 0.2,
            'retry_burst': 52,
            'retry_window_s': 10,
        },
    }


class Platform:
    """The store and all servers.

    Attributes:
        is_down: Whether the store answers 503.
        rows: Value and version of each row by table and key.
        state: The desired state that is in force.
        runs: How often each request was run, over all servers.
        run_times: Server and time of each run, in s of the steady clock.
        lost_answers: How many calls are still to be done without an answer.
        oldest: Changes before this version are forgotten.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.is_down = False
        self.version = 0
        self.rows: Rows = {}
        self.state: dict = {}
        self.log: list[tuple[int, str, str]] = []
        self.runs: collections.Counter = collections.Counter()
        self.run_times: dict[str, list[tuple[str, float]]] = (
            collections.defaultdict(list)
        )
        self.lost_answers = 0
        self.oldest = 0
        self.upstreams: dict[str, 'Upstream'] = {}
        self.copies: dict[tuple[str, str], str] = {}
        self.server = _Server(self, _StoreHandler)

    @property
    def address(self) -> str:
        """Address of the store."""
        return self.server.address

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or, with None, delete a row."""
        with self.lock:
            self.version += 1
            self.log.append((self.version, table, key))
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, self.version)

    def put_state(self, document: dict) -> None:
        """Accept a desired state."""
        self.state = document
        self.put('op', 'config', json.dumps(document).encode())

    def start_upstream(
        self, name: str, service: str, port: int = 0
    ) -> 'Upstream':
        """Start a server, on any port if it is 0, and list it."""
        upstream = Upstream(self, name, service, port)
        self.upstreams[upstream.address] = upstream
        upstream.tell('ready')
        return upstream

    def stop(self) -> None:
        """Stop all of them."""
        for upstream in self.upstreams.values():
            upstream.server.stop()
        self.server.stop()

    def note_run(self, request: str, upstream: str) -> None:
        """Count a run of a request."""
        self.runs[request] += 1
        self.run_times[request].append((upstream, time.monotonic()))

    def changes(self, table: str, after: int) -> list[dict]:
        """Return the rows of a table that changed after a version."""
        with self.lock:
            newest: dict[str, int] = {}
            for version, changed, key in self.log:
                if changed == table and version > after:
                    newest[key] = version
            return [
                _row(table, key, self.rows.get((table, key)), version)
                for key, version in newest.items()
            ]


class Upstream:
    """One server of a service.

    Attributes:
        faults: What befalls the next requests, in order: ``shed``,
            ``cut``, ``vanish`` (the connection ends before the answer),
            ``unframed``, ``extra`` (a second answer follows) or
            ``forged`` (an answer without signature).
        seen: Headers of the requests that came.
        connections: Connections that were accepted.
    """

    def __init__(
        self, platform: Platform, name: str, service: str, port: int
    ) -> None:
        self.platform = platform
        self.name = name
        self.service = service
        self.faults: list[str] = []
        self.seen: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.connections = 0
        self.broken = threading.Event()
        self.server = _Server(self, _UpstreamHandler, port)

    @property
    def address(self) -> str:
        """Address of the server."""
        return self.server.address

    def tell(self, state: str, address: str | None = None) -> None:
        """Write the server's entry, with another address if one is given."""
        entry = {
            'service': self.service,
            'address': address or self.address,
            'zone': 'z',
            'version': 'v1',
            'batchSlots': 8,
            'state': state,
            'warmupLeftMs': 0,
            'born': 1,
        }
        self.platform.put('servers', self.name, json.dumps(entry).encode())

    def crash(self) -> None:
        """Break off all streams and accept no more."""
        self.broken.set()
        self.server.stop()


class _Server(http.server.ThreadingHTTPServer):
    """A server on a free port, in threads of its own."""

    daemon_threads = True

    def __init__(self, owner: object, handler: type, port: int = 0) -> None:
        super().__init__(('127.0.0.1', port), handler)
        self.owner = owner
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        host, port = self.server_address[:2]
        return f'{host}:{port}'

    def handle_error(self, *_: object) -> None:
        """Print nothing: callers that go away are part of the tests."""

    def stop(self) -> None:
        self.shutdown()
        self.server_close()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    # Head and body are two writes; Nagle's algorithm would hold the body
    # back until the head is acknowledged, up to 40 ms later.
    disable_nagle_algorithm = True

    def log_message(self, *_: object) -> None:
        """Print nothing."""

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get('Content-Length', 0)))

    def answer(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _StoreHandler(_Handler):
    """Rows, their feed and transactions."""

    def do_GET(self) -> None:
        platform = self.server.owner
        path = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(path.query))
        table = query.get('table', '')
        if platform.is_down:
            self.answer(503, {}, b'')
        elif path.path == '/api/rows-get':
            with platform.lock:
                rows = [
                    _row(table, key, value, value[1])
                    for (name, key), value in sorted(platform.rows.items())
                    if name == table
                ]
            self.tell(rows)
        else:
            self.feed(table, int(query['afterRev']), float(query['waitMs']))

    def feed(self, table: str, after: int, wait_ms: float) -> None:
        platform = self.server.owner
        if after < platform.oldest:
            self.answer(410, {}, b'')
            return
        end_s = time.monotonic() + wait_ms / 1_000
        rows = platform.changes(table, after)
        while not rows and time.monotonic() < end_s and not platform.is_down:
            time.sleep(FEED_POLL_S)
            rows = platform.changes(table, after)
        if platform.is_down:
            self.answer(503, {}, b'')
        else:
            self.tell(rows)

    def do_POST(self) -> None:
        platform = self.server.owner
        body = json.loads(self.read_body())
        if platform.is_down:
            self.answer(503, {}, b'')
            return
        for wanted in body['expectedRev']:
            row = platform.rows.get((wanted['table'], wanted['key']))
            if (row[1] if row else 0) != wanted['ver']:
                self.tell([], 412)
                return
        for entry in body['writes']:
            value = base64.b64decode(entry['value'])
            platform.put(entry['table'], entry['key'], value)
        for entry in body['deletes']:
            platform.put(entry['table'], entry['key'], None)
        self.tell([])

    def tell(self, rows: list[dict], status: int = 200) -> None:
        platform = self.server.owner
        if platform.lost_answers > 0:
            platform.lost_answers -= 1
            self.close_connection = True
            return
        document = {
            'rows': rows,
            'hasMore': False,
            'ver': platform.version,
            'nowMs': time.monotonic() * 1_000,
        }
        self.answer(status, {}, json.dumps(document).encode())


class _UpstreamHandler(_Handler):
    """A plain server and an engine."""

    def setup(self) -> None:
        super().setup()
        self.server.owner.connections += 1

    def do_GET(self) -> None:
        self.serve()

    def do_POST(self) -> None:
        self.serve()

    def serve(self) -> None:
        upstream = self.server.owner
        body = self.read_body()
        if self.path == '/api/kv-move':
            self.move(json.loads(body))
            return
        upstream.seen.append(dict(self.headers.items()))
        upstream.bodies.append(body)
        request = self.headers['Request-Id']
        fault = upstream.faults.pop(0) if upstream.faults else ''
        if self.headers['Expect-Instance'] != upstream.name:
            self.answer(421, {'Instance-Id': upstream.name}, b'')
        elif fault == 'shed':
            self.answer(503, {'Not-Executed': '1'}, b'')
        elif upstream.service == 'writer':
            self.stream(request)
        else:
            upstream.platform.note_run(request, upstream.name)
            self.call(request, fault, body)

    def call(self, request: str, fault: str, body: bytes) -> None:
        headers = {'Request-Id': request, 'Server-Stamp': f's-{request}'}
        whole = b'answer to ' + request.encode() + b' ' + body
        if fault == 'vanish':
            self.close_connection = True
        elif fault == 'cut':
            self.send_response_only(200)
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header('Content-Length', str(len(whole)))
            self.end_headers()
            self.wfile.write(whole[:-3])
            self.close_connection = True
        elif fault == 'unframed':
            self.send_response_only(200)
            for name, value in headers.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(whole)
            self.close_connection = True
        elif fault == 'forged':
            self.answer(200, {'Request-Id': request}, whole)
        else:
            self.answer(200, headers, whole)
            if fault == 'extra':
                # Comes when the next answer is expected.
                threading.Timer(
                    0.05, self.answer, (200, headers, whole)
                ).start()

    def stream(self, request: str) -> None:
        upstream = self.server.owner
        source = self.headers['Kv-From']
        start = int(self.headers.get('Last-Event-Id', 0))
        if source is not None:
            key = (upstream.address, source)
            if upstream.platform.copies.pop(key, None) != request:
                self.answer(503, {'Not-Executed': '1'}, b'')
                return
        else:
            upstream.platform.note_run(request, upstream.name)
        copy_to = self.headers['Kv-Backup']
        if copy_to is not None:
            key = (copy_to, f'{copy_to}/{request}')
            upstream.platform.copies[key] = request
        self.send_response_only(200)
        self.send_header('Request-Id', request)
        self.send_header('Server-Stamp', f's-{request}')
        self.send_header('Content-Type', 'text/event-stream')
        self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()
        for index in range(start + 1, STREAM_EVENTS + 1):
            if upstream.broken.is_set():
                self.close_connection = True
                return
            time.sleep(EVENT_INTERVAL_S)
            event = f'id: {index}\ndata: {request} {index}\n\n'.encode()
            self.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
        self.wfile.write(b'0\r\n\r\n')

    def move(self, call: dict) -> None:
        upstream = self.server.owner
        handle = f'h{len(upstream.platform.copies)}'
        key = (call['to'], f'{upstream.address}/{handle}')
        upstream.platform.copies[key] = call['id']
        answer = {'handle': handle, 'created': 0}
        self.answer(200, {}, json.dumps(answer).encode())


def _row(
    table: str, key: str, value: tuple[bytes, int] | None, version: int
) -> dict:
    return {
        'table': table,
        'part': '',
        'key': key,
        'value': base64.b64encode(value[0]).decode() if value else '',
        'ver': version,
        'deleted': value is None,
    }
