"""Loopback stand-ins for the scripts of the review.

Store, servers, clients and the starter of the entry processes. They speak
what PROTOCOL.md says and use only the standard library, so that they do not
depend on the code under review.
"""

import base64
import json
import os
import pathlib
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

# A script that takes too long is ended; its processes are ended with it.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = 'front.example'
KEY = 'key-one'
CONTACT_S = 4.0
RESET = struct.pack('ii', 1, 0)


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, folder: str) -> None:
        self.start_s = time.monotonic()
        self.lock = threading.Lock()
        self.lines: list[str] = []
        self.path = pathlib.Path(folder) / 'record.txt'

    def note(self, text: str) -> float:
        now_s = time.monotonic()
        with self.lock:
            self.lines.append(f'{now_s - self.start_s:9.3f} {text}')
        return now_s

    def write(self) -> None:
        with self.lock:
            self.path.write_text('\n'.join(self.lines) + '\n')


class HttpError(Exception):
    pass


class Channel:
    """A socket with buffered reading of HTTP/1.1 messages."""

    def __init__(self, stream: socket.socket) -> None:
        self.stream = stream
        self.data = b''
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def more(self) -> bool:
        found = self.stream.recv(65_536)
        self.data += found
        return bool(found)

    def read_head(self) -> tuple[str, dict[str, str]] | None:
        """Return the first line and the headers, or None at the end."""
        while b'\r\n\r\n' not in self.data:
            if not self.more():
                return None
        head, self.data = self.data.split(b'\r\n\r\n', 1)
        lines = head.decode('latin-1').split('\r\n')
        pairs = (line.split(':', 1) for line in lines[1:])
        return lines[0], {n.strip().lower(): v.strip() for n, v in pairs}

    def read_exactly(self, count: int) -> bytes:
        while len(self.data) < count:
            if not self.more():
                raise HttpError('the channel ended inside a body')
        found, self.data = self.data[:count], self.data[count:]
        return found

    def read_line(self) -> bytes:
        while b'\r\n' not in self.data:
            if not self.more():
                raise HttpError('the channel ended inside a chunk')
        line, self.data = self.data.split(b'\r\n', 1)
        return line

    def is_left(self) -> bool:
        """Return whether the peer has closed or reset the channel."""
        if not select.select([self.stream], [], [], 0)[0]:
            return False
        try:
            return self.stream.recv(1, socket.MSG_PEEK) == b''
        except OSError:
            return True

    def reset(self) -> None:
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.stream.close()


class Listener:
    """Accepts channels and serves each in a thread."""

    def __init__(self, serve, port: int = 0) -> None:
        self.serve = serve
        self.stream = socket.socket()
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.stream.bind(('127.0.0.1', port))
        self.stream.listen(512)
        self.port = self.stream.getsockname()[1]
        self.address = f'127.0.0.1:{self.port}'
        self.lock = threading.Lock()
        self.channels: set[Channel] = set()
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                stream, _ = self.stream.accept()
            except OSError:
                return
            channel = Channel(stream)
            with self.lock:
                if self.closed:
                    channel.reset()
                    continue
                self.channels.add(channel)
            threading.Thread(
                target=self._run, args=(channel,), daemon=True
            ).start()

    def _run(self, channel: Channel) -> None:
        try:
            self.serve(channel)
        except (OSError, HttpError, ValueError):
            pass
        finally:
            with self.lock:
                self.channels.discard(channel)
            try:
                channel.stream.close()
            except OSError:
                pass

    def close(self) -> None:
        """Refuse new channels and reset the open ones."""
        with self.lock:
            self.closed = True
            channels, self.channels = self.channels, set()
        # A blocked accept keeps the port open until it returns.
        try:
            self.stream.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.stream.close()
        for channel in channels:
            try:
                channel.stream.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET
                )
                channel.stream.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store:
    """The platform's metadata store: rows, feed and transactions.

    Attributes:
        turned_away: Callers whose calls are answered 503.
        cut_off: Callers whose calls and answers are lost.
        era: Number of times that it came back from a copy.
        feeds: Caller and table of each feed call, oldest first.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.version = 1
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.log: list[tuple[int, str, str]] = []
        self.turned_away: set[str] = set()
        self.cut_off: set[str] = set()
        self.era = 0
        self.history: list[tuple[float, int, dict]] = []
        self.feeds: list[tuple[str, str]] = []
        self.address = self.open('')

    def open(self, caller: str) -> str:
        """Return an address of the store for one caller."""
        return Listener(lambda channel: self._serve(channel, caller)).address

    def turn_away(self, callers: list[str]) -> None:
        """Answer 503 to some callers from now on, and serve all others."""
        with self.changed:
            self.turned_away = set(callers)
            self.changed.notify_all()

    def put(self, table: str, key: str, value: dict | None) -> float:
        """Write a row as operator or server; return the time of the ack.

        What a server writes again unchanged is no change of its entry.
        """
        data = None if value is None else json.dumps(value).encode()
        with self.changed:
            known = self.rows.get((table, key), (None, 0))[0]
            if data != known or table != 'servers':
                self._put(table, key, data)
        return time.monotonic()

    def _put(self, table: str, key: str, data: bytes | None) -> None:
        self.history.append((time.monotonic(), self.version, dict(self.rows)))
        self.version += 1
        self.log.append((self.version, table, key))
        if data is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (data, self.version)
        self.changed.notify_all()

    def restore(self, age_s: float) -> None:
        """Come back from a copy of an age in s.

        What was written since is gone and its versions are given out again.
        """
        with self.changed:
            at_s = time.monotonic() - age_s
            later = [each for each in self.history if each[0] > at_s]
            if later:
                _, self.version, rows = later[0]
                self.rows = dict(rows)
                self.log = [e for e in self.log if e[0] <= self.version]
                self.history = [e for e in self.history if e[0] <= at_s]
            self.era += 1
            self.changed.notify_all()

    def _row(self, table: str, key: str, version: int) -> dict:
        found = self.rows.get((table, key))
        row = {'table': table, 'part': '', 'key': key, 'ver': version}
        if found is None:
            return {**row, 'deleted': True}
        return {**row, 'value': base64.b64encode(found[0]).decode()}

    def _serve(self, channel: Channel, caller: str) -> None:
        while True:
            head = channel.read_head()
            if head is None:
                return
            line, headers = head
            _method, target, _ = line.split(' ')
            body = channel.read_exactly(int(headers.get('content-length', 0)))
            path, _, query = target.partition('?')
            arguments = dict(urllib.parse.parse_qsl(query))
            if path == '/api/rows-feed':
                self.feeds.append((caller, arguments['table']))
            status, answer = self._answer(caller, path, arguments, body)
            if caller in self.cut_off:
                # The channel hangs until its caller gives it up.
                while not channel.is_left():
                    time.sleep(0.02)
                return
            answer |= {
                'ver': self.version,
                'nowMs': time.monotonic() * 1_000,
            }
            data = json.dumps(answer).encode()
            channel.stream.sendall(
                f'HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n'
                f'Content-Type: application/json\r\n'
                f'Content-Length: {len(data)}\r\n\r\n'.encode()
                + data
            )

    def _answer(
        self, caller: str, path: str, arguments: dict, body: bytes
    ) -> tuple[int, dict]:
        with self.changed:
            if caller in self.turned_away:
                return 503, {}
            if path == '/api/rows-tx':
                return self._transact(json.loads(body))
            table = arguments['table']
            if path == '/api/rows-get':
                rows = [
                    self._row(name, key, row[1])
                    for (name, key), row in sorted(self.rows.items())
                    if name == table and key >= arguments.get('from', '')
                ]
                return 200, {'rows': rows, 'hasMore': False}
            after = int(arguments['afterRev'])
            era = self.era
            if after > self.version:
                return 410, {}
            end_s = time.monotonic() + float(arguments['waitMs']) / 1_000
            while True:
                newest = {
                    key: version
                    for version, name, key in self.log
                    if name == table and version > after
                }
                left_s = end_s - time.monotonic()
                if newest or left_s <= 0:
                    break
                self.changed.wait(left_s)
                if caller in self.turned_away:
                    return 503, {}
                if self.era != era:
                    return 410, {}
            rows = [
                self._row(table, key, version)
                for key, version in sorted(
                    newest.items(), key=lambda item: item[1]
                )
            ]
            return 200, {'rows': rows}

    def _transact(self, call: dict) -> tuple[int, dict]:
        for expected in call['expectedRev']:
            row = self.rows.get((expected['table'], expected['key']))
            if (row[1] if row else 0) != expected['ver']:
                return 412, {'rows': []}
        for entry in call['writes']:
            self._put(
                entry['table'], entry['key'], base64.b64decode(entry['value'])
            )
        for entry in call['deletes']:
            self._put(entry['table'], entry['key'], None)
        return 200, {}


class Entry:
    """One entry process, started with the command of the deploy file."""

    def __init__(
        self, name: str, zone: str, zones: dict[str, str], store: str
    ) -> None:
        self.name = name
        self.folder = tempfile.TemporaryDirectory()
        self.ports = {
            each: free_port()
            for each in ('callers', 'readiness', 'peers', 'metrics')
        }
        listen = {k: f'127.0.0.1:{v}' for k, v in self.ports.items()}
        # deploy/entry-settings.json.template, with the figures of the sheet.
        document = {
            'vm': name,
            'availability_zone': zone,
            'region': zones[zone],
            'regions': zones,
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
        self.settings = pathlib.Path(self.folder.name) / 'settings.json'
        self.settings.write_text(json.dumps(document))
        self.log_path = pathlib.Path(self.folder.name) / 'log'
        self.process: subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'eelgrassknot.entry'],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': f'{ROOT / "target" / "deps"}',
                    'EELGRASSKNOT_BOOT': str(self.settings),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def port(self) -> int:
        return self.ports['callers']

    def is_ready(self) -> bool:
        try:
            with socket.create_connection(
                ('127.0.0.1', self.ports['readiness']), 1.0
            ) as stream:
                stream.sendall(
                    b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n'
                )
                head = Channel(stream).read_head()
        except OSError:
            return False
        return head is not None and ' 200' in head[0]

    def wait_ready(self, timeout_s: float = 20.0) -> None:
        end_s = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > end_s:
                raise RuntimeError(f'{self.name} is not ready')
            time.sleep(0.05)

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def log(self) -> str:
        return self.log_path.read_text()

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()


class Answer:
    """What a client got.

    Attributes:
        status: Status, or 0 if no head came.
        is_whole: Whether the answer was complete.
        events: Ids of the events of a stream.
        ended_s: When the answer or the channel ended.
        first_s: When the first byte of the body came, or None.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.is_whole = False
        self.ended_s = 0.0
        self.first_s: float | None = None

    @property
    def events(self) -> list[int]:
        return [int(n) for n in re.findall(rb'(?m)^id: (\d+)$', self.body)]

    def __str__(self) -> str:
        return (
            f'status={self.status} whole={self.is_whole} '
            f'bytes={len(self.body)} events={len(self.events)}'
        )


def request_bytes(
    method: str, path: str, request: str, headers: dict, body: bytes = b''
) -> bytes:
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request}',
    ]
    headers = {'Credential': KEY, **headers}
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def ask(
    port: int,
    method: str,
    path: str,
    request: str,
    headers: dict,
    body: bytes = b'',
    timeout_s: float = 40.0,
    channel: Channel | None = None,
) -> Answer:
    """Send one request and read its answer."""
    answer = Answer()
    end_s = time.monotonic() + timeout_s
    is_own = channel is None
    try:
        if is_own:
            channel = Channel(
                socket.create_connection(('127.0.0.1', port), 1.0)
            )
        channel.stream.settimeout(timeout_s)
        channel.stream.sendall(
            request_bytes(method, path, request, headers, body)
        )
        _read_answer(channel, answer, end_s)
    except (OSError, HttpError, ValueError):
        pass
    finally:
        answer.ended_s = time.monotonic()
        if is_own and channel is not None:
            channel.stream.close()
    return answer


def _read_answer(channel: Channel, answer: Answer, end_s: float) -> None:
    def limit() -> None:
        channel.stream.settimeout(max(0.01, end_s - time.monotonic()))

    head = channel.read_head()
    if head is None:
        return
    answer.status = int(head[0].split(' ')[1])
    answer.headers = head[1]
    if 'chunked' in answer.headers.get('transfer-encoding', ''):
        while True:
            limit()
            size = int(channel.read_line(), 16)
            data = channel.read_exactly(size)
            channel.read_line()
            if size == 0:
                answer.is_whole = True
                return
            answer.first_s = answer.first_s or time.monotonic()
            answer.body += data
    size = int(answer.headers.get('content-length', 0))
    answer.body = channel.read_exactly(size)
    answer.first_s = time.monotonic()
    answer.is_whole = True


def route(name: str, kind: str, service: str, **more: object) -> dict:
    return {
        'name': f'r-{name}',
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'priority': 1,
        'public': False,
        'maxAttempts': 2 if kind == 'safe' else 1,
        **more,
    }


def desired_state(version: int, routes: list[dict]) -> dict:
    """Return a desired state with an engine service and a plain one."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'assistant',
                'healthPath': '/health',
                'maxConns': 362,
                'engine': {
                    'batchSlots': 48,
                    'kvCapacity': 34_403,
                    'kvTokenBytes': 163_840,
                    'linkMbps': 24_000.0,
                    'moves': True,
                    'backups': True,
                    'stride': 4,
                    'most': 12,
                    'pinMs': 4_000.0,
                    'holdMs': 2_000.0,
                    'handleS': 5.0,
                    'models': [{'name': 'm'}],
                },
            },
            {'name': 'desk', 'healthPath': '/health', 'maxConns': 96},
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3_000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [{'name': 'huka', 'apiKeys': [KEY], 'priority': 1}],
    }


WRITE = route(
    'write',
    'streaming',
    'assistant',
    timeoutMs=39_000,
    sloMs=1_800,
    sticky=True,
    resumable=False,
    targetGapMs=180,
)
BOOK = route('book', 'unsafe', 'desk', timeoutMs=1_500, sloMs=225)
LOOK = route('look', 'safe', 'desk', timeoutMs=1_500, sloMs=225)


class Engine:
    """A model server.

    It answers a stream with events of four tokens and drops a request when
    its channel closes. A run with ``Kv-Backup`` is copied to its holder as
    it grows; a request with ``Kv-From`` goes on from there, or gets 503.

    Args:
        world: All engines by address, shared.
        plan: Called with the engine, the channel, the request and the first
            event to be sent, before anything is sent; returns whether it
            has dealt with the request.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        zone: str,
        engines: dict[str, 'Engine'],
        events: int = 60,
        event_s: float = 0.03,
        plan=None,
    ) -> None:
        self.store = store
        self.record = record
        self.name = name
        self.zone = zone
        self.engines = engines
        self.events = events
        self.event_s = event_s
        self.plan = plan
        self.state = 'ready'
        self.copies: dict[str, int] = {}
        self.work: list[tuple[str, int, float]] = []
        self.arrivals: list[tuple[str, float, dict]] = []
        self.starts = 0
        self.is_up = False
        self.start()

    def start(self, port: int = 0) -> None:
        self.starts += 1
        self.is_up = True
        self.copies = {}
        self.born = int(time.time() * 1_000)
        self.listener = Listener(self._serve, port)
        self.address = self.listener.address
        self.engines[self.address] = self
        threading.Thread(
            target=self._beat, args=(self.starts,), daemon=True
        ).start()

    def _beat(self, start: int) -> None:
        """Write the entry, as often as the platform says."""
        while self.is_up and self.starts == start:
            self.publish()
            time.sleep(1.2)

    def publish(self) -> float:
        return self.store.put(
            'servers',
            self.name,
            {
                'service': 'assistant',
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'batchSlots': 48,
                'state': self.state,
                'warmupLeftMs': 0,
                'stage': 'hybrid',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'callSeq': 0,
                'born': self.born,
            },
        )

    def crash(self) -> None:
        self.is_up = False
        self.listener.close()

    def _serve(self, channel: Channel) -> None:
        while True:
            head = channel.read_head()
            if head is None:
                return
            line, headers = head
            body = channel.read_exactly(int(headers.get('content-length', 0)))
            path = line.split(' ')[1]
            if path == '/api/kv-move':
                self._move(channel, json.loads(body))
                continue
            if not self._run(channel, headers):
                return

    def _move(self, channel: Channel, call: dict) -> None:
        done = [n for request, n, _ in self.work if request == call['id']]
        target = self.engines.get(call['to'])
        if not done or target is None or not target.is_up:
            channel.stream.sendall(
                b'HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n'
            )
            return
        handle = f'h-{call["id"]}'
        target.copies[f'{self.address}/{handle}'] = done[-1]
        data = json.dumps({'handle': handle, 'created': done[-1]}).encode()
        channel.stream.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%s' % (len(data), data)
        )

    def refuse(self, channel: Channel, request: str, status: int) -> None:
        more = 'Not-Executed: 1\r\n' if status == 503 else ''
        more += f'Instance-Id: {self.name}\r\n' if status == 421 else ''
        channel.stream.sendall(
            f'HTTP/1.1 {status} X\r\nRequest-Id: {request}\r\n{more}'
            f'Content-Length: 0\r\n\r\n'.encode()
        )

    def _run(self, channel: Channel, headers: dict[str, str]) -> bool:
        request = headers['request-id']
        arrived_s = self.record.note(
            f'{self.name} gets {request} from={headers.get("kv-from")} '
            f'after={headers.get("last-event-id")}'
        )
        if headers.get('expect-instance', self.name) != self.name:
            self.refuse(channel, request, 421)
            return True
        self.arrivals.append((request, arrived_s, headers))
        first = 1
        if 'kv-from' in headers:
            if self.copies.pop(headers['kv-from'], None) is None:
                self.record.note(f'{self.name} has no copy of {request}')
                self.refuse(channel, request, 503)
                return True
            first = int(headers.get('last-event-id', 0)) + 1
        if self.plan is not None:
            reusable = self.plan(self, channel, request, headers, first)
            if reusable is not None:
                return reusable
        self.answer_head(channel, request)
        return self.stream(channel, request, headers, first)

    def answer_head(self, channel: Channel, request: str) -> None:
        channel.stream.sendall(
            f'HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n'
            f'Server-Stamp: s.{self.name}.{request}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )

    def stream(
        self,
        channel: Channel,
        request: str,
        headers: dict[str, str],
        first: int,
        last: int | None = None,
        is_silent: bool = False,
    ) -> bool:
        """Make events; return whether the channel can be used again."""
        holder = self.engines.get(headers.get('kv-backup', ''))
        for number in range(first, (last or self.events) + 1):
            time.sleep(self.event_s)
            if channel.is_left():
                self.record.note(f'{self.name} drops {request}')
                return False
            made_s = time.monotonic()
            self.work.append((request, number, made_s))
            if number == first:
                self.record.note(
                    f'{self.name} begins {request} with event {first}'
                )
            if holder is not None and holder.is_up:
                holder.copies[f'{holder.address}/{request}'] = number
            if not is_silent:
                event = f'id: {number}\ndata: {request}.{number}\n\n'.encode()
                channel.stream.sendall(b'%x\r\n%s\r\n' % (len(event), event))
        if last is None:
            if holder is not None:
                holder.copies.pop(f'{holder.address}/{request}', None)
            self.record.note(f'{self.name} completes {request}')
            if not is_silent:
                channel.stream.sendall(b'0\r\n\r\n')
        return True


class Plain:
    """A server of a plain service.

    It runs one request at a time on a channel, each for ``work_s``. Once it
    is gone from the store it serves on for a while, then exits.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        zone: str,
        work_s: float = 0.0225,
        service: str = 'desk',
    ) -> None:
        self.store = store
        self.record = record
        self.name = name
        self.zone = zone
        self.work_s = work_s
        self.service = service
        self.state = 'ready'
        self.is_listed = True
        self.is_up = True
        self.lock = threading.Lock()
        self.arrivals: list[tuple[str, float]] = []
        self.runs: list[str] = []
        self.cut: list[str] = []
        self.born = int(time.time() * 1_000)
        self.listener = Listener(self._serve)
        self.address = self.listener.address
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self) -> None:
        while self.is_up and self.is_listed:
            self.publish()
            time.sleep(1.2)

    def publish(self) -> float:
        return self.store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'batchSlots': 6,
                'state': self.state,
                'warmupLeftMs': 0,
                'callSeq': 0,
                'born': self.born,
            },
        )

    def body(self, request: str) -> tuple[bytes, str]:
        """Return the body of an answer, and more header lines."""
        return request.encode() * 50, ''

    def leave(self) -> float:
        """Leave without reporting it; return the time of the ack."""
        self.is_listed = False
        acked_s = self.store.put('servers', self.name, None)
        self.record.note(f'store acks: {self.name} is gone from the list')
        return acked_s

    def exit(self) -> None:
        self.record.note(f'{self.name} exits')
        self.is_up = False
        self.listener.close()

    def _serve(self, channel: Channel) -> None:
        while True:
            head = channel.read_head()
            if head is None:
                return
            _line, headers = head
            channel.read_exactly(int(headers.get('content-length', 0)))
            request = headers['request-id']
            if headers.get('expect-instance', self.name) != self.name:
                channel.stream.sendall(
                    f'HTTP/1.1 421 X\r\nRequest-Id: {request}\r\n'
                    f'Instance-Id: {self.name}\r\n'
                    'Content-Length: 0\r\n\r\n'.encode()
                )
                continue
            arrived_s = self.record.note(f'{self.name} gets {request}')
            with self.lock:
                self.arrivals.append((request, arrived_s))
                self.runs.append(request)
            time.sleep(self.work_s)
            if not self.is_up:
                with self.lock:
                    self.cut.append(request)
                return
            body, more = self.body(request)
            channel.stream.sendall(
                f'HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n'
                f'Server-Stamp: s.{self.name}.{request}\r\n{more}'
                f'Content-Length: {len(body)}\r\n\r\n'.encode()
                + body
            )
