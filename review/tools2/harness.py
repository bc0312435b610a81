"""Deployment on loopback: store, servers, entry VMs and raw clients.

The entry VMs are the project's own program, started with the command of the
deploy file. The store is the project's stand-in of the users' platform.
"""

import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from standins import ports, users_documents, users_platform

# The time limit of a script ends it, and all processes that it started.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

RESTART_DELAY_S = 0.3
MEBIBYTE = 1_048_576
KEY = 'key-one'


class Record:
    """Lines of record.txt, with the time in s since the start."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / 'record.txt'
        self.start_s = time.monotonic()
        self.lock = threading.Lock()
        self.lines = []

    def add(self, text, at_s=None):
        at_s = (at_s or time.monotonic()) - self.start_s
        with self.lock:
            self.lines.append((at_s, text))

    def close(self, summary):
        lines = [f'{at_s:9.3f} {text}' for at_s, text in sorted(self.lines)]
        self.path.write_text('\n'.join([*summary, '', *lines]) + '\n')


class Deployment:
    """Store, servers and entry VMs; stops all processes that it started."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.folder.name)
        self.platform = users_platform.Platform()
        self.servers = []
        self.vms = []

    def start_server(self, name, service, kind, slots, **options):
        arguments = [f'{key}={value}' for key, value in options.items()]
        log = self.path / f'server-{name}.log'
        process = subprocess.Popen(
            [
                sys.executable,
                str(pathlib.Path(__file__).parent / 'server.py'),
                name,
                kind,
                str(log),
                f'slots={slots}',
                *arguments,
            ],
            stdout=subprocess.PIPE,
        )
        self.servers.append((process, log))
        port = int(process.stdout.readline())
        entry = {
            'service': service,
            'address': f'127.0.0.1:{port}',
            'zone': 'z',
            'version': 'v1',
            'batchSlots': slots,
            'state': 'ready',
            'warmupLeftMs': 0,
            'callSeq': 0,
            'born': int(time.time() * 1_000),
        }
        value = json.dumps(entry).encode()
        self.platform.put('servers', name, value)

    def start_vm(self, name, memory_mb=150, zone='z', store=None):
        vm = EntryVm(self, name, memory_mb, zone, store)
        self.vms.append(vm)
        return vm

    def stop(self):
        for vm in self.vms:
            vm.stop()
        for process, _ in self.servers:
            process.kill()
            process.wait()
        self.platform.stop()
        events = []
        for _, log in self.servers:
            if log.exists():
                for line in log.read_text().splitlines():
                    events.append(json.loads(line))
        self.folder.cleanup()
        return events


class StoreProxy:
    """Way of one VM to the store; may turn the VM away with resets."""

    def __init__(self, address):
        host, port = address.split(':')
        self.target = (host, int(port))
        self.is_turned_away = False
        self.streams = set()
        self.listener = socket.socket()
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(64)
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def turn_away(self, is_turned_away):
        self.is_turned_away = is_turned_away
        if is_turned_away:
            for stream in list(self.streams):
                self._reset(stream)

    def _accept(self):
        while True:
            stream, _ = self.listener.accept()
            if self.is_turned_away:
                self._reset(stream)
                continue
            other = socket.create_connection(self.target)
            self.streams |= {stream, other}
            for pair in ((stream, other), (other, stream)):
                threading.Thread(
                    target=self._pump, args=pair, daemon=True
                ).start()

    def _pump(self, source, target):
        try:
            while data := source.recv(65_536):
                target.sendall(data)
        except OSError:
            pass
        for stream in (source, target):
            self._reset(stream)

    def _reset(self, stream):
        self.streams.discard(stream)
        try:
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            stream.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        stream.close()


class EntryVm:
    """One entry VM, restarted when it has ended, as the platform does.

    A process whose resident memory exceeds ``memory_mb`` is killed
    (DEPLOY.md, "Memory and descriptors").
    """

    def __init__(self, deployment, name, memory_mb, zone, store):
        self.deployment, self.name = deployment, name
        self.memory_mb = memory_mb
        self.ports = dict(
            zip(
                ('callers', 'readiness', 'peers', 'metrics'),
                ports.free_ports(4),
                strict=True,
            )
        )
        document = users_documents.entry_settings(
            name,
            zone,
            self.ports,
            store or deployment.platform.address,
            {each: 'r' for each in ('z', 'z1', 'z2', 'z3')},
        )
        document['memory_mb'] = memory_mb
        self.settings = deployment.path / f'{name}.json'
        self.settings.write_text(json.dumps(document))
        self.peak = 0
        self.ends = []
        self.stopped = False
        self.process = None
        self.restart_delay_s = RESTART_DELAY_S
        self._start()
        self.thread = threading.Thread(target=self._supervise, daemon=True)
        self.thread.start()

    def _start(self):
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['EELGRASSKNOT_BOOT'] = str(self.settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log = (self.deployment.path / f'{self.name}.log').open('ab')
        with log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'eelgrassknot.entry'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.started_s = time.monotonic()

    def log(self):
        return (self.deployment.path / f'{self.name}.log').read_text()

    def resident_bytes(self):
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1_024
        return 0

    def _supervise(self):
        while not self.stopped:
            resident = self.resident_bytes()
            self.peak = max(self.peak, resident)
            cause = None
            if self.process.poll() is not None:
                cause = f'ended with status {self.process.returncode}'
            elif resident > self.memory_mb * MEBIBYTE:
                self.process.kill()
                self.process.wait()
                cause = (
                    f'killed: {resident / MEBIBYTE:.0f} MiB resident, '
                    f'limit {self.memory_mb} MB'
                )
            if cause and not self.stopped:
                age_s = time.monotonic() - self.started_s
                self.ends.append(time.monotonic())
                self.deployment.record.add(
                    f'{self.name} {cause}, {age_s:.1f} s after its start'
                )
                time.sleep(self.restart_delay_s)
                self._start()
            time.sleep(0.02)

    def is_ready(self, timeout_s=1.0):
        try:
            with Client(self.ports['readiness'], timeout_s) as client:
                return client.ask('GET', '/api/readiness', {})[0] == 200
        except OSError:
            return False

    def wait_ready(self, limit_s=20.0):
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def stop(self):
        self.stopped = True
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.thread.join(2.0)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Client:
    """A client's connection to one port of an entry VM."""

    def __init__(self, port, timeout_s):
        self.stream = socket.create_connection(('127.0.0.1', port), 1.0)
        self.stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream.settimeout(timeout_s)
        self.data = b''

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stream.close()

    def send(self, method, path, headers, body=b''):
        lines = [f'{method} {path} HTTP/1.1', 'Host: a.example']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        if method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        self.stream.sendall('\r\n'.join([*lines, '', '']).encode())
        if body:
            self.stream.sendall(body)

    def read_head(self):
        while b'\r\n\r\n' not in self.data:
            self.receive()
        head, self.data = self.data.split(b'\r\n\r\n', 1)
        lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        return int(lines[0].split()[1]), headers

    def receive(self):
        more = self.stream.recv(262_144)
        if not more:
            raise ConnectionResetError('closed by the node')
        self.data += more

    def ask(self, method, path, headers, body=b''):
        self.send(method, path, headers, body)
        status, found = self.read_head()
        size = int(found.get('content-length', 0))
        while len(self.data) < size:
            self.receive()
        body, self.data = self.data[:size], self.data[size:]
        return status, found, body
