"""Daemon part that sends orders to the engines of a region."""

import queue
import time

import msgspec
import result

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import lease_part
from eelgrassknot.coordination import order_messages as messages
from eelgrassknot.coordination import order_planner
from eelgrassknot.coordination import order_rows
from eelgrassknot.coordination import orders
from eelgrassknot.coordination import rollout
from eelgrassknot.coordination import rows
from eelgrassknot.coordination import ticker
from eelgrassknot import exceptions
from eelgrassknot import http_client
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot import logs
from eelgrassknot import states
from eelgrassknot.storage import base

__all__ = ['OrdersPart']

ROUND_MS = 1_000.0
ORDER_TIMEOUT_MS = 2_000
STATE_TIMEOUT_MS = 1_000
# Bounds the cost of a round; reading all engines of a large region takes
# several rounds.
MAX_STATE_READS = 16
MAX_QUEUED_REQUESTS = 1_000
STALL_MS = 1_000.0


@parts.part('orders', after=('lease', 'upstreams', 'config'))
class OrdersPart(parts.Part):
    """Executes the actions of the order planner, in one thread."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.region = node.settings.region
        self.planner = order_planner.OrderPlanner()
        self.lease_held: lease_part.LeaseHeld | None = None
        self.events: queue.SimpleQueue = queue.SimpleQueue()
        self.next_read_index = 0
        self.ticker = ticker.Ticker('orders', ROUND_MS, self._run_round)
        subscribe = node.hub.subscribe
        subscribe(lease_part.LeaseHeld, self.events.put)
        subscribe(lease_part.LeaseEnded, self.events.put)
        subscribe(kernel_events.ConfigAdopted, self.events.put)
        subscribe(kernel_events.UpstreamsChanged, self.events.put)
        subscribe(kernel_events.GenerationRecord, self._request_ended)

    def start(self) -> None:
        """Start the rounds; orders are sent while the lease is held."""
        self.ticker.start()

    def stop(self) -> None:
        """Stop sending orders."""
        self.ticker.stop()

    def status(self) -> dict[str, object]:
        """Return the state of the rollouts of this region."""
        rollouts = dict(self.planner.rollouts)
        return {
            'rollouts': {
                name: plan.state.value for name, plan in rollouts.items()
            }
        }

    def _request_ended(self, facts: kernel_events.GenerationRecord) -> None:
        if self.lease_held is None or facts.upstream is None:
            return
        # A sample of the requests suffices to compare two versions.
        if self.events.qsize() >= MAX_QUEUED_REQUESTS:
            return
        failed = facts.outcome in (
            states.Outcome.INCOMPLETE,
            states.Outcome.FAILED,
            states.Outcome.UNKNOWN,
        )
        bad = failed or facts.stall_ms > STALL_MS
        self.events.put(
            messages.RequestEnded(facts.service, facts.upstream, bad)
        )

    def _run_round(self) -> None:
        while not self.events.empty():
            self._translate(self.events.get())
        if self.lease_held is None:
            return
        for upstream in self._engines_to_read():
            self._read_state(upstream)
        self._handle(messages.Tick())

    def _translate(self, event: object) -> None:
        match event:
            case lease_part.LeaseHeld(fencing):
                self._on_lease_held(event, fencing)
            case lease_part.LeaseEnded():
                self.lease_held = None
                self._handle(messages.LeaseLost())
            case kernel_events.ConfigAdopted(_, text):
                self._handle(messages.ConfigUpdated(text))
            case kernel_events.UpstreamsChanged(upstreams):
                local = tuple(u for u in upstreams if u.region == self.region)
                self._handle(messages.UpstreamsUpdated(local))
            case messages.RequestEnded():
                self._handle(event)

    def _on_lease_held(
        self, held: lease_part.LeaseHeld, fencing: ids.FencingNumber
    ) -> None:
        match self._read_rollouts():
            case result.Ok(records):
                self.lease_held = held
                self._handle(messages.LeaseGained(fencing, records))
            case result.Err(error) if self._is_lease_valid(fencing):
                logs.warning('rollouts_unreadable', why=error.message)
                self.events.put(held)
                time.sleep(ROUND_MS / clocks.MS_PER_SECOND)

    def _read_rollouts(
        self,
    ) -> result.Result[tuple[rollout.RolloutRecord, ...], base.PlatformError]:
        listing = self.node.platform.table.list_rows(
            order_rows.ROLLOUTS_TABLE, prefix=f'{self.region}/'
        )
        return listing.map(
            lambda found: tuple(
                decoded.ok_value.record
                for row in found
                if (
                    decoded := rows.decode(row.value, order_rows.RolloutRow)
                ).is_ok()
            )
        )

    def _is_lease_valid(self, fencing: ids.FencingNumber) -> bool:
        return self.node.part_set.parts['lease'].is_valid(fencing)

    def _handle(self, event: messages.Event) -> None:
        now_ms = self.node.clock.now_ms()
        for action in self.planner.handle(event, now_ms):
            self._execute(action)

    def _execute(self, action: messages.Action) -> None:
        match action:
            case messages.WriteIntent():
                self._write_intent(action)
            case messages.SendOrder():
                self._send(action)
            case messages.SaveRollout():
                self._save_rollout(action)

    def _write_intent(self, action: messages.WriteIntent) -> None:
        written = self._write_order(action, order_rows.OrderState.ANNOUNCED)
        if written:
            self._handle(messages.IntentWritten(action.upstream))
        else:
            self._handle(messages.IntentDropped(action.upstream))

    def _send(self, action: messages.SendOrder) -> None:
        intent = self.planner.pending[action.upstream]
        if not self._is_lease_valid(intent.fencing):
            self._handle(messages.IntentDropped(action.upstream))
            return
        answer = http_client.request(
            'POST',
            f'http://{action.address}/orders',
            msgspec.json.encode(action.request),
            {'Content-Type': 'application/json'},
            timeout_ms=ORDER_TIMEOUT_MS,
            fresh_connection=True,
        )
        state = _order_state(answer)
        logs.event(
            'order',
            upstream=action.upstream,
            order=intent.order.order.value,
            fencing=intent.fencing,
            state=state.value,
        )
        stale = state is order_rows.OrderState.STALE
        self._handle(messages.OrderAnswered(action.upstream, stale))
        self._write_order(intent, state)

    def _write_order(
        self, intent: messages.WriteIntent, state: order_rows.OrderState
    ) -> bool:
        record = order_rows.OrderRecord(
            upstream=intent.upstream,
            service=intent.service,
            region=self.region,
            order=intent.order,
            fencing=intent.fencing,
            holder=self.node.settings.vm,
            state=state,
            at_ms=_wall_clock_ms(),
        )
        key = order_rows.order_key(self.region, intent.upstream)
        write = base.Write(order_rows.ORDERS_TABLE, key, rows.encode(record))
        order = intent.order
        summary = (
            f'{order.order.value} {order.model} {order.version or ""}'
            f' {order.adapter or ""} at {intent.upstream}: {state.value}'
        )
        return self._write(
            write, rows.AuditKind.ORDER, intent.service, summary
        )

    def _save_rollout(self, action: messages.SaveRollout) -> None:
        record = action.record
        row = order_rows.RolloutRow(
            self.region, record, action.fencing, _wall_clock_ms()
        )
        key = order_rows.rollout_key(self.region, record.service)
        write = base.Write(order_rows.ROLLOUTS_TABLE, key, rows.encode(row))
        summary = (
            f'rollout of {record.target.model} {record.target.version}:'
            f' {record.state.value}'
        )
        logs.event('rollout', service=record.service, state=record.state.value)
        saved = self._write(
            write, rows.AuditKind.ROLLOUT, record.service, summary
        )
        if not saved:
            self._handle(messages.RolloutWriteFailed(record.service))

    def _write(
        self,
        write: base.Write,
        kind: rows.AuditKind,
        service: ids.ServiceName,
        summary: str,
    ) -> bool:
        held = self.lease_held
        if held is None or not self._is_lease_valid(held.fencing):
            return False
        at_ms = _wall_clock_ms()
        change = ids.ChangeId(ids.random_id())
        audit = rows.AuditRecord(
            at_ms, kind, self.node.settings.vm, (service,), summary
        )
        key = rows.audit_key(at_ms, change)
        answer = self.node.platform.table.transact(
            change,
            [held.condition],
            [write, base.Write(rows.AUDIT_TABLE, key, rows.encode(audit))],
        )
        if answer.is_err():
            logs.warning('order_row_not_written', why=answer.err().message)
        return answer.is_ok()

    def _engines_to_read(self) -> list[kernel_events.UpstreamInfo]:
        engines = sorted(
            (
                upstream
                for upstream in self.planner.upstreams.values()
                if upstream.kind is states.ServiceKind.ENGINE
            ),
            key=lambda upstream: upstream.upstream,
        )
        if not engines:
            return []
        start = self.next_read_index % len(engines)
        self.next_read_index = start + MAX_STATE_READS
        rotated = engines[start:] + engines[:start]
        return rotated[:MAX_STATE_READS]

    def _read_state(self, upstream: kernel_events.UpstreamInfo) -> None:
        answer = http_client.request(
            'GET',
            f'http://{upstream.address}/orders/state',
            timeout_ms=STATE_TIMEOUT_MS,
        )
        match answer:
            case result.Ok(http_client.HttpResponse(status=200, body=body)):
                try:
                    state = msgspec.json.decode(body, type=orders.EngineState)
                except msgspec.MsgspecError as error:
                    logs.warning(
                        'order_state_unreadable',
                        upstream=upstream.upstream,
                        why=error,
                    )
                    return
                self._handle(
                    messages.EngineStateRead(upstream.upstream, state)
                )
            case _:
                self._handle(messages.EngineStateUnknown(upstream.upstream))


def _order_state(
    answer: result.Result[http_client.HttpResponse, exceptions.UpstreamError],
) -> order_rows.OrderState:
    match answer:
        case result.Ok(http_client.HttpResponse(status=202)):
            return order_rows.OrderState.TAKEN
        case result.Ok(http_client.HttpResponse(status=409)):
            return order_rows.OrderState.STALE
        case result.Ok(_):
            return order_rows.OrderState.REFUSED
        case _:
            return order_rows.OrderState.UNANSWERED


def _wall_clock_ms() -> int:
    return int(time.time() * clocks.MS_PER_SECOND)
