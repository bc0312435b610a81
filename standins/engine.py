"""Stand-in of a model engine: a batching simulation behind HTTP."""

import collections.abc
import os
import random
import threading
import time

import msgspec
import typer
from werkzeug import wrappers

from eelgrassknot import clock as clocks
from standins import engine_model
from standins import engine_orders
from standins import engine_telemetry
from standins import engine_wire
from standins import serving

__all__ = ['Control', 'Engine', 'Record', 'main']

IDLE_POLL_S = 0.05
SNAPSHOT_MS = 50.0
STREAM_WAIT_S = 1.0


class Control(msgspec.Struct):
    """Simulated faults and delays of the engine.

    Attributes:
        slowdown: Factor on the duration of each step.
        stalled: Whether the engine runs no steps.
        state: ``live`` or ``leaving``.
        load_lag_ms: Age of the reported load.
        cache_lag_ms: Age of the newest reported cache event.
        cache_gap_probability: Probability that a cache event is lost.
        keep_ms: How long a generation is kept after its end.
        mute_streams: Whether open streams send no further events.
    """

    slowdown: float = 1.0
    stalled: bool = False
    state: str = 'live'
    load_lag_ms: float = 500.0
    cache_lag_ms: float = 500.0
    cache_gap_probability: float = 0.05
    keep_ms: float = 20_000.0
    mute_streams: bool = False


class Record(msgspec.Struct):
    """Record of one generation for the checkers.

    Attributes:
        at_ms: Time of acceptance on the machine's monotonic clock.
        attaches: Number of streams opened for it.
    """

    generation: str
    request_id: str
    at_ms: float
    produced: int = 0
    state: str = 'waiting'
    attaches: int = 0


class Engine:
    """Runs the simulation in real time and serves HTTP.

    Args:
        model: Simulation of the batch.
        orders: Loaded models and received orders.
        seed: Seed of the gaps in the cache events.
    """

    def __init__(
        self,
        model: engine_model.EngineModel,
        orders: engine_orders.Orders,
        seed: int,
    ) -> None:
        self.clock = clocks.MonotonicClock()
        self.model = model
        self.orders = orders
        self.control = Control()
        self.telemetry = engine_telemetry.Telemetry(random.Random(seed))
        self.lock = threading.Lock()
        self.work_available = threading.Condition(self.lock)
        self.token_conditions: dict[str, threading.Condition] = {}
        self.records: dict[str, Record] = {}
        self.leaving_since_ms: float | None = None
        self.application = serving.Application()
        self._add_routes()

    def _add_routes(self) -> None:
        generation = '/v1/generations/<generation>'
        routes = (
            ('POST', '/v1/completions', self.complete),
            ('POST', '/v1/chat/completions', self.complete),
            ('GET', generation, self.resume),
            ('DELETE', generation, self.cancel),
            ('GET', f'{generation}/status', self.get_status),
            ('GET', '/load', self.get_load),
            ('GET', '/cache/events', self.get_cache_events),
            ('POST', '/orders', self.order),
            ('GET', '/orders/state', self.get_orders),
            ('GET', '/control', self.get_control),
            ('POST', '/control', self.set_control),
            ('POST', '/control/reclaim', self.reclaim),
            ('POST', '/control/forget', self.forget),
            ('GET', '/control/history', self.get_history),
        )
        for method, rule, handler in routes:
            self.application.add(method, rule, handler)

    def run(self) -> None:
        """Step the simulation until the process exits."""
        next_snapshot_ms = 0.0
        while True:
            now_ms = self.clock.now_ms()
            with self.lock:
                self.model.config.slowdown = self.control.slowdown
                if not self.control.stalled:
                    self._notify_all_changed(self.model.advance(now_ms))
                if now_ms >= next_snapshot_ms:
                    self._snapshot(now_ms)
                    next_snapshot_ms = now_ms + SNAPSHOT_MS
                self.work_available.wait(self._pause_s(now_ms))

    def _pause_s(self, now_ms: float) -> float:
        ends_ms = self.model.next_ms()
        if ends_ms is None or self.control.stalled:
            return IDLE_POLL_S
        pause_s = (ends_ms - now_ms) / clocks.MS_PER_SECOND
        return min(IDLE_POLL_S, max(0.0, pause_s))

    def _notify_all_changed(self, events: list[engine_model.Event]) -> None:
        touched = {event.generation for event in events}
        for generation in touched:
            self._notify_streams(generation)

    def _notify_streams(self, generation: str) -> None:
        state = self.model.generations[generation]
        record = self.records[generation]
        record.produced = state.produced
        record.state = state.state
        self.token_conditions[generation].notify_all()

    def _snapshot(self, now_ms: float) -> None:
        gap_probability = self.control.cache_gap_probability
        self.telemetry.snapshot(self.model, gap_probability, now_ms)
        for generation in self.model.forget(now_ms - self.control.keep_ms):
            del self.token_conditions[generation]

    def complete(self, request: wrappers.Request) -> wrappers.Response:
        """Start a generation, or attach to an existing one with its id."""
        body = serving.read_json(request)
        generation = request.headers.get('X-Generation-Id', '')
        if not generation:
            return serving.json_answer({'error': 'no generation id'}, 400)
        with self.lock:
            known = generation in self.model.generations
            if not known and self.control.state == 'leaving':
                return serving.json_answer({'error': 'leaving'}, 503)
            try:
                self._submit(request, body, generation)
            except engine_model.FullError:
                return serving.json_answer({'error': 'full'}, 503)
        return self._stream(generation, 0)

    def _submit(
        self, request: wrappers.Request, body: dict, generation: str
    ) -> None:
        now_ms = self.clock.now_ms()
        request_id = request.headers.get('X-Request-Id', '')
        self.model.submit(
            generation,
            request_id,
            engine_wire.prompt_of(body),
            body.get('max_tokens'),
            request.headers.get('X-Priority') != 'batch',
            now_ms,
        )
        if generation not in self.token_conditions:
            self.token_conditions[generation] = threading.Condition(self.lock)
        record = self.records.setdefault(
            generation, Record(generation, request_id, now_ms)
        )
        record.attaches += 1
        self.work_available.notify()

    def resume(
        self, request: wrappers.Request, generation: str
    ) -> wrappers.Response:
        """Stream an existing generation starting at a token index."""
        first = request.args.get('from', 0, type=int)
        with self.lock:
            if generation not in self.model.generations:
                return serving.json_answer({'error': 'unknown'}, 404)
            self.records[generation].attaches += 1
        return self._stream(generation, first)

    def _stream(self, generation: str, first: int) -> wrappers.Response:
        return wrappers.Response(
            self._events(generation, first),
            content_type='text/event-stream',
        )

    def _events(
        self, generation: str, first: int
    ) -> collections.abc.Iterator[bytes]:
        index = first
        state = self.model.generations.get(generation)
        if state is None:
            return
        while True:
            with self.lock:
                self._await_token(generation, state, index)
                produced = state.produced
                over = state.state
                muted = self.control.mute_streams
            if muted:
                time.sleep(IDLE_POLL_S)
                continue
            while index < produced:
                yield engine_wire.token_event(state, index)
                index += 1
            if over == 'done':
                yield engine_wire.DONE_EVENT
                return
            if over == 'cancelled':
                return

    def _await_token(
        self,
        generation: str,
        state: engine_model.Generation,
        index: int,
    ) -> None:
        condition = self.token_conditions.get(generation)
        while state.is_active and state.produced <= index:
            condition.wait(STREAM_WAIT_S)

    def get_status(
        self, request: wrappers.Request, generation: str
    ) -> wrappers.Response:
        """Return the progress of a generation, or 404."""
        with self.lock:
            state = self.model.generations.get(generation)
            if state is None:
                return serving.json_answer({'error': 'unknown'}, 404)
            return serving.json_answer(
                {'state': state.state, 'produced': state.produced}
            )

    def cancel(
        self, request: wrappers.Request, generation: str
    ) -> wrappers.Response:
        """Cancel a generation; idempotent."""
        with self.lock:
            self._cancel(generation)
        return serving.json_answer({})

    def _cancel(self, generation: str) -> None:
        if generation in self.model.generations:
            self.model.cancel(generation, self.clock.now_ms())
            self._notify_streams(generation)

    def get_load(self, request: wrappers.Request) -> wrappers.Response:
        """Return the load with the configured lag."""
        visible_ms = self.clock.now_ms() - self.control.load_lag_ms
        with self.lock:
            load = self.telemetry.load(visible_ms)
            held = self.orders.state(self.clock.now_ms())
        return serving.json_answer(
            {
                **load,
                'state': self.control.state,
                'models': held['models'],
                'role': held['role'],
            }
        )

    def get_cache_events(self, request: wrappers.Request) -> wrappers.Response:
        """Return cache events with the configured lag and gaps."""
        after = request.args.get('after', 0, type=int)
        visible_ms = self.clock.now_ms() - self.control.cache_lag_ms
        with self.lock:
            events = self.telemetry.cache_events(after, visible_ms)
        last = events[-1]['seq'] if events else after
        return serving.json_answer({'events': events, 'next': last})

    def order(self, request: wrappers.Request) -> wrappers.Response:
        """Accept an order, or refuse one with a stale fencing number."""
        order = msgspec.json.decode(
            request.get_data(), type=engine_orders.Order
        )
        with self.lock:
            seen = self.orders.take(order, self.clock.now_ms())
        if seen is not None:
            stale = {'error': 'stale_fencing', 'seen': seen}
            return serving.json_answer(stale, 409)
        return serving.json_answer({}, 202)

    def get_orders(self, request: wrappers.Request) -> wrappers.Response:
        """Return the loaded models and pending orders."""
        with self.lock:
            return serving.json_answer(self.orders.state(self.clock.now_ms()))

    def get_control(self, request: wrappers.Request) -> wrappers.Response:
        """Return the current faults."""
        return serving.json_answer(self.control)

    def set_control(self, request: wrappers.Request) -> wrappers.Response:
        """Change the faults given in the body."""
        changes = serving.read_json(request)
        with self.lock:
            self.control = serving.merge_changes(self.control, changes)
            leaving = self.control.state == 'leaving'
            if leaving and self.leaving_since_ms is None:
                self.leaving_since_ms = self.clock.now_ms()
            if not leaving:
                self.leaving_since_ms = None
            self.work_available.notify()
        return serving.json_answer(self.control)

    def reclaim(self, request: wrappers.Request) -> wrappers.Response:
        """Announce that the engine is leaving, and exit after a delay."""
        notice_ms = serving.read_json(request).get('notice_ms', 2_000.0)
        with self.lock:
            self.control = serving.merge_changes(
                self.control, {'state': 'leaving'}
            )
            self.leaving_since_ms = self.clock.now_ms()
        timer = threading.Timer(
            notice_ms / clocks.MS_PER_SECOND, os._exit, (0,)
        )
        timer.daemon = True
        timer.start()
        return serving.json_answer({})

    def forget(self, request: wrappers.Request) -> wrappers.Response:
        """Drop all generations, like an engine that was restarted."""
        with self.lock:
            for generation in list(self.model.generations):
                self._cancel(generation)
            now_ms = self.clock.now_ms()
            for generation in self.model.forget(now_ms):
                del self.token_conditions[generation]
        return serving.json_answer({})

    def get_history(self, request: wrappers.Request) -> wrappers.Response:
        """Return the records of generations and orders."""
        with self.lock:
            return serving.json_answer(
                {
                    'generations': list(self.records.values()),
                    'orders': self.orders.taken,
                    'leaving_since_ms': self.leaving_since_ms,
                    'preemptions': self.model.preemptions,
                }
            )


def main(
    listen: str = '127.0.0.1:0',
    seed: int = 0,
    kv_tokens: int = 60_000,
    max_running: int = 64,
    max_waiting: int = 256,
    step_ms: float = 18.0,
    mean_output_tokens: int = 120,
    model: str = 'model',
    version: str = '1',
    adapter: list[str] = [],  # noqa: B006
    role: str = 'decode',
    check_fencing: bool = True,
    load_time_ms: float = 500.0,
) -> None:
    """Run an engine's stand-in until SIGTERM."""
    config = engine_model.EngineConfig(
        kv_tokens_total=kv_tokens,
        max_running=max_running,
        max_waiting=max_waiting,
        step_base_ms=step_ms,
        mean_output_tokens=mean_output_tokens,
    )
    orders = engine_orders.Orders(check_fencing, load_time_ms, role)
    if model:
        orders.hold(model, version, adapter)
    engine = Engine(engine_model.EngineModel(config, seed), orders, seed)
    threading.Thread(target=engine.run, daemon=True).start()
    serving.serve(engine.application, listen)


if __name__ == '__main__':
    typer.run(main)
