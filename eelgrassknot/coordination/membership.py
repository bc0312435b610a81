"""Membership of entry VMs from the platform's list and heartbeats.

The list lags, and a VM that is unreachable from here may still be
reachable from others. A silent peer is therefore only suspected at first.
It is considered gone once all live peers of the zone report it as silent
too, or once another incarnation of the same VM has replaced it. Leaving is
final for an incarnation.

References:
    Dadgar et al., "Lifeguard: local health awareness for more accurate
    failure detection", 2018, for discounting pauses of the local process.
"""

import collections.abc
import enum

import msgspec

from eelgrassknot.coordination import failure_detector
from eelgrassknot.coordination import membership_messages as messages
from eelgrassknot import ids
from eelgrassknot import states
from eelgrassknot.storage import base

__all__ = [
    'Membership',
    'Peer',
    'PeerState',
]

EXPECTED_GAP_MS = 1_000.0
GONE_AFTER_MS = 10_000.0
EXPIRE_AFTER_MS = 600_000.0
# A longer gap between ticks means that this process was paused.
MAX_TICK_GAP_MS = 1_000.0
MAX_ENDED_INCARNATIONS = 4_096


class PeerState(enum.Enum):
    """State of a peer as seen by this VM."""

    LISTED = 'listed'
    LIVE = 'live'
    SUSPECTED = 'suspected'
    LEAVING = 'leaving'
    GONE = 'gone'


class Peer(msgspec.Struct):
    """What this VM knows of one peer."""

    vm: ids.VmId
    location: messages.PeerLocation | None = None
    location_received_ms: float | None = None
    listed: bool = False
    incarnation: ids.IncarnationId | None = None
    started_ms: int = 0
    sequence: int = -1
    leaving: bool = False
    state: PeerState = PeerState.LISTED
    unheard: frozenset[ids.VmId] = frozenset()
    detector: failure_detector.PhiAccrualDetector | None = None


class Membership:
    """View that one VM has of the other entry VMs.

    Args:
        vm: This VM.
        availability_zone: Zone of this VM.

    Attributes:
        peers: State of each other entry VM.
        ended_incarnations: Incarnations that another one has replaced.

    Example:
        >>> membership = Membership('nadi-1', 'nadi-yard')
        >>> heard = messages.HeartbeatReceived('nadi-2', 'i1', 0, 1, False)
        >>> membership.handle(heard, 0.0)
        True
        >>> membership.live_peers()
        ['nadi-2']
    """

    def __init__(
        self, vm: ids.VmId, availability_zone: ids.AvailabilityZoneId
    ) -> None:
        self.vm = vm
        self.availability_zone = availability_zone
        self.peers: dict[ids.VmId, Peer] = {}
        self.ended_incarnations: dict[ids.IncarnationId, None] = {}
        self.last_tick_ms: float | None = None

    def handle(self, event: messages.Event, now_ms: float) -> bool:
        """Process an event.

        Args:
            event: The event.
            now_ms: Current time of this VM's clock.

        Returns:
            Whether the state or the address of any peer has changed.
        """
        match event:
            case messages.HeartbeatReceived():
                return self._on_heartbeat(event, now_ms)
            case messages.PeerLocation(vm):
                return vm != self.vm and self._on_location(event, now_ms)
            case messages.ListRead(entries):
                self._on_list_read(entries)
                return self._update_states(now_ms)
            case messages.Tick():
                self._discount_local_pause(now_ms)
                return self._update_states(now_ms)
        return False

    def live_peers(self) -> list[ids.VmId]:
        """Return the names of live peers, which may be given work."""
        return self.in_state(PeerState.LIVE)

    def in_state(self, state: PeerState) -> list[ids.VmId]:
        """Return the names of the peers in a state, sorted."""
        return sorted(
            peer.vm for peer in self.peers.values() if peer.state is state
        )

    def zone_members(self) -> list[ids.VmId]:
        """Return the names of this VM and its live zone peers, sorted."""
        peers = [
            vm for vm in self.live_peers() if self._in_zone(self.peers[vm])
        ]
        return sorted([*peers, self.vm])

    def silent_peers(self) -> list[ids.VmId]:
        """Return the zone peers whose heartbeats have stopped."""
        silent = (PeerState.SUSPECTED, PeerState.GONE)
        return sorted(
            peer.vm
            for peer in self.peers.values()
            if peer.state in silent and self._in_zone(peer)
        )

    def is_gone(
        self, vm: ids.VmId, incarnation: ids.IncarnationId
    ) -> bool | None:
        """Return whether an incarnation has ended, or None if unknown."""
        if incarnation in self.ended_incarnations:
            return True
        peer = self.peers.get(vm)
        if peer is None or peer.incarnation is None:
            return None
        if peer.incarnation != incarnation:
            return True if peer.state is PeerState.LIVE else None
        if peer.state is PeerState.GONE:
            return True
        return False if peer.state is PeerState.LIVE else None

    def _peer(self, vm: ids.VmId) -> Peer:
        return self.peers.setdefault(vm, Peer(vm))

    def _on_location(
        self, event: messages.PeerLocation, now_ms: float
    ) -> bool:
        peer = self._peer(event.vm)
        changed = peer.location != event
        peer.location = event
        peer.location_received_ms = now_ms
        return changed

    def _on_heartbeat(
        self, event: messages.HeartbeatReceived, now_ms: float
    ) -> bool:
        if event.vm == self.vm or event.incarnation in self.ended_incarnations:
            return False
        peer = self._peer(event.vm)
        if peer.incarnation != event.incarnation:
            if not self._replaces(event, peer):
                return False
            self._start_incarnation(peer, event)
        if event.sequence <= peer.sequence:
            return False
        peer.sequence = event.sequence
        peer.unheard = event.unheard
        peer.leaving = peer.leaving or event.leaving
        assert peer.detector is not None
        if peer.state is PeerState.GONE:
            peer.detector = failure_detector.PhiAccrualDetector(
                EXPECTED_GAP_MS
            )
        peer.detector.record_heartbeat(now_ms)
        # Only the sender's state is updated. Updating all peers on each
        # heartbeat would cost time quadratic in the size of the zone.
        return self._update_state(peer, now_ms)

    def _replaces(self, event: messages.HeartbeatReceived, peer: Peer) -> bool:
        if peer.state in (PeerState.LISTED, PeerState.GONE):
            return True
        return event.started_ms > peer.started_ms

    def _start_incarnation(
        self, peer: Peer, event: messages.HeartbeatReceived
    ) -> None:
        if peer.incarnation is not None:
            self.ended_incarnations[peer.incarnation] = None
            if len(self.ended_incarnations) > MAX_ENDED_INCARNATIONS:
                del self.ended_incarnations[
                    next(iter(self.ended_incarnations))
                ]
        peer.incarnation = event.incarnation
        peer.started_ms = event.started_ms
        peer.sequence = -1
        peer.leaving = False
        peer.detector = failure_detector.PhiAccrualDetector(EXPECTED_GAP_MS)

    def _on_list_read(
        self, entries: collections.abc.Sequence[base.VmEntry]
    ) -> None:
        for peer in self.peers.values():
            peer.listed = False
        for entry in entries:
            if entry.kind is not states.VmKind.ENTRY or entry.vm == self.vm:
                continue
            peer = self._peer(entry.vm)
            peer.listed = True
            if peer.location is None or peer.state is not PeerState.LIVE:
                # What a live peer reported itself is newer than the list.
                peer.location = messages.PeerLocation(
                    entry.vm,
                    f'{entry.address}:{entry.port}',
                    entry.availability_zone,
                    entry.region,
                )
            if entry.state is states.UpstreamState.LEAVING:
                peer.leaving = peer.leaving or peer.incarnation is not None

    def _discount_local_pause(self, now_ms: float) -> None:
        last_ms = self.last_tick_ms
        self.last_tick_ms = now_ms
        if last_ms is None or now_ms - last_ms <= MAX_TICK_GAP_MS:
            return
        for peer in self.peers.values():
            if peer.detector is not None:
                peer.detector.discount_pause(now_ms - last_ms)

    def _update_states(self, now_ms: float) -> bool:
        changed = False
        for peer in list(self.peers.values()):
            changed = self._update_state(peer, now_ms) or changed
            if self._is_expired(peer, now_ms):
                del self.peers[peer.vm]
                changed = True
        return changed

    def _update_state(self, peer: Peer, now_ms: float) -> bool:
        state = self._compute_state(peer, now_ms)
        changed = state is not peer.state
        peer.state = state
        return changed

    def _compute_state(self, peer: Peer, now_ms: float) -> PeerState:
        detector = peer.detector
        if detector is None or detector.last_ms is None:
            return PeerState.LISTED
        if not detector.is_suspect(now_ms):
            return PeerState.LEAVING if peer.leaving else PeerState.LIVE
        silence_ms = now_ms - detector.last_ms
        if silence_ms > GONE_AFTER_MS and self._is_confirmed_silent(peer):
            return PeerState.GONE
        return PeerState.SUSPECTED

    def _is_confirmed_silent(self, peer: Peer) -> bool:
        if not self._in_zone(peer):
            return not peer.listed
        witnesses = [
            other
            for other in self.peers.values()
            if other.state is PeerState.LIVE and self._in_zone(other)
        ]
        return all(peer.vm in other.unheard for other in witnesses)

    def _in_zone(self, peer: Peer) -> bool:
        location = peer.location
        if location is None:
            return True
        return location.availability_zone == self.availability_zone

    def _is_expired(self, peer: Peer, now_ms: float) -> bool:
        if peer.listed:
            return False
        known_ms = [peer.location_received_ms]
        if peer.detector is not None:
            known_ms.append(peer.detector.last_ms)
        newest_ms = max(
            (ms for ms in known_ms if ms is not None), default=None
        )
        return newest_ms is None or now_ms - newest_ms > EXPIRE_AFTER_MS
