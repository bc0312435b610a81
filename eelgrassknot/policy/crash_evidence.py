"""Detection of prompt parts that crash the engines that answer them.

A request that crashes its engine (a "query of death") is retried on other
engines and crashes these as well. A crash is reported for each stream
that had no event yet, so bystanders are reported too, and the cause is one
of the parts that several crashes have in common. Streams without a response
may only have waited, and one outage of several engines interrupts many of
them: engines that crash under such streams at one moment count as one.

A report accuses those of its parts with which no stream has survived
since, or within ``SURVIVAL_VALID_MS`` before. An accused part is blocked
if enough engines crashed under it, together with the parts that all
reports accuse along with it: until a report without them arrives, they
may be the cause as well.

References:
    Beyer et al., "Site Reliability Engineering", chapter 22, "Addressing
    Cascading Failures", O'Reilly 2016.
"""

import collections
from collections.abc import Collection, Iterable
import math

import msgspec

from eelgrassknot import ids

__all__ = ['CrashEvidence', 'CrashReport', 'Verdict']

BLOCK_MS = 600_000.0
"""Time for which a crash report counts; ms."""

SURVIVAL_VALID_MS = 30_000.0
"""Time before a crash within which a survival clears a part; ms."""

CRASHES_TO_BLOCK = 3
"""Number of engines that must have crashed under a part to block it."""

CRASHES_TO_WIDEN = 5
"""Number of crashed engines from which a part is blocked even if a
combination of more parts explains all of its crashes."""

MIN_SPACING_MS = 250.0
"""Time within which crashes under streams without a response may have one
common cause; ms."""

MAX_REPORTS = 512
MAX_SURVIVALS = 8_192

_ReportKey = tuple[str, ids.RequestId]


class CrashReport(msgspec.Struct, frozen=True):
    """A stream that had no event yet when its engine crashed.

    Attributes:
        engine: Incarnation of the engine, as upstream id and start.
        request: The request of the stream.
        parts: Parts of its prompt, without the one of its own.
        reported_ms: Time of the crash, on the local clock.
        began: Whether the engine had begun to respond.
    """

    engine: str
    request: ids.RequestId
    parts: frozenset[str]
    reported_ms: float
    began: bool = True


class Verdict(msgspec.Struct, frozen=True):
    """A combination of parts that is blocked.

    Attributes:
        parts: Requests whose prompts contain all of them are blocked.
        until_ms: Time at which the block ends unless more crashes are
            reported.
        engines: Incarnations of the engines that crashed under the parts.
        crashes: Number of crashes that count.
    """

    parts: frozenset[str]
    until_ms: float
    engines: frozenset[str] = frozenset()
    crashes: int = 0


class _Accusation(msgspec.Struct, frozen=True):
    """A crash report and those of its parts that are not cleared."""

    report: CrashReport
    accused: set[str]


class CrashEvidence:
    """Crash reports and survivals of the parts of prompts.

    The verdicts do not depend on the order in which reports and survivals
    are recorded, except for those dropped at the bounds.

    Attributes:
        accusations: Recorded reports by engine and request.
        keys_by_part: Keys of the reports that accuse a part.
        survivals: Time of the last survival by part, least recently
            recorded first; ms.
        verdicts: Blocked combinations by the part that led to each.
        outdated: Whether ``verdicts`` lacks recorded evidence.
        next_expiry_ms: Time at which the oldest report expires.
    """

    def __init__(self) -> None:
        self.accusations: dict[_ReportKey, _Accusation] = {}
        self.keys_by_part: dict[str, set[_ReportKey]] = {}
        self.survivals: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.verdicts: dict[str, Verdict] = {}
        self.outdated = False
        self.next_expiry_ms = math.inf

    def record_crash(self, report: CrashReport) -> None:
        """Record a crash report; one that is known changes nothing."""
        key = (report.engine, report.request)
        if key in self.accusations:
            return
        accused = {
            part
            for part in report.parts
            if not _clears(self.survivals.get(part), report)
        }
        self.accusations[key] = _Accusation(report, accused)
        for part in accused:
            self.keys_by_part.setdefault(part, set()).add(key)
        self.next_expiry_ms = min(
            self.next_expiry_ms, report.reported_ms + BLOCK_MS
        )
        self.outdated = True
        if len(self.accusations) > MAX_REPORTS:
            self._remove(min(self.accusations, key=self._age_order))

    def record_survival(self, parts: Iterable[str], now_ms: float) -> None:
        """Record that an engine answered a prompt without crashing.

        Args:
            parts: Parts of the prompt of a stream that received its second
                event or completed.
            now_ms: Time at which it did.
        """
        for part in parts:
            known_ms = self.survivals.get(part)
            if known_ms is not None and known_ms >= now_ms:
                continue
            self.survivals[part] = now_ms
            self.survivals.move_to_end(part)
            if part in self.keys_by_part:
                self._clear(part, now_ms)
        while len(self.survivals) > MAX_SURVIVALS:
            self.survivals.popitem(last=False)

    def survived_ms(self, part: str) -> float | None:
        """Return the time of a part's last survival, None if unknown."""
        return self.survivals.get(part)

    def suspects(self, now_ms: float) -> frozenset[str]:
        """Return the parts that at least one report accuses."""
        self._update(now_ms)
        return frozenset(self.keys_by_part)

    def blocking(
        self, parts: Collection[str], now_ms: float
    ) -> Verdict | None:
        """Return the verdict that blocks a request, or None.

        Args:
            parts: Parts of the request's prompt, without its own.
            now_ms: The present time.

        Returns:
            The verdict that ends last if there are several.
        """
        self._update(now_ms)
        if not self.verdicts:
            return None
        found = [
            verdict
            for part in parts
            if (verdict := self.verdicts.get(part)) is not None
            and verdict.parts.issubset(parts)
        ]
        return max(found, key=_end_order, default=None)

    def expire(self, now_ms: float) -> None:
        """Remove the evidence that no longer counts."""
        expired = [
            key
            for key, accusation in self.accusations.items()
            if accusation.report.reported_ms + BLOCK_MS <= now_ms
        ]
        for key in expired:
            self._remove(key)
        self.next_expiry_ms = BLOCK_MS + min(
            (
                accusation.report.reported_ms
                for accusation in self.accusations.values()
            ),
            default=math.inf,
        )
        # A report may arrive late, until it expires.
        oldest_ms = now_ms - BLOCK_MS - SURVIVAL_VALID_MS
        while self.survivals:
            part = next(iter(self.survivals))
            if self.survivals[part] >= oldest_ms:
                break
            del self.survivals[part]

    def _update(self, now_ms: float) -> None:
        if now_ms >= self.next_expiry_ms:
            self.expire(now_ms)
        if self.outdated:
            self.verdicts = self._find_verdicts()
            self.outdated = False

    def _find_verdicts(self) -> dict[str, Verdict]:
        candidates = [
            (part, verdict)
            for part in self.keys_by_part
            if (verdict := self._candidate(part)) is not None
        ]
        # Combinations of more parts block fewer requests.
        candidates.sort(key=lambda item: len(item[1].parts), reverse=True)
        verdicts: dict[str, Verdict] = {}
        for part, verdict in candidates:
            if not _is_explained(verdict, verdicts.values()):
                verdicts[part] = verdict
        return verdicts

    def _candidate(self, part: str) -> Verdict | None:
        """Return the combination to block if a part is the cause."""
        keys = self.keys_by_part[part]
        if len(keys) < CRASHES_TO_BLOCK:
            return None
        reports = [self.accusations[key].report for key in keys]
        counted_ms = _count_crashes(reports)
        if len(counted_ms) < CRASHES_TO_BLOCK:
            return None
        combination = frozenset(
            set.intersection(*(self.accusations[key].accused for key in keys))
        )
        until_ms = counted_ms[-CRASHES_TO_BLOCK] + BLOCK_MS
        engines = frozenset(report.engine for report in reports)
        return Verdict(combination, until_ms, engines, len(counted_ms))

    def _clear(self, part: str, survived_ms: float) -> None:
        for key in list(self.keys_by_part[part]):
            accusation = self.accusations[key]
            if _clears(survived_ms, accusation.report):
                accusation.accused.discard(part)
                self._unlink(part, key)

    def _remove(self, key: _ReportKey) -> None:
        for part in self.accusations.pop(key).accused:
            self._unlink(part, key)

    def _unlink(self, part: str, key: _ReportKey) -> None:
        keys = self.keys_by_part[part]
        keys.discard(key)
        if not keys:
            del self.keys_by_part[part]
        self.outdated = True

    def _age_order(self, key: _ReportKey) -> tuple[float, _ReportKey]:
        return self.accusations[key].report.reported_ms, key


def _count_crashes(reports: Iterable[CrashReport]) -> list[float]:
    """Return the times of the crashes that count, in order; ms."""
    began_ms: dict[str, float] = {}
    waited_ms: dict[str, float] = {}
    for report in reports:
        known_ms = began_ms if report.began else waited_ms
        known_ms[report.engine] = max(
            report.reported_ms, known_ms.get(report.engine, -math.inf)
        )
    counted_ms = list(began_ms.values())
    last_ms = -math.inf
    for engine, at_ms in sorted(waited_ms.items(), key=_time_order):
        if engine not in began_ms and at_ms - last_ms >= MIN_SPACING_MS:
            counted_ms.append(at_ms)
            last_ms = at_ms
    return sorted(counted_ms)


def _time_order(item: tuple[str, float]) -> float:
    return item[1]


def _clears(survived_ms: float | None, report: CrashReport) -> bool:
    if survived_ms is None:
        return False
    return survived_ms >= report.reported_ms - SURVIVAL_VALID_MS


def _is_explained(verdict: Verdict, narrower: Iterable[Verdict]) -> bool:
    """Return whether blocking fewer requests explains all of the crashes.

    A bystander is reported beside the request that crashed its engine. Its
    parts are shared with that request, but were not needed for the crash.
    """
    if verdict.crashes >= CRASHES_TO_WIDEN:
        return False
    explained: set[str] = set()
    for other in narrower:
        if other.parts > verdict.parts:
            explained |= other.engines
    return verdict.engines <= explained


def _end_order(verdict: Verdict) -> tuple[float, list[str]]:
    return verdict.until_ms, sorted(verdict.parts)
