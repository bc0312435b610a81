"""Stand-in of a plain server or an engine, in a process of its own.

Usage: server.py ID KIND LOG [OPTION=VALUE...]; prints its port.

KIND is plain or engine. Each line of LOG is a JSON object: what arrived, what
was run and how it ended, with the time in s on the monotonic clock. A sound
server checks Expect-Instance, runs ``slots`` requests at once, queues
``queue`` more and answers 503 with Not-Executed beyond that.
"""

import json
import pathlib
import socket
import sys
import threading
import time

GARBAGE = b'x' + b'\n' * 16_002
GARBAGE_CHUNK = b'%x\r\n%s\r\n' % (len(GARBAGE), GARBAGE)


class Server:
    def __init__(self, name, kind, log, options):
        self.name, self.kind = name, kind
        self.log = pathlib.Path(log).open('a', buffering=1)
        self.lock = threading.Lock()
        self.work_s = float(options.get('work_ms', 22)) / 1_000
        self.events = int(options.get('events', 40))
        self.gap_s = float(options.get('gap_ms', 30)) / 1_000
        # Streams have a length for each part, or end with their channel.
        self.is_framed = options.get('framing', 'chunks') == 'chunks'
        self.slots = threading.Semaphore(int(options.get('slots', 6)))
        self.places = int(options.get('slots', 6)) + int(
            options.get('queue', 24)
        )
        # From when to when, on the monotonic clock, and what share of the
        # answers is followed by garbage without end.
        self.bad_from = float(options.get('bad_from', 'inf'))
        self.bad_to = float(options.get('bad_to', 'inf'))
        self.bad_share = float(options.get('bad_share', 0))
        self.taken = 0
        self.served = 0
        # The first answer is spoilt.
        self.spoilt = 1.0 - self.bad_share

    def write(self, what, request, **more):
        line = {'t': round(time.monotonic(), 4), 'server': self.name}
        line.update(what=what, request=request, **more)
        with self.lock:
            self.log.write(json.dumps(line) + '\n')

    def serve(self, stream):
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b''
        try:
            while True:
                while b'\r\n\r\n' not in data:
                    more = stream.recv(262_144)
                    if not more:
                        return
                    data += more
                head, data = data.split(b'\r\n\r\n', 1)
                lines = head.decode('latin-1').split('\r\n')
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get('content-length', 0))
                count = len(data)
                if count <= size:
                    data = b''
                    while count < size:
                        more = stream.recv(min(262_144, size - count))
                        if not more:
                            return
                        count += len(more)
                else:
                    data = data[size:]
                if lines[0].split()[1].startswith('/api/'):
                    # No copies of runs are kept here.
                    self.reply(stream, 503, '', b'{}')
                    continue
                self.answer(stream, headers, size)
        except OSError:
            return
        finally:
            stream.close()

    def answer(self, stream, headers, size):
        request = headers.get('request-id', '')
        self.write('arrived', request, bytes=size)
        if headers.get('expect-instance', self.name) != self.name:
            self.reply(stream, 421, request, b'', 'Not-Executed: 1\r\n')
            return
        with self.lock:
            is_full = self.taken >= self.places
            self.taken += not is_full
        if is_full:
            self.reply(stream, 503, request, b'', 'Not-Executed: 1\r\n')
            return
        try:
            with self.slots:
                self.write('run', request)
                if self.kind == 'plain':
                    time.sleep(self.work_s)
                    body = b'answer to ' + request.encode()
                    self.reply(stream, 200, request, body, stamp=True)
                else:
                    self.stream(stream, headers, request)
                self.write('ended', request)
        finally:
            with self.lock:
                self.taken -= 1

    def reply(self, stream, status, request, body, more='', stamp=False):
        if stamp:
            more += f'Server-Stamp: {self.name}.{request}\r\n'
        head = (
            f'HTTP/1.1 {status} X\r\nRequest-Id: {request}\r\n{more}'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        stream.sendall(head.encode() + body)

    def is_spoilt(self):
        if not self.bad_from <= time.monotonic() < self.bad_to:
            return False
        with self.lock:
            self.spoilt += self.bad_share
            if self.spoilt < 1:
                return False
            self.spoilt -= 1
            return True

    def stream(self, stream, headers, request):
        if 'kv-from' in headers:
            # No copies are kept here.
            self.reply(stream, 503, request, b'', 'Not-Executed: 1\r\n')
            return
        framing = 'Transfer-Encoding: chunked\r\n' if self.is_framed else ''
        stream.sendall(
            f'HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n'
            f'Server-Stamp: {self.name}.{request}\r\n'
            f'Content-Type: text/event-stream\r\n{framing}\r\n'.encode()
        )
        is_spoilt = self.is_spoilt()
        start = int(headers.get('last-event-id', 0))
        for index in range(start + 1, self.events + 1):
            time.sleep(self.gap_s)
            event = f'id: {index}\ndata: {request} {index}\n\n'.encode()
            if self.is_framed:
                event = b'%x\r\n%s\r\n' % (len(event), event)
            stream.sendall(event)
            if is_spoilt:
                self.write('garbage begins', request)
                try:
                    while True:
                        stream.sendall(GARBAGE_CHUNK)
                finally:
                    self.write('garbage ends', request)
        self.write('all sent', request)
        if self.is_framed:
            stream.sendall(b'0\r\n\r\n')
        else:
            stream.shutdown(socket.SHUT_RDWR)


def main():
    name, kind, log = sys.argv[1:4]
    options = dict(each.split('=', 1) for each in sys.argv[4:])
    server = Server(name, kind, log, options)
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(256)
    print(listener.getsockname()[1], flush=True)
    while True:
        stream, _ = listener.accept()
        threading.Thread(
            target=server.serve, args=(stream,), daemon=True
        ).start()


main()
