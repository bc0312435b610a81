"""Stand-in of the platform: table, object store and list of VMs."""

import collections.abc
import random
import threading
import time
import typing

import msgspec
import typer
from werkzeug import wrappers

from eelgrassknot import clock as clocks
from standins import counters
from standins import serving
from standins import table

__all__ = ['Control', 'Platform', 'VmLists', 'main']

MAX_BLACK_HOLE_S = 600.0
BLACK_HOLE_POLL_S = 0.05
VIEWS = '/views/'


class Control(msgspec.Struct):
    """Simulated faults of the platform.

    Attributes:
        latency_ms: Delay before each request is handled.
        outage: ``none``, ``refuse`` (503) or ``black_hole``.
        lose_answers: When to drop the connection of a transaction after
            its commit.
        refuse_writes: When to answer a transaction with 503 without
            committing it.
        vm_list_lag_ms: Lag of the list of VMs.
    """

    latency_ms: float = 0.0
    outage: str = 'none'
    lose_answers: serving.FaultTrigger = msgspec.field(
        default_factory=serving.FaultTrigger
    )
    refuse_writes: serving.FaultTrigger = msgspec.field(
        default_factory=serving.FaultTrigger
    )
    vm_list_lag_ms: float = 0.0


class VmLists(msgspec.Struct):
    """The list of VMs, and alternative lists by view.

    A daemon whose platform URL ends in ``/views/NAME`` receives the list
    of that view, so that a test can place a proxy in front of each
    upstream.
    """

    vms: list[dict]
    views: dict[str, list[dict]] = {}


class Platform:
    """Table, object store and VM list as one HTTP application.

    Args:
        seed: Seed of random faults.
    """

    def __init__(self, seed: int) -> None:
        self.clock = clocks.MonotonicClock()
        self.control = Control()
        self.generator = random.Random(seed)
        self.table = table.Table()
        self.objects: dict[str, bytes] = {}
        self.vm_lists: list[tuple[float, VmLists]] = []
        self.counters = counters.Counters()
        self.lock = threading.Lock()
        self.application = serving.Application()
        self._add_routes()

    def _add_routes(self) -> None:
        routes = (
            ('POST', '/transactions', 'writes', self.commit),
            ('GET', '/rows/<name>', 'reads', self.list_rows),
            ('GET', '/rows/<name>/<path:key>', 'reads', self.get_row),
            ('GET', '/objects', 'reads', self.list_objects),
            ('GET', '/objects/<path:key>', 'reads', self.get_object),
            ('PUT', '/objects/<path:key>', 'writes', self.put_object),
            ('DELETE', '/objects/<path:key>', 'writes', self.delete_object),
            ('GET', '/vms', 'reads', self.get_vms),
        )
        for method, rule, kind, handler in routes:
            self.application.add(method, rule, self._guarded(kind, handler))
        add = self.application.add
        add('GET', '/control', self.get_control)
        add('POST', '/control', self.set_control)
        add('PUT', '/control/vms', self.set_vms)
        add('GET', '/control/counters', self.get_counters)

    def _guarded(self, kind: str, handler: serving.Handler) -> serving.Handler:
        def guarded(
            request: wrappers.Request, **values: str
        ) -> wrappers.Response:
            if self.control.latency_ms:
                time.sleep(self.control.latency_ms / clocks.MS_PER_SECOND)
            if self.control.outage == 'refuse':
                return serving.json_answer({'error': 'outage'}, 503)
            if self.control.outage == 'black_hole':
                return self._black_hole(request)
            self.counters.count(kind, self.clock.now_ms())
            return handler(request, **values)

        return guarded

    def _black_hole(self, request: wrappers.Request) -> wrappers.Response:
        until = time.monotonic() + MAX_BLACK_HOLE_S
        while self.control.outage == 'black_hole':
            if time.monotonic() > until:
                break
            time.sleep(BLACK_HOLE_POLL_S)
        return serving.drop_connection(request)

    def commit(self, request: wrappers.Request) -> wrappers.Response:
        """Execute a transaction atomically."""
        transaction = msgspec.json.decode(
            request.get_data(), type=table.Transaction
        )
        with self.lock:
            if self.control.refuse_writes.fires(self.generator):
                return serving.json_answer({'error': 'refused'}, 503)
            outcome = self.table.commit(transaction)
            lost = self.control.lose_answers.fires(self.generator)
        if lost:
            return serving.drop_connection(request)
        if isinstance(outcome, table.FailedCondition):
            return serving.json_answer({'failed': outcome}, 409)
        return serving.json_answer({'versions': outcome})

    def get_row(
        self, request: wrappers.Request, name: str, key: str
    ) -> wrappers.Response:
        """Return one row, or 404."""
        with self.lock:
            row = self.table.get(name, key)
        if row is None:
            return serving.json_answer({'error': 'absent'}, 404)
        return serving.json_answer(row)

    def list_rows(
        self, request: wrappers.Request, name: str
    ) -> wrappers.Response:
        """Return rows in order of their keys."""
        limit = request.args.get('limit', type=int)
        with self.lock:
            rows = self.table.scan(
                name,
                request.args.get('prefix', ''),
                request.args.get('after', ''),
                limit,
            )
        return serving.json_answer({'rows': rows})

    def put_object(
        self, request: wrappers.Request, key: str
    ) -> wrappers.Response:
        """Store an object; with ``If-None-Match: *`` only if it is new."""
        body = request.get_data()
        only_new = request.headers.get('If-None-Match') == '*'
        with self.lock:
            if only_new and key in self.objects:
                return serving.json_answer({'error': 'exists'}, 412)
            self.objects[key] = body
        return serving.json_answer({}, 201)

    def get_object(
        self, request: wrappers.Request, key: str
    ) -> wrappers.Response:
        """Return one object, or 404."""
        body = self.objects.get(key)
        if body is None:
            return serving.json_answer({'error': 'absent'}, 404)
        return wrappers.Response(body, content_type='application/octet-stream')

    def delete_object(
        self, request: wrappers.Request, key: str
    ) -> wrappers.Response:
        """Delete an object; idempotent."""
        with self.lock:
            self.objects.pop(key, None)
        return wrappers.Response(status=204)

    def list_objects(self, request: wrappers.Request) -> wrappers.Response:
        """Return the keys that begin with a prefix."""
        prefix = request.args.get('prefix', '')
        with self.lock:
            keys = sorted(k for k in self.objects if k.startswith(prefix))
        return serving.json_answer({'keys': keys})

    def get_vms(self, request: wrappers.Request) -> wrappers.Response:
        """Return the list of VMs with the configured lag."""
        visible_ms = self.clock.now_ms() - self.control.vm_list_lag_ms
        view = request.root_path.removeprefix(VIEWS)
        with self.lock:
            lists = self.vm_lists[0][1] if self.vm_lists else VmLists([])
            for at_ms, listed in self.vm_lists:
                if at_ms <= visible_ms:
                    lists = listed
        vms = lists.views.get(view, lists.vms)
        return serving.json_answer({'vms': vms})

    def set_vms(self, request: wrappers.Request) -> wrappers.Response:
        """Replace the list of VMs; the body is as returned by GET /vms."""
        lists = msgspec.json.decode(request.get_data(), type=VmLists)
        with self.lock:
            self.vm_lists.append((self.clock.now_ms(), lists))
        return serving.json_answer({})

    def wsgi(
        self, environ: dict, start_response: typing.Callable
    ) -> collections.abc.Iterable[bytes]:
        """Handle a request whose path may begin with a view."""
        path = environ['PATH_INFO']
        if path.startswith(VIEWS):
            view, _, rest = path.removeprefix(VIEWS).partition('/')
            environ['SCRIPT_NAME'] = f'{VIEWS}{view}'
            environ['PATH_INFO'] = f'/{rest}'
        return self.application(environ, start_response)

    def get_control(self, request: wrappers.Request) -> wrappers.Response:
        """Return the current faults."""
        return serving.json_answer(self.control)

    def set_control(self, request: wrappers.Request) -> wrappers.Response:
        """Change the faults given in the body."""
        changes = serving.read_json(request)
        self.control = serving.merge_changes(self.control, changes)
        return serving.json_answer(self.control)

    def get_counters(self, request: wrappers.Request) -> wrappers.Response:
        """Return the numbers of reads and writes served."""
        return serving.json_answer(self.counters.summary(self.clock.now_ms()))


def main(listen: str = '127.0.0.1:0', seed: int = 0) -> None:
    """Run the platform's stand-in until SIGTERM."""
    serving.serve(Platform(seed).wsgi, listen)


if __name__ == '__main__':
    typer.run(main)
