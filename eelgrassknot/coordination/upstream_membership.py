"""Membership of upstreams and their eligibility for new work.

The platform's list, the upstream itself or a peer may report that an
upstream is leaving; the earliest report counts. Leaving is final until
the upstream is replaced, which means that it disappears from the list or
is listed with another address.
"""

import collections.abc
import dataclasses

from eelgrassknot import ids
from eelgrassknot.kernel import events
from eelgrassknot import states
from eelgrassknot.storage import base

__all__ = [
    'LeavingReported',
    'ListRead',
    'ReachabilityChanged',
    'UpstreamMembership',
    'WithheldUpdated',
]


@dataclasses.dataclass(frozen=True)
class ListRead:
    """The platform's list was read."""

    entries: tuple[base.VmEntry, ...]


@dataclasses.dataclass(frozen=True)
class LeavingReported:
    """The upstream itself or a peer reported that it is leaving.

    Attributes:
        address: Address of the incarnation that is leaving.
    """

    upstream: ids.UpstreamId
    address: str


@dataclasses.dataclass(frozen=True)
class ReachabilityChanged:
    """The observers of an upstream can or cannot reach it."""

    upstream: ids.UpstreamId
    reachable: bool


@dataclasses.dataclass(frozen=True)
class WithheldUpdated:
    """The services text withholds these upstreams from new work."""

    upstreams: frozenset[ids.UpstreamId]


Event = ListRead | LeavingReported | ReachabilityChanged | WithheldUpdated


class UpstreamMembership:
    """View that one VM has of the upstreams.

    Attributes:
        listed: Entry of each upstream in the platform's list.
        leaving: Address of each upstream that is leaving.

    Example:
        >>> membership = UpstreamMembership()
        >>> membership.handle(ListRead(()))
        False
        >>> membership.upstreams()
        ()
    """

    def __init__(self) -> None:
        self.listed: dict[ids.UpstreamId, base.VmEntry] = {}
        self.leaving: dict[ids.UpstreamId, str] = {}
        self.unreachable: set[ids.UpstreamId] = set()
        self.withheld: frozenset[ids.UpstreamId] = frozenset()

    def handle(self, event: Event) -> bool:
        """Process an event.

        Returns:
            Whether the upstreams may have changed. Almost all events
            repeat what is already known, so those must be cheap.
        """
        match event:
            case ListRead(entries):
                return self._on_list_read(entries)
            case LeavingReported(upstream, address):
                return self._mark_leaving(upstream, address)
            case ReachabilityChanged(upstream, reachable):
                return self._set_reachable(upstream, reachable)
            case WithheldUpdated(upstreams):
                changed = self.withheld != upstreams
                self.withheld = upstreams
                return changed

    def upstreams(self) -> tuple[events.UpstreamInfo, ...]:
        """Return all upstreams, sorted by name."""
        return tuple(
            self._info(upstream, entry)
            for upstream, entry in sorted(self.listed.items())
        )

    def is_leaving(self, upstream: ids.UpstreamId) -> bool:
        """Return whether an upstream must get no new work."""
        if upstream in self.leaving or upstream in self.withheld:
            return True
        return upstream in self.unreachable

    def _on_list_read(
        self, entries: collections.abc.Sequence[base.VmEntry]
    ) -> bool:
        listed = {
            ids.UpstreamId(entry.vm): entry
            for entry in entries
            if entry.kind is not states.VmKind.ENTRY
        }
        if listed == self.listed:
            return False
        self.listed = listed
        for upstream, address in list(self.leaving.items()):
            entry = self.listed.get(upstream)
            if entry is None or _address(entry) != address:
                del self.leaving[upstream]
        self.unreachable.intersection_update(self.listed)
        for upstream, entry in self.listed.items():
            if entry.state is states.UpstreamState.LEAVING:
                self._mark_leaving(upstream, _address(entry))
        return True

    def _mark_leaving(self, upstream: ids.UpstreamId, address: str) -> bool:
        entry = self.listed.get(upstream)
        # A report on an earlier incarnation does not apply to its
        # successor.
        if entry is None or _address(entry) != address:
            return False
        if upstream in self.leaving:
            return False
        self.leaving[upstream] = address
        return True

    def _set_reachable(
        self, upstream: ids.UpstreamId, reachable: bool
    ) -> bool:
        if reachable == (upstream not in self.unreachable):
            return False
        if reachable:
            self.unreachable.discard(upstream)
        elif upstream in self.listed:
            self.unreachable.add(upstream)
        return True

    def _info(
        self, upstream: ids.UpstreamId, entry: base.VmEntry
    ) -> events.UpstreamInfo:
        state = states.UpstreamState.LIVE
        if self.is_leaving(upstream):
            state = states.UpstreamState.LEAVING
        return events.UpstreamInfo(
            upstream=upstream,
            service=entry.service or ids.ServiceName(''),
            kind=states.ServiceKind(entry.kind.value),
            address=_address(entry),
            availability_zone=entry.availability_zone,
            region=entry.region,
            state=state,
        )


def _address(entry: base.VmEntry) -> str:
    return f'{entry.address}:{entry.port}'
