"""Common parts of the scripts: a small deployment on loopback.

The entry VMs are separate processes, started with the command of
``deploy/system.toml``. The store and the servers are the project's own
stand-ins (``standins/``); the callers are in this file.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from standins import ports as free  # noqa: E402
from standins import users_documents  # noqa: E402
from standins import users_platform  # noqa: E402

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
CONTACT_S = 4.0
"""``contactMs`` of the site."""
START_S = 25.0
LONGEST_S = 115.0
"""A case that takes longer could not run."""
KEY = 'key-one'
LISTENERS = ('callers', 'readiness', 'peers', 'metrics')


started = []
"""All processes that this one has started."""


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / 'record.txt'
        self.lock = threading.Lock()
        self.started_s = time.monotonic()
        self.file = self.path.open('w', encoding='utf-8')

    def line(self, text):
        """Write a line with the time since the start."""
        with self.lock:
            at_s = time.monotonic() - self.started_s
            self.file.write(f'{at_s:8.3f} {text}\n')
            self.file.flush()


def desired_state():
    """Return a state with the kinds of request of the site."""
    state = users_documents.desired_state(1)
    plain = state['routes'][0]
    stream = state['routes'][2]

    def route(base, name, **more):
        return {**base, 'name': name, 'prefix': f'/{name}/', **more}

    state['routes'] = [
        route(plain, 'booking', timeoutMs=1_500, sloMs=200, priority=2),
        route(
            plain,
            'lookup',
            kind='safe',
            maxAttempts=2,
            timeoutMs=1_500,
            sloMs=200,
            priority=2,
        ),
        route(stream, 'writeup', timeoutMs=39_000, sloMs=1_800, priority=1),
        route(
            stream,
            'triage',
            timeoutMs=6_000,
            sloMs=1_500,
            priority=0,
            resumable=True,
            maxAttempts=2,
        ),
    ]
    engine = state['services'][1]['engine']
    engine.update(batchSlots=48, kvCapacity=34_403)
    state['limits'].update(
        maxHeaderBytes=16_384,
        maxBodyBytes=4_194_304,
        headerTimeoutMs=3_000,
        idleTimeoutMs=15_000,
    )
    return state


class Deployment:
    """Store, servers and entry VMs.

    Args:
        record: Record of the case.
        zones: Zone of each entry VM.
        desks: Number of servers of the plain service.
        engines: Number of engines.
    """

    def __init__(self, record, zones=('z',), desks=3, engines=5):
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.platform = users_platform.Platform()
        self.platform.put_state(desired_state())
        self.servers = [
            self.platform.start_upstream(f'desk-{number}', 'desk')
            for number in range(desks)
        ]
        self.engines = [
            self.platform.start_upstream(f'engine-{number}', 'writer')
            for number in range(engines)
        ]
        regions = {zone: 'r' for zone in (*zones, 'z')}
        self.vms = [
            Vm(
                self.folder.name,
                f'front-{number}',
                zone,
                regions,
                self.platform.address,
            )
            for number, zone in enumerate(zones)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for vm in self.vms:
            vm.stop()
        self.platform.stop()
        self.folder.cleanup()

    def wait_ready(self):
        """Wait until all VMs are ready and have met."""
        end_s = time.monotonic() + START_S
        while not all(vm.is_ready() for vm in self.vms):
            if time.monotonic() > end_s:
                raise CannotRunError('the entry VMs are not ready')
            time.sleep(0.1)
        time.sleep(3.0)
        self.record.line(f'{len(self.vms)} entry VMs are ready')


class Vm:
    """One entry VM."""

    def __init__(self, folder, name, zone, regions, store):
        self.name = name
        numbers = free.free_ports(len(LISTENERS))
        self.ports = dict(zip(LISTENERS, numbers, strict=True))
        settings = users_documents.entry_settings(
            name, zone, self.ports, store, regions
        )
        self.memory_mb = settings['memory_mb']
        path = pathlib.Path(folder) / f'{name}.json'
        path.write_text(json.dumps(settings))
        self.log_path = pathlib.Path(folder) / f'{name}.log'
        self.environment = {
            each: os.environ[each]
            for each in ('PATH', 'HOME', 'LANG')
            if each in os.environ
        }
        self.environment['EELGRASSKNOT_BOOT'] = str(path)
        self.environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self.start()

    def start(self):
        """Start the process with the command of the deploy file."""
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'eelgrassknot.entry'],
                cwd=ROOT,
                env=self.environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        started.append(self.process)

    @property
    def port(self):
        """Port for callers."""
        return self.ports['callers']

    def is_ready(self):
        """Return whether the readiness probe is answered with 200."""
        answer = ask(self.ports['readiness'], 'GET', '/api/readiness', {}, 1.0)
        return answer.status == 200

    def log_lines(self, *words):
        """Return the log lines that contain one of some words."""
        lines = self.log_path.read_text(errors='replace').splitlines()
        return [line for line in lines if any(word in line for word in words)]

    def stop(self):
        """Kill the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Answer:
    """What a caller got; status 0 if no whole head came."""

    def __init__(self, status=0, whole=False, body=b'', why=''):
        self.status = status
        self.whole = whole
        self.body = body
        self.why = why

    @property
    def is_success(self):
        """Whether it is a whole success."""
        return self.status == 200 and self.whole


def head(method, path, headers):
    """Return the head of a request."""
    lines = [f'{method} {path} HTTP/1.1', 'Host: a.example']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode()


def ask(port, method, path, headers, timeout_s, body=None):
    """Send a request on a new connection and read the whole answer."""
    if body is not None:
        headers = {**headers, 'Content-Length': len(body)}
    end_s = time.monotonic() + timeout_s
    try:
        with socket.create_connection(('127.0.0.1', port), timeout_s) as link:
            link.sendall(head(method, path, headers) + (body or b''))
            return _read(link, end_s)
    except OSError as error:
        return Answer(why=type(error).__name__)


def _read(link, end_s):
    data = b''

    def more():
        nonlocal data
        link.settimeout(max(0.001, end_s - time.monotonic()))
        part = link.recv(65_536)
        data += part
        return bool(part)

    while b'\r\n\r\n' not in data:
        if not more():
            return Answer(why='closed')
    top, data = data.split(b'\r\n\r\n', 1)
    lines = top.decode('latin-1').split('\r\n')
    status = int(lines[0].split()[1])
    named = dict(line.lower().split(':', 1) for line in lines[1:])
    try:
        if 'chunked' in named.get('transfer-encoding', ''):
            while not data.endswith(b'0\r\n\r\n'):
                if not more():
                    return Answer(status, False, data, 'cut')
        else:
            size = int(named.get('content-length', 0))
            while len(data) < size:
                if not more():
                    return Answer(status, False, data, 'cut')
    except OSError as error:
        return Answer(status, False, data, type(error).__name__)
    return Answer(status, True, data)


def give_up():
    """End all processes and say that the case could not run."""
    for process in started:
        if process.poll() is None:
            process.kill()
    os._exit(COULD_NOT_RUN)


def run(folder, play):
    """Play a case and exit with its code.

    Args:
        folder: Folder of the case.
        play: Takes the record and whether there is trouble; returns whether
            the rule was broken.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    record.line(f'trouble={int(trouble)}')
    watchdog = threading.Timer(LONGEST_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    try:
        broken = play(record, trouble)
    except Exception as error:
        record.line(f'could not run: {error!r}')
        give_up()
    record.line('RULE BROKEN' if broken else 'rule held')
    sys.stdout.flush()
    os._exit(BROKEN if broken else HELD)
