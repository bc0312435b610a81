"""Reports of engine crashes, shared by all entry VMs through the store.

A row for each report names the parts of the prompt that the engine was
beginning to answer. A VM that has seen a stream with an accused part
continue writes a row that exonerates the part.
"""

import collections.abc
import functools
import hashlib
import itertools
import random

import msgspec
import result

from eelgrassknot.coordination import rendezvous
from eelgrassknot import decoding
from eelgrassknot import exceptions
from eelgrassknot.forwarding import access
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import row_store
from eelgrassknot.forwarding import row_writer
from eelgrassknot.forwarding import table_replica
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.policy import crash_evidence
from eelgrassknot.policy import surviving_parts

__all__ = [
    'CRASHES_TABLE',
    'CrashReports',
    'CrashRow',
    'SurvivalRow',
    'blocked_combinations',
]

CRASHES_TABLE = 'eelgrassknot-crashes'
MAX_KEY_BYTES = 200
"""Maximum length of a row's key; a limit of the platform."""
TICK_MS = 1_000.0
"""Mean interval at which expired reports and rows are removed; ms."""
MAX_EXONERATION_DELAY_MS = 300.0
"""Maximum random delay before an exonerating row is written; ms. The row
of another VM usually arrives first."""
SEEN_MS = crash_evidence.SURVIVAL_VALID_MS + row_writer.RETRY_PERIOD_MS
"""How long this VM's own survivals are kept; ms. The report of a peer may
arrive late by the time for which its write is tried again."""
MAX_DELETES_PER_TICK = 10
MAX_UNANSWERED = 4
"""Maximum number of requests without a response that a VM reports for one
crash."""
SURVIVAL_ROW_MS = crash_evidence.BLOCK_MS + crash_evidence.SURVIVAL_VALID_MS
"""Time for which an exonerating row counts; ms. A survival may precede the
report that it answers."""
MAX_AHEAD_MS = 30_000.0
"""Time by which a row may be ahead of the store's clock; ms. Exceeds the
error of the clock's offset at the writer and at the reader."""
NEVER_MS = float('-inf')
_PRUNER_KEY = 'crash-rows'


class CrashRow(msgspec.Struct, frozen=True, tag_field='kind', tag='crash'):
    """One crash report.

    Attributes:
        engine: The engine and its start.
        parts: Parts of the request's prompt without the last.
        store_ms: The store's clock at the report.
        began: Whether the engine had begun to respond.
    """

    engine: str
    request: ids.RequestId
    parts: tuple[str, ...]
    store_ms: float
    began: bool = True


class SurvivalRow(
    msgspec.Struct, frozen=True, tag_field='kind', tag='survival'
):
    """Exoneration of one accused part.

    Attributes:
        store_ms: The store's clock when a stream with the part continued.
    """

    part: str
    store_ms: float


class CrashReports:
    """Crash reports of this VM and its peers, and what they block.

    All methods are called on the event loop. This VM's own reports count at
    once, also while the store is unavailable.

    Args:
        vm: This VM.
        store: Store client, used only by the writer thread.
        loop: The event loop.
        generator: Random number generator.
        store_clock: The store's clock.
        zone_members: Returns this VM and the live peers of its zone.

    Attributes:
        on_change: Called on the loop after reports or exonerations have
            arrived.
        reports: Reports that count, by engine and request.
        rows: Valid rows of the table by key, including expired ones.
    """

    def __init__(
        self,
        vm: ids.VmId,
        store: row_store.RowStore,
        loop: loops.EventLoop,
        generator: random.Random,
        store_clock: access.StoreClock,
        zone_members: collections.abc.Callable[[], list[ids.VmId]],
    ) -> None:
        self.vm = vm
        self.loop = loop
        self.generator = generator
        self.store_clock = store_clock
        self.zone_members = zone_members
        self.writer = row_writer.RowWriter(
            store, loop.clock, random.Random(ids.random_id())
        )
        self.evidence = crash_evidence.CrashEvidence()
        self.on_change: collections.abc.Callable[[], None] | None = None
        self.reports: dict[
            tuple[str, ids.RequestId], crash_evidence.CrashReport
        ] = {}
        self.rows: dict[str, CrashRow | SurvivalRow] = {}
        # Last report of each accused part.
        self._accused_ms: dict[str, float] = {}
        # Survivals that this VM has seen.
        self._survivals = surviving_parts.SurvivingParts()
        # When this VM last queued a write of a key other than a report's.
        self._queued_ms: dict[str, float] = {}
        # Parts of the prompt of each report of this VM.
        self._own: dict[tuple[str, ids.RequestId], tuple[str, ...]] = {}
        self._exonerating: set[str] = set()
        self._deferred: list[collections.abc.Callable[[], None]] = []
        self._logged: set[frozenset[str]] = set()
        self._notifying = False

    def start(self) -> None:
        """Start the writer and the removal of expired reports."""
        self.writer.start()
        self._tick()

    def stop(self) -> None:
        """Stop the writer."""
        self.writer.stop()

    # Streams of this VM

    def report_crash(
        self, engine: str, request: ids.RequestId, parts: tuple[str, ...]
    ) -> None:
        """Report that an engine crashed when it began to answer a request.

        Args:
            engine: The engine and its start, ``UPSTREAM@STARTED_AT_MS``.
            request: The request.
            parts: Parts of its prompt without the last.
        """
        self._report(engine, request, parts, True)

    def report_unanswered(
        self, engine: str, request: ids.RequestId, parts: tuple[str, ...]
    ) -> None:
        """Report that an engine crashed before it answered a request.

        Parts that this VM has seen survive are left out, and so are further
        requests of the same crash: the first ones were the next to begin.

        Args:
            engine: The engine and its start, ``UPSTREAM@STARTED_AT_MS``.
            request: The request.
            parts: Parts of its prompt without the last.
        """
        since_ms = self.loop.now_ms() - crash_evidence.SURVIVAL_VALID_MS
        unproven = tuple(
            part for part in parts if self._seen_ms(part) < since_ms
        )
        known = sum(known_engine == engine for known_engine, _ in self._own)
        if unproven and known < MAX_UNANSWERED:
            self._report(engine, request, unproven, False)

    def _report(
        self,
        engine: str,
        request: ids.RequestId,
        parts: tuple[str, ...],
        began: bool,
    ) -> None:
        report = crash_evidence.CrashReport(
            engine, request, frozenset(parts), self.loop.now_ms(), began
        )
        if not self._record(report, 'local'):
            return
        self._own[engine, request] = parts
        self._when_clock_known(
            functools.partial(self._write_report, report, parts)
        )
        self._changed()

    def report_survival(self, parts: tuple[str, ...]) -> None:
        """Report that a stream got its second event or completed.

        Args:
            parts: Parts of its prompt without the last.
        """
        now_ms = self.loop.now_ms()
        accused = [part for part in parts if part in self._accused_ms]
        cleared = accused and not self.evidence.suspects(now_ms).isdisjoint(
            accused
        )
        # Accused parts first, because one prompt may add only some parts.
        recorded = self._survivals.record((*accused, *parts), now_ms)
        self.evidence.record_survival(recorded, now_ms)
        for part in accused:
            self._exonerate(part)
        if cleared:
            self._changed()

    def blocking(
        self, parts: tuple[str, ...]
    ) -> crash_evidence.Verdict | None:
        """Return what blocks a request, or None if it may run.

        Args:
            parts: Parts of its prompt without the last.
        """
        if not self.reports:
            return None
        return self.evidence.blocking(parts, self.loop.now_ms())

    # Rows of the store

    def apply(self, changes: table_replica.ChangeSet) -> None:
        """Apply changes of the table."""
        lost = {
            key: row
            for key in changes.removed
            if (row := self.rows.pop(key, None)) is not None
        }
        if changes.restored:
            self._when_clock_known(
                functools.partial(self._write_lost_rows, lost)
            )
        if changes.updated:
            self._when_clock_known(
                functools.partial(self._receive_rows, changes.updated)
            )

    def _write_lost_rows(
        self, lost: dict[str, CrashRow | SurvivalRow]
    ) -> None:
        """Write again the rows that a restored store lacks.

        One VM of each zone writes those of all VMs. This VM's own reports
        may have been lost before any VM has read them.
        """
        now_ms = self.loop.now_ms()
        if self._is_first_of_zone():
            for key, row in lost.items():
                if not self._is_expired(row, now_ms):
                    self.writer.write(
                        row_store.RowKey(CRASHES_TABLE, key),
                        msgspec.json.encode(row),
                    )
        for (engine, request), parts in self._own.items():
            report = self.reports.get((engine, request))
            key = _row_key(f'{engine}/{request}')
            if report is not None and key.key not in self.rows:
                self._write_report(report, parts)
        # A survival that was queued may have been written and lost.
        self._queued_ms.clear()
        for part in self._accused_ms:
            self._exonerate(part)

    def _is_first_of_zone(self) -> bool:
        members = self.zone_members()
        return rendezvous.ranked(_PRUNER_KEY, members, 1)[0] == self.vm

    def _receive_rows(
        self, rows: collections.abc.Iterable[row_store.StoreRow]
    ) -> None:
        for row in rows:
            match _decode_row(row):
                case result.Ok(found):
                    self.rows[row.key] = found
                    self._receive(found)
                case result.Err(error):
                    logs.warning(
                        'crash_row_unreadable', key=row.key, why=str(error)
                    )
                    metrics.UNREADABLE_ROWS.inc(CRASHES_TABLE)
        self._changed()

    def _receive(self, row: CrashRow | SurvivalRow) -> None:
        now_ms = self.loop.now_ms()
        if self._is_expired(row, now_ms):
            return
        at_ms = min(now_ms, self.store_clock.local_ms(row.store_ms))
        match row:
            case CrashRow(engine, request, parts):
                report = crash_evidence.CrashReport(
                    engine, request, frozenset(parts), at_ms, row.began
                )
                self._record(report, 'peer')
            case SurvivalRow(part):
                self.evidence.record_survival([part], at_ms)

    def _is_expired(self, row: CrashRow | SurvivalRow, now_ms: float) -> bool:
        """Return whether a row no longer counts at a local time."""
        return _is_expired_at_age(
            row, now_ms - self.store_clock.local_ms(row.store_ms)
        )

    # Evidence

    def _record(self, report: crash_evidence.CrashReport, origin: str) -> bool:
        """Record a report; return whether it is new."""
        key = (report.engine, report.request)
        if key in self.reports or not report.parts:
            return False
        self.reports[key] = report
        for part in report.parts:
            self._accuse(part, report.reported_ms)
        self.evidence.record_crash(report)
        metrics.CRASH_REPORTS.inc(origin)
        logs.event(
            'engine_crash_reported',
            engine=report.engine,
            request=report.request,
            parts=','.join(sorted(report.parts)),
            origin=origin,
            began=report.began,
        )
        for part in report.parts:
            self._exonerate(part)
        return True

    def _accuse(self, part: str, reported_ms: float) -> None:
        self._accused_ms[part] = max(
            reported_ms, self._accused_ms.get(part, NEVER_MS)
        )

    def _write_report(
        self, report: crash_evidence.CrashReport, parts: tuple[str, ...]
    ) -> None:
        row = CrashRow(
            report.engine,
            report.request,
            parts,
            self.store_clock.store_ms(report.reported_ms),
            report.began,
        )
        self.writer.write(
            _row_key(f'{report.engine}/{report.request}'),
            msgspec.json.encode(row),
        )

    def _exonerate(self, part: str) -> None:
        """Schedule an exonerating row if this VM has reason to write one."""
        if part not in self._exonerating and self._must_exonerate(part):
            self._exonerating.add(part)
            self.loop.call_later(
                self.generator.uniform(0.0, MAX_EXONERATION_DELAY_MS),
                functools.partial(self._write_survival, part),
            )

    def _must_exonerate(self, part: str) -> bool:
        """Return whether only this VM's own survival clears a part."""
        if part not in self._accused_ms:
            return False
        since_ms = self._accused_ms[part] - crash_evidence.SURVIVAL_VALID_MS
        key = _survival_key(part)
        row = self.rows.get(key)
        if (
            row is not None
            and self.store_clock.local_ms(row.store_ms) >= since_ms
        ):
            return False
        return self._seen_ms(part) >= since_ms and not self._is_queued(key)

    def _seen_ms(self, part: str) -> float:
        """Return when this VM last saw a part survive."""
        last_ms = self._survivals.last_ms(part)
        return NEVER_MS if last_ms is None else last_ms

    def _write_survival(self, part: str) -> None:
        self._exonerating.discard(part)
        if not self._must_exonerate(part):
            return
        store_ms = self.store_clock.store_ms(self._seen_ms(part))
        if store_ms is None:
            return
        key = _survival_key(part)
        self._queued_ms[key] = self.loop.now_ms()
        self.writer.write(
            row_store.RowKey(CRASHES_TABLE, key),
            msgspec.json.encode(SurvivalRow(part, store_ms)),
        )

    def _is_queued(self, key: str) -> bool:
        """Return whether a queued write of a key may still be pending."""
        queued_ms = self._queued_ms.get(key, NEVER_MS)
        return self.loop.now_ms() - queued_ms <= row_writer.RETRY_PERIOD_MS

    # Changes and expiry

    def _when_clock_known(
        self, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Call back at once, or when the store's clock is known.

        The tables may arrive from a peer before this VM's first call to the
        store is answered.
        """
        if self.store_clock.offset_ms is None:
            self._deferred.append(callback)
        else:
            callback()

    def _changed(self) -> None:
        self._update_blocked()
        if not self._notifying:
            self._notifying = True
            self.loop.call_soon(self._notify)

    def _notify(self) -> None:
        self._notifying = False
        if self.on_change is not None:
            self.on_change()

    def _update_blocked(self) -> None:
        """Log new combinations and update the gauge."""
        blocked = _find_combinations(
            self.evidence, self.reports.values(), self.loop.now_ms()
        )
        for parts in blocked - self._logged:
            logs.warning('parts_blocked', parts=','.join(sorted(parts)))
        self._logged |= blocked
        metrics.BLOCKED_COMBINATIONS.set(len(blocked))

    def _tick(self) -> None:
        self.loop.call_later(
            self.generator.uniform(0.5, 1.5) * TICK_MS, self._tick
        )
        if self.store_clock.offset_ms is not None:
            deferred, self._deferred = self._deferred, []
            for callback in deferred:
                callback()
            self._prune_rows()
        self._expire(self.loop.now_ms())

    def _expire(self, now_ms: float) -> None:
        self.evidence.expire(now_ms)
        self.reports = {
            key: report
            for key, report in self.reports.items()
            if now_ms - report.reported_ms <= crash_evidence.BLOCK_MS
        }
        self._own = {
            key: parts
            for key, parts in self._own.items()
            if key in self.reports
        }
        self._accused_ms.clear()
        for report in self.reports.values():
            for part in report.parts:
                self._accuse(part, report.reported_ms)
        self._survivals.expire(now_ms - SEEN_MS)
        self._queued_ms = {
            key: queued_ms
            for key, queued_ms in self._queued_ms.items()
            if self._is_queued(key)
        }
        if not self.reports:
            self._logged.clear()
        self._update_blocked()

    def _prune_rows(self) -> None:
        """Delete expired rows if this VM is the first of its zone."""
        if not self._is_first_of_zone():
            return
        now_ms = self.loop.now_ms()
        expired = (
            key
            for key, row in self.rows.items()
            if self._is_expired(row, now_ms) and not self._is_queued(key)
        )
        for key in list(itertools.islice(expired, MAX_DELETES_PER_TICK)):
            self._queued_ms[key] = now_ms
            self.writer.delete(row_store.RowKey(CRASHES_TABLE, key))


def blocked_combinations(page: row_store.RowPage) -> set[frozenset[str]]:
    """Return the combinations that the rows of the table block.

    Args:
        page: All rows of the table; unreadable ones are ignored.
    """
    evidence = crash_evidence.CrashEvidence()
    reports = []
    for row in page.rows:
        found = _decode_row(row).ok()
        if found is None:
            # The VMs log why they ignore the row.
            continue
        if _is_expired_at_age(found, page.store_ms - found.store_ms):
            continue
        match found:
            case CrashRow(engine, request, parts, store_ms, began):
                report = crash_evidence.CrashReport(
                    engine, request, frozenset(parts), store_ms, began
                )
                evidence.record_crash(report)
                reports.append(report)
            case SurvivalRow(part, store_ms):
                evidence.record_survival([part], store_ms)
    return _find_combinations(evidence, reports, page.store_ms)


def _find_combinations(
    evidence: crash_evidence.CrashEvidence,
    reports: collections.abc.Iterable[crash_evidence.CrashReport],
    now_ms: float,
) -> set[frozenset[str]]:
    verdicts = [evidence.blocking(each.parts, now_ms) for each in reports]
    return {each.parts for each in verdicts if each is not None}


def _decode_row(
    row: row_store.StoreRow,
) -> result.Result[CrashRow | SurvivalRow, exceptions.MalformedAnswerError]:
    return decoding.decode_json(
        row.value, CrashRow | SurvivalRow, f'the crash row {row.key}'
    )


def _is_expired_at_age(row: CrashRow | SurvivalRow, age_ms: float) -> bool:
    """Return whether a row no longer counts.

    Neither does a row from the future: the store's clock has jumped, or
    another program wrote the row.
    """
    valid_ms = crash_evidence.BLOCK_MS
    if isinstance(row, SurvivalRow):
        valid_ms = SURVIVAL_ROW_MS
    return not -MAX_AHEAD_MS <= age_ms <= valid_ms


def _survival_key(part: str) -> str:
    return _bounded_key(f'survived/{part}')


def _row_key(key: str) -> row_store.RowKey:
    return row_store.RowKey(CRASHES_TABLE, _bounded_key(key))


def _bounded_key(key: str) -> str:
    """Return a key, or its hash if the store does not accept its length."""
    encoded = key.encode()
    if len(encoded) <= MAX_KEY_BYTES:
        return key
    return hashlib.blake2b(encoded, digest_size=32).hexdigest()
