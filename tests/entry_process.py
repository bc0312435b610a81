"""Entry VM in a process of its own, and a raw HTTP client."""

import json
import os
import pathlib
import re
import socket
import subprocess
import sys
import tempfile
import time

from standins import ports
from standins import users_documents

__all__ = [
    'Answer',
    'Caller',
    'EntryProcess',
    'LISTENERS',
    'wait_until',
]

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
CONNECT_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S = 10.0
LISTENERS = ('callers', 'readiness', 'peers', 'metrics')


def wait_until(condition, timeout_s, what):
    """Wait until a condition holds."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f'not within {timeout_s} s: {what}')


class EntryProcess:
    """One entry VM on loopback.

    Args:
        store: Address of the store.
        vm: Name of the VM.
        zone: Its availability zone.
        regions: Region of each availability zone.
        changes: Settings that differ from those of the other tests.
        rules: Rules that differ.
    """

    def __init__(
        self,
        store,
        vm='vm-1',
        zone='z',
        regions=None,
        changes=None,
        **rules,
    ):
        self.folder = tempfile.TemporaryDirectory()
        folder = pathlib.Path(self.folder.name)
        self.ports = dict(zip(LISTENERS, ports.free_ports(4), strict=True))
        settings = folder / 'settings.json'
        self.settings_path = settings
        document = users_documents.entry_settings(
            vm, zone, self.ports, store, regions
        )
        document.update(changes or {})
        document['rules'].update(rules)
        settings.write_text(json.dumps(document))
        self.log_path = folder / 'log'
        environment = {'PYTHONPATH': str(ROOT), 'PATH': os.environ['PATH']}
        environment['EELGRASSKNOT_BOOT'] = str(settings)
        with self.log_path.open('wb') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'eelgrassknot.entry'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def wait_ready(self):
        """Wait until the readiness probe succeeds."""
        wait_until(self.is_ready, START_TIMEOUT_S, self.log)

    def is_ready(self):
        """Return whether the readiness probe succeeds."""
        try:
            with Caller(self.ports['readiness']) as caller:
                answer = caller.ask('GET', '/api/readiness', {})
        except OSError:
            return False
        return answer.status == 200

    def log(self):
        """Return the contents of the log."""
        return self.log_path.read_text()

    def stop(self):
        """Kill the process and delete its files."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()


class Answer:
    """One response with its decoded body."""

    def __init__(self, status, headers, body, is_whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole


class Caller:
    """A caller's connection to one port of an entry VM."""

    def __init__(self, port, window_bytes=None):
        self.stream = socket.socket()
        if window_bytes is not None:
            self.stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes
            )
        self.stream.settimeout(CONNECT_TIMEOUT_S)
        self.stream.connect(('127.0.0.1', port))
        self.stream.settimeout(ANSWER_TIMEOUT_S)
        self.data = b''

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stream.close()

    def send(self, method, path, headers, body=None, chunked=False):
        """Send a request."""
        lines = [f'{method} {path} HTTP/1.1', 'Host: a.example']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        data = b''
        if chunked:
            lines.append('Transfer-Encoding: chunked')
            half = len(body) // 2
            for part in (body[:half], body[half:]):
                data += b'%x\r\n%s\r\n' % (len(part), part)
            data += b'0\r\n\r\n'
        elif body is not None:
            lines.append(f'Content-Length: {len(body)}')
            data = body
        head = '\r\n'.join([*lines, '', ''])
        self.stream.sendall(head.encode() + data)

    def ask(self, method, path, headers, body=None, chunked=False):
        """Send a request and return its response."""
        self.send(method, path, headers, body, chunked)
        return self.read()

    def read(self):
        """Return the next response."""
        while b'\r\n\r\n' not in self.data:
            if not self._receive():
                return Answer(0, {}, b'', False)
        head, self.data = self.data.split(b'\r\n\r\n', 1)
        lines = head.decode('latin-1').split('\r\n')
        headers = dict(
            (name.lower(), value.strip())
            for name, value in (line.split(':', 1) for line in lines[1:])
        )
        status = int(lines[0].split()[1])
        if 'chunked' in headers.get('transfer-encoding', ''):
            body, is_whole = self._read_chunks()
        else:
            size = int(headers.get('content-length', 0))
            while len(self.data) < size and self._receive():
                pass
            body, self.data = self.data[:size], self.data[size:]
            is_whole = len(body) == size
        return Answer(status, headers, body, is_whole)

    def wait_events(self, count):
        """Wait until a number of events have been received."""
        assert self.read_events(count), 'the stream ended early'

    def read_events(self, count):
        """Return whether a number of events come before the end."""
        while len(re.findall(rb'id: \d+\n', self.data)) < count:
            if not self._receive():
                return False
        return True

    def _read_chunks(self):
        body = b''
        while True:
            while b'\r\n' not in self.data:
                if not self._receive():
                    return body, False
            size, rest = self.data.split(b'\r\n', 1)
            chunk_size = int(size, 16)
            while len(rest) < chunk_size + 2:
                if not self._receive():
                    return body, False
                rest = self.data.split(b'\r\n', 1)[1]
            body += rest[:chunk_size]
            self.data = rest[chunk_size + 2 :]
            if chunk_size == 0:
                return body, True

    def _receive(self):
        try:
            data = self.stream.recv(65_536)
        except ConnectionError:
            return False
        self.data += data
        return bool(data)
