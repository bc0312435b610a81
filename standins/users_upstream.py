"""Plain servers and engines of the users' platform's stand-in."""

import json
import threading
import time

from standins import users_faults
from standins import users_http

__all__ = ['UpstreamHandler']

EVENT_INTERVAL_S = 0.02
STREAM_EVENTS = 40
LARGE_BYTES = 6_000_000
HANG_S = 30.0
LATE_S = 0.5
CRASH_DELAY_S = 0.1
"""Time before a crash that the prompt of a request causes; s."""


class UpstreamHandler(users_http.Handler):
    """HTTP handler of a plain server or an engine."""

    def setup(self) -> None:
        super().setup()
        self.refusal: dict[str, str] | None = None
        self.server.owner.connections += 1

    def end_headers(self) -> None:
        limit_per_s = self.server.owner.limit_per_s
        if limit_per_s is not None:
            self.send_header('Server-Limit', str(limit_per_s))
        if self.server.owner.is_leaving:
            self.send_header('Server-Leaving', '1')
        left_ms = self.server.owner.cold_left_ms
        if left_ms:
            self.send_header('Warmup-Remaining', str(left_ms))
        super().end_headers()

    def do_GET(self) -> None:
        self.serve()

    def do_POST(self) -> None:
        self.serve()

    def serve(self) -> None:
        upstream = self.server.owner
        body = self.read_body()
        upstream.arrivals_s.append(time.monotonic())
        if self.path == '/api/kv-move':
            self.move(json.loads(body))
            return
        upstream.seen.append(
            {
                name: users_http.decode_text(value)
                for name, value in self.headers.items()
            }
        )
        upstream.bodies.append(body)
        request = self.headers['Request-Id']
        fault = upstream.faults.pop(0) if upstream.faults else ''
        if upstream.is_overrun():
            upstream.crash()
        if upstream.broken.is_set():
            self.close_connection = True
        elif upstream.seen[-1].get('Expect-Instance') != upstream.name:
            headers = {
                'Request-Id': request,
                'Instance-Id': users_http.encode_text(upstream.name),
            }
            self.answer(421, headers, b'')
        elif upstream.pause_s is not None:
            upstream.turned_away_s.append(time.monotonic())
            self.refuse(
                {'Request-Id': request, 'Retry-After': str(upstream.pause_s)}
            )
        elif fault == 'shed':
            self.refuse({})
        elif fault == 'refusal':
            self.refuse({'Request-Id': request})
        elif fault == 'hang':
            upstream.platform.record_run(request, upstream.name)
            upstream.broken.wait(HANG_S)
            self.close_connection = True
        elif upstream.service == 'writer':
            self.stream(request, fault)
        else:
            upstream.platform.record_run(request, upstream.name)
            self.call(request, fault, body)

    def refuse(self, headers: dict[str, str]) -> None:
        self.refusal = {**headers, 'Not-Executed': '1'}
        self.answer(503, self.refusal, b'')

    def call(self, request: str | None, fault: str, body: bytes) -> None:
        if fault == 'unnamed_refusal':
            # The second copy of a refusal of another caller's request.
            self.refuse({})
        elif fault == 'repeat_refusal' and self.refusal is not None:
            self.answer(503, self.refusal, b'')
        headers = {'Request-Id': request, 'Server-Stamp': f's-{request}'}
        if request is None:
            del headers['Request-Id']
        complete = f'answer to {request} '.encode() + body
        if fault == 'large':
            complete += b'.' * LARGE_BYTES
        elif fault == 'late':
            time.sleep(LATE_S)
        if fault in users_faults.FAULTS:
            users_faults.respond(self, request, fault)
        elif fault == 'vanish':
            self.close_connection = True
        elif fault == 'cut':
            self.send_response_only(200)
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header('Content-Length', str(len(complete)))
            self.end_headers()
            self.wfile.write(complete[:-3])
            self.close_connection = True
        elif fault == 'unframed':
            self.send_response_only(200)
            for name, value in headers.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(complete)
            self.close_connection = True
        elif fault == 'forged':
            self.answer(200, {'Request-Id': request}, complete)
        else:
            self.answer(200, headers, complete)
            if fault == 'extra':
                # Arrives while the next answer is expected.
                threading.Timer(
                    0.05, self.answer, (200, headers, complete)
                ).start()

    def stream(self, request: str, fault: str) -> None:
        upstream = self.server.owner
        source = self.headers['Kv-From']
        # Calls that copy the memory name the run in JSON.
        run = users_http.decode_text(request)
        start = int(self.headers.get('Last-Event-Id', 0))
        if source is not None:
            key = (upstream.address, source)
            if upstream.platform.copies.pop(key, None) != run:
                self.answer(503, {'Not-Executed': '1'}, b'')
                return
            fault = upstream.continuation_fault or fault
        else:
            upstream.platform.record_run(request, upstream.name)
        copy_to = self.headers['Kv-Backup']
        if copy_to is not None and upstream.platform.keeps_copies:
            key = (copy_to, f'{copy_to}/{request}')
            upstream.platform.copies[key] = run
        if fault:
            users_faults.respond(self, request, fault)
            return
        is_deadly = upstream.is_deadly(self.headers['Prompt-Prefix'])
        if is_deadly and upstream.crashes_before_head:
            self.crash()
            return
        self.send_response_only(200)
        self.send_header('Request-Id', request)
        self.send_header('Server-Stamp', f's-{request}')
        self.send_header('Content-Type', 'text/event-stream')
        self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()
        if is_deadly:
            self.crash()
            return
        for index in range(start + 1, STREAM_EVENTS + 1):
            if upstream.broken.is_set():
                self.close_connection = True
                return
            time.sleep(EVENT_INTERVAL_S)
            if upstream.paused_after == index - 1:
                upstream.resumed.wait(HANG_S)
            event = f'id: {index}\ndata: {request} {index}\n\n'.encode()
            self.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
        self.wfile.write(b'0\r\n\r\n')

    def crash(self) -> None:
        time.sleep(CRASH_DELAY_S)
        self.server.owner.crash_and_restart()
        self.close_connection = True

    def move(self, call: dict) -> None:
        upstream = self.server.owner
        if upstream.move_fault:
            users_faults.respond(self, call['id'], upstream.move_fault)
            return
        handle = f'h{len(upstream.platform.copies)}'
        key = (call['to'], f'{upstream.address}/{handle}')
        upstream.platform.copies[key] = call['id']
        answer = {'handle': handle, 'created': 0}
        self.answer(200, {}, json.dumps(answer).encode())
