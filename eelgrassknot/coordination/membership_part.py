"""Daemon part that tracks the other entry VMs."""

import collections.abc
import dataclasses
import threading
import time

import result

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import digest
from eelgrassknot.coordination import links
from eelgrassknot.coordination import membership as memberships
from eelgrassknot.coordination import membership_messages
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.coordination import ticker
from eelgrassknot.coordination import vm_list_part
from eelgrassknot import exceptions
from eelgrassknot import ids
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot import logs
from eelgrassknot import states

__all__ = ['EntryVmsChanged', 'MembershipPart']

TICK_MS = 200.0
REMOTE_INTERVAL_MS = 2_000.0
INTRODUCTION_MS = 10_000.0
# Interval at which the known addresses of the settings are probed for the
# name of the VM that listens there.
ADDRESS_INTERVAL_MS = 500.0
MIN_HEARTBEAT_MS = 400.0
MAX_HEARTBEAT_MS = 2_000.0
# The heartbeat interval grows with the zone, to bound the message rate.
MAX_HEARTBEATS_PER_S = 22.0
# Total budget for deltas of load, dispatches and demand.
DIGEST_BYTES_PER_S = 2_500.0
MIN_DIGEST_BYTES = 64.0
CONNECT_RETRY_S = 0.05

PayloadSource = collections.abc.Callable[[float], digest.Payload]


@dataclasses.dataclass(frozen=True)
class EntryVmsChanged:
    """The live entry VMs of the zone, including this one, have changed.

    Attributes:
        members: Names of the live VMs of the zone, sorted.
        count: Number of entry VMs of the deployment that may be serving.
    """

    members: tuple[ids.VmId, ...]
    count: int


@parts.part('membership', after=('peers', 'config'))
class MembershipPart(parts.Part):
    """Sends and receives heartbeats and maintains the links to peers.

    Attributes:
        membership: View of the peers; guarded by ``lock``.
        payload_source: Returns the digest for a heartbeat, given a byte
            budget.
        zone_load_source: Returns the load sums to send to other zones.
    """

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        settings = node.settings
        self.membership = memberships.Membership(
            settings.vm, settings.availability_zone
        )
        self.lock = threading.Lock()
        # Serializes the handling of changes, in the order of the states.
        self.change_lock = threading.Lock()
        self.links = links.Links({}, {})
        self.last_states: dict[ids.VmId, memberships.PeerState] = {}
        self.last_published: EntryVmsChanged | None = None
        self.payload_source: PayloadSource | None = None
        self.zone_load_source: collections.abc.Callable[[], tuple] = tuple
        self.next_heartbeat_ms = float('-inf')
        self.next_remote_ms = float('-inf')
        self.next_introduction_ms = float('-inf')
        self.next_address_ms = float('-inf')
        self.pending_introductions: set[str] = set()
        self.ticker = ticker.Ticker('membership', TICK_MS, self._tick)
        node.hub.subscribe(vm_list_part.VmListRead, self._on_list_read)

    def bind(self) -> None:
        """Look up the parts that this one uses, and register handlers."""
        self.config = self.node.part_set.parts['config']
        self.link = self.node.part_set.parts['peers'].link
        self.link.on_message(messages.Heartbeat, self._on_heartbeat)
        self.link.on_message(messages.Introduction, self._on_introduction)

    def start(self) -> None:
        """Start to send and receive heartbeats."""
        for address in self.node.settings.known_peers:
            self.link.connect(address, address)
            self.pending_introductions.add(address)
        self.ticker.start()

    def drain(self) -> None:
        """Notify the peers immediately that this VM is leaving."""
        self._send_heartbeats(self.node.clock.now_ms())

    def stop(self) -> None:
        """Stop sending heartbeats."""
        self.ticker.stop()

    def status(self) -> dict[str, object]:
        """Return the peers as seen by this VM."""
        with self.lock:
            peers = [
                _peer_status(peer) for peer in self.membership.peers.values()
            ]
        return {'peers': peers}

    def is_gone(
        self, vm: ids.VmId, incarnation: ids.IncarnationId
    ) -> bool | None:
        """Return whether an incarnation has ended, or None if unknown."""
        if vm == self.node.settings.vm:
            return incarnation != self.node.incarnation
        with self.lock:
            return self.membership.is_gone(vm, incarnation)

    def live_region_members(self) -> list[ids.VmId]:
        """Return the VMs of this region that may be alive, sorted."""
        region = self.node.settings.region
        possible = (memberships.PeerState.LIVE, memberships.PeerState.LISTED)
        with self.lock:
            names = [
                peer.vm
                for peer in self.membership.peers.values()
                if peer.state in possible
                and peer.location is not None
                and peer.location.region == region
            ]
        return sorted([*names, self.node.settings.vm])

    def request(
        self, vm: ids.VmId, query: object, timeout_ms: float
    ) -> result.Result[object, exceptions.UpstreamError]:
        """Query an entry VM, connecting to it first if necessary."""
        until_ms = self.node.clock.now_ms() + timeout_ms
        if not self._connect(vm, until_ms):
            error = exceptions.UpstreamError(
                f'{vm} cannot be reached', 'retry later', False
            )
            return result.Err(error)
        left_ms = until_ms - self.node.clock.now_ms()
        return self.link.request(vm, query, max(1.0, left_ms))

    def send(
        self, vm: ids.VmId, message: messages.Message, timeout_ms: float
    ) -> bool:
        """Send to an entry VM, connecting to it first if necessary."""
        until_ms = self.node.clock.now_ms() + timeout_ms
        return self._connect(vm, until_ms) and self.link.send(vm, message)

    def _connect(self, vm: ids.VmId, until_ms: float) -> bool:
        with self.lock:
            peer = self.membership.peers.get(vm)
            place = peer.location if peer else None
        if place is None:
            return False
        self.link.connect(vm, place.address)
        while not self.link.send(vm, self._make_introduction(False)):
            if self.node.clock.now_ms() > until_ms:
                return False
            time.sleep(CONNECT_RETRY_S)
        return True

    def _on_heartbeat(self, envelope: messages.Envelope) -> None:
        heartbeat = envelope.message
        self._handle(
            membership_messages.HeartbeatReceived(
                envelope.vm,
                envelope.incarnation,
                envelope.started_ms,
                envelope.sequence,
                heartbeat.leaving,
                frozenset(heartbeat.unheard),
            )
        )

    def _on_introduction(self, envelope: messages.Envelope) -> None:
        told = envelope.message
        self._handle(
            membership_messages.PeerLocation(
                envelope.vm, told.address, told.availability_zone, told.region
            )
        )
        if told.answer:
            self.link.connect(envelope.vm, told.address)
            self.pending_introductions.add(envelope.vm)
        if told.address in self.pending_introductions:
            # The VM behind this configured address is now known by name.
            self.pending_introductions.discard(told.address)
            self.link.disconnect(told.address)

    def _handle(self, event: membership_messages.Event) -> None:
        now_ms = self.node.clock.now_ms()
        with self.lock:
            changed = self.membership.handle(event, now_ms)
        if changed or isinstance(event, membership_messages.ListRead):
            with self.change_lock:
                self._process_changes()

    def _process_changes(self) -> None:
        with self.lock:
            before = self.last_states
            after = _states(self.membership)
            self.last_states = after
        for vm, state in after.items():
            if before.get(vm) is not state:
                logs.event('peer_state', peer=vm, state=state.value)
            if state is memberships.PeerState.GONE:
                self.config.peer_lost(vm)
        with self.lock:
            self.links = links.plan_links(self.membership)
            members = tuple(self.membership.zone_members())
            count = 1 + sum(_may_serve(s) for s in after.values())
        wanted = {**self.links.zone_peers, **self.links.remote_gateways}
        for vm, address in wanted.items():
            if self.link.addresses.get(vm) != address:
                self.link.connect(vm, address)
                self.pending_introductions.add(vm)
        for vm in set(before) - set(after):
            self.link.disconnect(vm)
        announced = EntryVmsChanged(members, count)
        if announced != self.last_published:
            self.last_published = announced
            self.node.hub.publish(announced)

    def _tick(self) -> None:
        now_ms = self.node.clock.now_ms()
        self._handle(membership_messages.Tick())
        self._send_introductions(now_ms)
        if now_ms >= self.next_heartbeat_ms:
            self._send_heartbeats(now_ms)
        if now_ms >= self.next_remote_ms and self.links.remote_gateways:
            self.next_remote_ms = now_ms + REMOTE_INTERVAL_MS
            self.link.broadcast(
                self.links.remote_gateways, self._remote_heartbeat()
            )

    def _on_list_read(self, event: vm_list_part.VmListRead) -> None:
        self._handle(membership_messages.ListRead(event.entries))

    def _make_introduction(self, answer: bool) -> messages.Introduction:
        settings = self.node.settings
        return messages.Introduction(
            self.link.address,
            settings.availability_zone,
            settings.region,
            answer,
        )

    def _send_introductions(self, now_ms: float) -> None:
        if now_ms >= self.next_introduction_ms:
            self.next_introduction_ms = now_ms + INTRODUCTION_MS
            self.pending_introductions.update(
                self.links.zone_peers, self.links.remote_gateways
            )
        ask_addresses = now_ms >= self.next_address_ms
        if ask_addresses:
            self.next_address_ms = now_ms + ADDRESS_INTERVAL_MS
        for name in list(self.pending_introductions):
            is_address = name == self.link.addresses.get(name)
            if is_address and not ask_addresses:
                continue
            if self.link.send(name, self._make_introduction(is_address)):
                if not is_address:
                    self.pending_introductions.discard(name)

    def _heartbeat_interval_ms(self) -> float:
        peers = max(1, len(self.links.zone_peers))
        interval_ms = peers * clocks.MS_PER_SECOND / MAX_HEARTBEATS_PER_S
        return min(MAX_HEARTBEAT_MS, max(MIN_HEARTBEAT_MS, interval_ms))

    def _send_heartbeats(self, now_ms: float) -> None:
        interval_ms = self._heartbeat_interval_ms()
        self.next_heartbeat_ms = now_ms + interval_ms
        if not self.links.zone_peers:
            return
        share = DIGEST_BYTES_PER_S * interval_ms / clocks.MS_PER_SECOND
        budget = max(MIN_DIGEST_BYTES, share / len(self.links.zone_peers))
        payload = (
            self.payload_source(budget)
            if self.payload_source
            else _EMPTY_PAYLOAD
        )
        with self.lock:
            unheard = tuple(self.membership.unheard())
        heartbeat = messages.Heartbeat(
            self.node.text_version,
            self.node.state is states.DaemonState.DRAINING,
            unheard,
            payload.loads,
            payload.held,
            payload.demands,
            payload.zones,
            payload.cache,
        )
        self.link.broadcast(self.links.zone_peers, heartbeat)

    def _remote_heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            self.node.text_version,
            self.node.state is states.DaemonState.DRAINING,
            zones=self.zone_load_source(),
        )


_EMPTY_PAYLOAD = digest.Payload((), (), (), (), ())


def _states(membership: memberships.Membership) -> dict:
    return {vm: peer.state for vm, peer in membership.peers.items()}


def _may_serve(state: memberships.PeerState) -> bool:
    return state in (
        memberships.PeerState.LIVE,
        memberships.PeerState.LISTED,
        memberships.PeerState.SUSPECTED,
    )


def _peer_status(peer: memberships.Peer) -> dict[str, object]:
    place = peer.location
    return {
        'vm': peer.vm,
        'state': peer.state.value,
        'incarnation': peer.incarnation,
        'availability_zone': place.availability_zone if place else None,
        'address': place.address if place else None,
    }
