"""Turns facts of ended requests into the rows of one interval."""

import threading

from eelgrassknot import ids
from eelgrassknot.kernel import events
from eelgrassknot.reporting import names
from eelgrassknot.reporting import rows
from eelgrassknot.reporting import totals
from eelgrassknot import states

__all__ = ['Recorder', 'VmIdentity']

BYTES_PER_GIGABYTE = 1e9
ROUNDING_MS = 0.001

WaitPart = names.WaitPart
VmIdentity = tuple[
    ids.VmId, ids.IncarnationId, ids.AvailabilityZoneId, ids.RegionId
]
Fact = events.GenerationFacts | events.PlainCallFacts | events.RegionTraffic


class Recorder:
    """Gathers facts; safe to call from any thread.

    Args:
        identity: The VM whose facts these are.
        now_ms: Wall-clock time at which the first interval begins.

    Attributes:
        price_per_gigabyte: Price of bytes between regions from now on.
    """

    def __init__(self, identity: VmIdentity, now_ms: float) -> None:
        self.identity = identity
        self.price_per_gigabyte = 0.0
        self.lock = threading.Lock()
        self.sequence = 0
        self.started_ms = int(now_ms)
        self.row_set = rows.RowSet()
        self.closed = totals.Totals()

    def record(self, fact: Fact) -> None:
        """Add the facts of one ended request, or of traffic."""
        with self.lock:
            match fact:
                case events.GenerationFacts():
                    self._record_generation(fact)
                case events.PlainCallFacts():
                    self._record_call(fact)
                case events.RegionTraffic():
                    self._record_traffic(fact)

    def totals(self) -> totals.Totals:
        """Return what was recorded since the start, now included."""
        with self.lock:
            now = self.closed.copy()
            now.add(self.row_set.rows.values())
            return now

    def close_interval(
        self, now_ms: float, final: bool = False
    ) -> rows.IntervalPart:
        """End the interval, and return what it holds.

        Args:
            now_ms: Wall-clock time.
            final: Whether no other interval will follow.
        """
        with self.lock:
            row_set, self.row_set = self.row_set, rows.RowSet()
            self.closed.add(row_set.rows.values())
            # A wall clock may be set back; an interval never ends early.
            ended_ms = max(self.started_ms, int(now_ms))
            part = rows.IntervalPart(
                *self.identity,
                first_sequence=self.sequence,
                last_sequence=self.sequence,
                started_ms=self.started_ms,
                ended_ms=ended_ms,
                final=final,
                folded_requests=row_set.folded_requests,
                rows=tuple(row_set.rows.values()),
            )
            self.sequence += 1
            self.started_ms = ended_ms
            return part

    def _record_generation(self, facts: events.GenerationFacts) -> None:
        region = facts.upstream_region or ids.RegionId('')
        row = self._row(facts, region)
        _add_parts(row, facts.total_ms, _generation_parts(facts))
        if facts.first_token_ms is not None:
            first_token = names.Measure.FIRST_TOKEN.value
            row.sketch_of(first_token).add(facts.first_token_ms)
        if facts.token_gaps_ms:
            gaps = row.sketch_of(names.Measure.TOKEN_GAP.value)
            gaps.add_all(facts.token_gaps_ms)
        row.tokens_delivered += facts.tokens_delivered
        if facts.outcome is states.Outcome.INCOMPLETE:
            row.tokens_cut += facts.tokens_delivered
        reason = facts.discard_reason or names.OTHER
        rows.add_count(row.tokens_discarded, reason, facts.tokens_discarded)
        if facts.crossed_regions:
            count = facts.bytes_in + facts.bytes_out
            self._add_bytes(row, names.TrafficCause.GENERATION.value, count)

    def _record_call(self, facts: events.PlainCallFacts) -> None:
        row = self._row(facts, ids.RegionId(''))
        _add_parts(row, facts.total_ms, _call_parts(facts))
        row.repeated_attempts += max(0, facts.attempts - 1)
        if facts.crossed_regions:
            count = facts.bytes_in + facts.bytes_out
            self._add_bytes(row, names.TrafficCause.PLAIN_CALL.value, count)

    def _record_traffic(self, traffic: events.RegionTraffic) -> None:
        key = rows.RowKey(
            ids.ServiceName(''), ids.ClientAccountId(''), ids.RegionId('')
        )
        row = self.row_set.row(key, requests=0)
        self._add_bytes(row, traffic.cause, traffic.byte_count)

    def _row(
        self,
        facts: events.GenerationFacts | events.PlainCallFacts,
        region: ids.RegionId,
    ) -> rows.Row:
        key = rows.RowKey(facts.service, facts.client_account, region)
        row = self.row_set.row(key)
        row.requests += 1
        rows.add_count(row.outcomes, facts.outcome.value, 1)
        if facts.outcome is not states.Outcome.DONE:
            row.add_reason(facts.reason)
        return row

    def _add_bytes(self, row: rows.Row, cause: str, count: int) -> None:
        rows.add_count(row.region_bytes, cause, count)
        gigabytes = count / BYTES_PER_GIGABYTE
        row.region_cost += gigabytes * self.price_per_gigabyte


def _generation_parts(
    facts: events.GenerationFacts,
) -> tuple[tuple[WaitPart, float], ...]:
    return (
        (WaitPart.ENTRY_QUEUE, facts.entry_queue_ms),
        (WaitPart.LIMIT, facts.limit_ms),
        (WaitPart.ENGINE_QUEUE, facts.engine_queue_ms),
        (WaitPart.PREFILL, facts.prefill_ms),
        (WaitPart.DECODE, facts.decode_ms),
        (WaitPart.STALL, facts.stall_ms),
        (WaitPart.PREEMPTION, facts.preemption_ms),
        (WaitPart.LINK, facts.link_ms),
    )


def _call_parts(
    facts: events.PlainCallFacts,
) -> tuple[tuple[WaitPart, float], ...]:
    return (
        (WaitPart.ENTRY_QUEUE, facts.entry_queue_ms),
        (WaitPart.STORE, facts.store_ms),
        (WaitPart.UPSTREAM, facts.upstream_ms),
    )


def _add_parts(
    row: rows.Row,
    total_ms: float,
    parts: tuple[tuple[WaitPart, float], ...],
) -> None:
    row.sketch_of(names.Measure.TOTAL.value).add(total_ms)
    for part, spent_ms in parts:
        row.add_part(part, spent_ms)
    # What no part explains is shown rather than hidden, so that the
    # parts always add up to the whole.
    rest_ms = total_ms - sum(spent_ms for _, spent_ms in parts)
    if abs(rest_ms) >= ROUNDING_MS:
        row.add_part(WaitPart.UNACCOUNTED, rest_ms)
