"""Stand-in of a plain service that records what it executed."""

import collections
import random
import threading
import time

import msgspec
import typer
from werkzeug import wrappers

from eelgrassknot import clock as clocks
from standins import serving

__all__ = ['Control', 'Execution', 'PlainService', 'main']

MAX_SILENCE_S = 600.0
REQUEST_ID_HEADER = 'X-Request-Id'


class Control(msgspec.Struct):
    """Simulated faults of the service.

    Attributes:
        latency_ms: Normal time to execute a call.
        state: ``live`` or ``leaving``; if leaving, all calls get 503.
        late: When to delay an answer by ``late_ms``.
        crossed: When to send the answer to another request.
        silent: When to execute the call without answering.
        closed: When to close the connection after executing the call.
        failed: When to answer 500 after executing the call.
    """

    latency_ms: float = 0.0
    state: str = 'live'
    late_ms: float = 1_000.0
    late: serving.FaultTrigger = msgspec.field(
        default_factory=serving.FaultTrigger
    )
    crossed: serving.FaultTrigger = msgspec.field(
        default_factory=serving.FaultTrigger
    )
    silent: serving.FaultTrigger = msgspec.field(
        default_factory=serving.FaultTrigger
    )
    closed: serving.FaultTrigger = msgspec.field(
        default_factory=serving.FaultTrigger
    )
    failed: serving.FaultTrigger = msgspec.field(
        default_factory=serving.FaultTrigger
    )


class Execution(msgspec.Struct):
    """One call that the service executed.

    Attributes:
        at_ms: Start time on the machine's monotonic clock.
    """

    at_ms: float
    request_id: str
    key: str | None
    method: str
    path: str
    body: str


class PlainService:
    """Executes, counts and echoes every call.

    Args:
        seed: Seed of random faults.
    """

    def __init__(self, seed: int) -> None:
        self.clock = clocks.MonotonicClock()
        self.control = Control()
        self.generator = random.Random(seed)
        self.executions: list[Execution] = []
        self.counts: collections.Counter = collections.Counter()
        self.running = 0
        self.previous_answer: tuple[str, bytes] = (
            'crossed-0',
            b'{"crossed": true}',
        )
        self.lock = threading.Lock()
        self.application = serving.Application()
        add = self.application.add
        add('GET', '/load', self.get_load)
        add('GET', '/control', self.get_control)
        add('POST', '/control', self.set_control)
        add('GET', '/control/history', self.get_history)
        add('ANY', '/', self.call)
        add('ANY', '/<path:path>', self.call)

    def call(
        self, request: wrappers.Request, path: str = ''
    ) -> wrappers.Response:
        """Execute a call and answer it, subject to the current faults."""
        if self.control.state == 'leaving':
            return serving.json_answer({'error': 'leaving'}, 503)
        execution = self._record(request, path)
        try:
            time.sleep(self.control.latency_ms / clocks.MS_PER_SECOND)
            return self._answer(request, execution)
        finally:
            with self.lock:
                self.running -= 1

    def _record(self, request: wrappers.Request, path: str) -> Execution:
        execution = Execution(
            self.clock.now_ms(),
            request.headers.get(REQUEST_ID_HEADER, ''),
            request.headers.get('Idempotency-Key'),
            request.method,
            f'/{path}',
            request.get_data(as_text=True),
        )
        with self.lock:
            self.running += 1
            self.executions.append(execution)
            self.counts[execution.key or execution.request_id] += 1
        return execution

    def _answer(
        self, request: wrappers.Request, execution: Execution
    ) -> wrappers.Response:
        control = self.control
        generator = self.generator
        body = msgspec.json.encode(
            {
                'request_id': execution.request_id,
                'path': execution.path,
                'body': execution.body,
            }
        )
        own = (execution.request_id, body)
        if control.late.fires(generator):
            time.sleep(control.late_ms / clocks.MS_PER_SECOND)
        if control.silent.fires(generator):
            time.sleep(MAX_SILENCE_S)
        if control.closed.fires(generator):
            return serving.drop_connection(request)
        if control.crossed.fires(generator):
            return _reply(self.previous_answer, 200)
        with self.lock:
            self.previous_answer = own
        status = 500 if control.failed.fires(generator) else 200
        return _reply(own, status)

    def get_load(self, request: wrappers.Request) -> wrappers.Response:
        """Return the load in the format of WIRE.md."""
        return serving.json_answer(
            {
                'at_ms': self.clock.now_ms(),
                'running': self.running,
                'state': self.control.state,
            }
        )

    def get_control(self, request: wrappers.Request) -> wrappers.Response:
        """Return the current faults."""
        return serving.json_answer(self.control)

    def set_control(self, request: wrappers.Request) -> wrappers.Response:
        """Change the faults given in the body."""
        changes = serving.read_json(request)
        self.control = serving.merge_changes(self.control, changes)
        return serving.json_answer(self.control)

    def get_history(self, request: wrappers.Request) -> wrappers.Response:
        """Return all executions and the counts per key."""
        with self.lock:
            return serving.json_answer(
                {'executions': self.executions, 'counts': self.counts}
            )


def _reply(answer: tuple[str, bytes], status: int) -> wrappers.Response:
    request_id, body = answer
    return wrappers.Response(
        body,
        status=status,
        content_type='application/json',
        headers={REQUEST_ID_HEADER: request_id},
    )


def main(listen: str = '127.0.0.1:0', seed: int = 0) -> None:
    """Run a plain service's stand-in until SIGTERM."""
    serving.serve(PlainService(seed).application, listen)


if __name__ == '__main__':
    typer.run(main)
