"""The daemon's part that writes the report."""

import dataclasses
import threading

import result

from eelgrassknot import clock as clocks
from eelgrassknot.kernel import events
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot import logs
from eelgrassknot.reporting import merge
from eelgrassknot.reporting import messages
from eelgrassknot.reporting import object_names
from eelgrassknot.reporting import pending
from eelgrassknot.reporting import recorder
from eelgrassknot.reporting import rows

__all__ = ['ReportPart']

FINAL_WRITES = 3
DELETION_PERIOD_MS = 3_600_000
MAX_DELETIONS = 200
MS_PER_SECOND = 1000


@dataclasses.dataclass
class WriteCounts:
    """What became of the parts so far.

    Attributes:
        last_error: Why the last write failed, empty after a success.
    """

    written: int = 0
    failed: int = 0
    dropped: int = 0
    last_error: str = ''


@parts.part('report')
class ReportPart(parts.Part):
    """Gathers facts and writes them each interval and at the end.

    Args:
        node: The node whose facts these are.
        wall_clock: Source of the time that the report shows.
    """

    def __init__(
        self,
        node: kernel_node.Node,
        wall_clock: clocks.Clock | None = None,
    ) -> None:
        settings = node.settings
        self.node = node
        self.wall_clock = wall_clock or clocks.WallClock()
        self.interval_ms = settings.report_interval_ms
        self.recorder = recorder.Recorder(
            rows.VmIdentity(
                settings.vm,
                node.incarnation,
                settings.availability_zone,
                settings.region,
                settings.listen.operators,
            ),
            self.wall_clock.now_ms(),
        )
        self.first_started_ms = self.recorder.started_ms
        self.pending = pending.PendingParts()
        self.counts = WriteCounts()
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        hub = node.hub
        hub.subscribe(events.GenerationFacts, self.recorder.record)
        hub.subscribe(events.PlainCallFacts, self.recorder.record)
        hub.subscribe(events.RegionTraffic, self.recorder.record)
        hub.subscribe(events.ConfigAdopted, self._adopt)

    def start(self) -> None:
        """Begin to write.

        The first interval is empty and written at once: a VM that is
        lost before its second one is then named as missing.
        """
        self.thread.start()

    def stop(self) -> None:
        """Write the last interval; all requests have ended by now."""
        self.stopped.set()
        self.thread.join()
        self._close_interval(final=True)
        for _ in range(FINAL_WRITES):
            self.write_pending()
        left = len(self.pending.parts)
        if left:
            self.counts.dropped += left
            logs.error('report_parts_lost', parts=left)

    def status(self) -> dict[str, object]:
        """Return how much was written and how much waits."""
        return {
            'report': {
                'sequence': self.recorder.sequence,
                'pending_parts': len(self.pending.parts),
                'coalesced': self.pending.coalesced,
                **dataclasses.asdict(self.counts),
            }
        }

    def document(self) -> messages.Report:
        """Return the report on what this process has seen so far."""
        now = self.recorder.totals()
        wanted = messages.ReportFilter(
            self.first_started_ms, int(self.wall_clock.now_ms())
        )
        merger = merge.Merger(wanted)
        merger.add_rows(now.services.values())
        return merger.report(())

    def write_interval(self) -> None:
        """End the present interval and write all that waits."""
        self._close_interval()
        self.write_pending()

    def write_pending(self) -> None:
        """Write waiting parts until there is none or one fails."""
        while (part := self.pending.head()) is not None:
            if not self._write(part):
                return

    def _run(self) -> None:
        self.write_interval()
        next_ms = self._next_deletion_ms()
        while not self.stopped.wait(self.interval_ms / MS_PER_SECOND):
            self.write_interval()
            if self.node.clock.now_ms() >= next_ms:
                self.delete_expired()
                next_ms = self._next_deletion_ms()

    def _next_deletion_ms(self) -> float:
        spread = self.node.generator.uniform(0.5, 1.5)
        return self.node.clock.now_ms() + spread * DELETION_PERIOD_MS

    def _close_interval(self, final: bool = False) -> None:
        now_ms = self.wall_clock.now_ms()
        self.pending.add(self.recorder.close_interval(now_ms, final))

    def _write(self, part: rows.IntervalPart) -> bool:
        body = rows.encode(part)
        key = object_names.name_of(part)
        match self.node.platform.objects.put(key, body):
            case result.Ok(_):
                self._written(part)
                return True
            case result.Err(error):
                self._failed(error.message)
        return False

    def _written(self, part: rows.IntervalPart) -> None:
        self.pending.written(part)
        self.counts.written += 1
        if self.counts.last_error:
            self.counts.last_error = ''
            logs.event('report_written_again')

    def _failed(self, reason: str) -> None:
        # One line an outage, not one an interval.
        if not self.counts.last_error:
            logs.warning('report_not_written', reason=reason)
        self.counts.failed += 1
        self.counts.last_error = reason

    def delete_expired(self) -> None:
        """Delete some objects that are older than the text allows.

        All VMs do so, each at its own time of the hour and a bounded
        number in its own order, so that they share the work unasked.
        """
        if self.node.text is None:
            return
        objects = self.node.platform.objects
        now_ms = self.wall_clock.now_ms()
        days = self.node.text.retention.report_days
        left = MAX_DELETIONS
        for prefix in object_names.expired_prefixes(now_ms, days):
            keys = objects.list_keys(prefix).unwrap_or([])[:]
            self.node.generator.shuffle(keys)
            for key in keys[:left]:
                objects.delete(key)
            left -= len(keys[:left])
            if not left:
                return

    def _adopt(self, event: events.ConfigAdopted) -> None:
        price = event.text.region_link.price_per_gigabyte
        self.recorder.price_per_gigabyte = price
