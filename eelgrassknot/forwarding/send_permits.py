"""Permits to send to limited upstreams, requested from peers or issued.

One VM of a group issues the permits for an upstream; see
``policy.send_permits``. A VM asks it whenever it has a request to send, so
an upstream's limit goes to the VMs that have callers.
"""

import collections.abc
import itertools
import math
import typing

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.coordination import rendezvous
from eelgrassknot.forwarding import cold_upstreams
from eelgrassknot.forwarding import limit_monitor
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import pending_permit
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.policy import send_permits as policy

__all__ = ['SendPermits']

REPLY_TIMEOUT_MS = 250.0
"""Time to wait for the issuer; ms. Four round trips between regions."""
NOT_ISSUER_RETRY_MS = 100.0
"""Delay before the next request if the VMs disagree on the issuer; ms."""
MIN_RETRY_MS = 20.0


class Peers(typing.Protocol):
    """The part of the peers' discovery that permits need."""

    def linked_group(self) -> list[ids.VmId]:
        """Return this VM and the live peers to which all of them link."""

    def send(self, vm: ids.VmId, message: messages.Message) -> bool:
        """Send a message to one peer; return whether it was queued."""


class SendPermits(policy.PermitView):
    """Permits of one VM.

    Args:
        vm: This VM.
        monitor: Limits known to this VM.
        peers: The other VMs.
        known_count: Returns the number of VMs of the deployment.
        loop: The event loop.
        cold: Cold upstreams and the slots to send to them.

    Attributes:
        is_leaving: Whether this VM is shutting down.
        issuer: Issues the permits that this VM is responsible for.
        candidates: Peers whose release issues permits and which are not
            shutting down.
        available_ms: When the next permit of an upstream was expected.
    """

    def __init__(
        self,
        vm: ids.VmId,
        monitor: limit_monitor.LimitMonitor,
        peers: Peers,
        known_count: collections.abc.Callable[[], int],
        loop: loops.EventLoop,
        cold: cold_upstreams.ColdUpstreams,
    ) -> None:
        self.vm = vm
        self.cold = cold
        self.monitor = monitor
        self.peers = peers
        self.known_count = known_count
        self.loop = loop
        self.is_leaving = False
        self.issuer = policy.PermitIssuer()
        self.candidates: set[ids.VmId] = set()
        self.available_ms: dict[ids.UpstreamId, float] = {}
        self.schedules: dict[ids.ServiceName, policy.ReturnSchedule] = {}
        self.tickets = itertools.count(1)
        self.asked: dict[int, pending_permit.PendingPermit] = {}

    # What placement needs to know

    def is_limited(self, upstream: ids.UpstreamId) -> bool:
        """Return whether sending to an upstream needs a permit."""
        return (
            self.states_limit(upstream)
            or self.cold.per_s(upstream) is not None
        )

    def states_limit(self, upstream: ids.UpstreamId) -> bool:
        """Return whether an upstream has stated a request limit."""
        return self.monitor.table.per_s(upstream) is not None

    def wait_ms(self, upstream: ids.UpstreamId) -> float:
        """Return the expected time until a permit is available; ms."""
        if not self.is_limited(upstream):
            return 0.0
        wait_ms = self.available_ms.get(upstream, 0.0) - self.loop.now_ms()
        if any(each.upstream == upstream for each in self.asked.values()):
            wait_ms = max(wait_ms, MIN_RETRY_MS)
        return max(0.0, min(wait_ms, self.free_in_ms([upstream])))

    def free_in_ms(
        self, upstreams: collections.abc.Iterable[ids.UpstreamId]
    ) -> float:
        """Return when the first of some upstreams needs no permit; ms."""
        return min(
            (
                math.inf
                if self.states_limit(upstream)
                else self.cold.left_ms(upstream)
                for upstream in upstreams
            ),
            default=math.inf,
        )

    def total_per_s(
        self, upstreams: collections.abc.Iterable[ids.UpstreamId]
    ) -> float | None:
        """Return this VM's even share of the limits of some upstreams."""
        total = 0.0
        for upstream in upstreams:
            rates = self._rates(upstream, counts_warm_up=True)
            if not rates:
                return None
            total += max(min(rates.values()), policy.MIN_PER_S)
        return total / self.known_count()

    def return_after_ms(
        self,
        service: ids.ServiceName,
        upstreams: collections.abc.Iterable[ids.UpstreamId],
        earliest_ms: float,
    ) -> float:
        """Return when a caller refused for lack of permits may return; ms.

        Args:
            service: The service.
            upstreams: Its upstreams.
            earliest_ms: Delay until the next permit.
        """
        per_s = self.total_per_s(upstreams)
        if per_s is None:
            return earliest_ms
        schedule = self.schedules.setdefault(service, policy.ReturnSchedule())
        return schedule.next_ms(earliest_ms, per_s, self.loop.now_ms())

    # Requests of this VM

    def acquire(
        self,
        upstream: ids.UpstreamId,
        request: ids.RequestId,
        max_wait_ms: float,
        is_urgent: bool,
        callback: pending_permit.Callback,
        counts_warm_up: bool = True,
    ) -> pending_permit.PendingPermit:
        """Request a permit; the callback receives the result, never at once.

        Args:
            upstream: Where the request goes.
            request: The request.
            max_wait_ms: Longest acceptable delay of the permit.
            is_urgent: Whether a run is lost without the permit.
            callback: Called once when the permit can be used, or denied.
            counts_warm_up: Whether a cold upstream's rate applies; it does
                not to transfers, which are no requests of callers.
        """
        now_ms = self.loop.now_ms()
        pending = pending_permit.PendingPermit(
            upstream, request, now_ms, callback
        )
        rates = self._rates(upstream, counts_warm_up)
        if not rates:
            self._grant(pending, policy.Grant(0.0))
            return pending
        pending.causes = frozenset(rates)
        pending.issuer = self.issuer_of(upstream)
        ticket = next(self.tickets)
        self.asked[ticket] = pending
        message = messages.PermitRequest(
            ticket,
            upstream,
            min(rates.values()),
            max_wait_ms,
            is_urgent,
            rates.get(pending_permit.Cause.COLD, 0.0),
            pending_permit.Cause.LIMIT in rates,
        )
        if pending.issuer == self.vm:
            found = self._issue(message)
            self.loop.call_soon(lambda: self._answered(ticket, found))
            return pending
        if not self.peers.send(pending.issuer, message):
            found = policy.Denial(REPLY_TIMEOUT_MS)
            self.loop.call_soon(lambda: self._answered(ticket, found))
            return pending
        self.loop.call_later(
            REPLY_TIMEOUT_MS, lambda: self._reply_timed_out(ticket)
        )
        return pending

    def receive_reply(self, message: messages.PermitReply) -> None:
        """Process the issuer's reply."""
        self._answered(message.ticket, pending_permit.decode(message))

    def _answered(self, ticket: int, found: pending_permit.Result) -> None:
        pending = self.asked.pop(ticket, None)
        if pending is None:
            return
        match found:
            case policy.Grant():
                metrics.PERMITS.inc('granted', pending.cause)
                self._grant(pending, found)
            case policy.Denial(retry_after_ms):
                self._deny(pending, retry_after_ms, 'none_in_time')

    def _grant(
        self, pending: pending_permit.PendingPermit, grant: policy.Grant
    ) -> None:
        if pending.state is not pending_permit.PermitState.ASKED:
            return
        pending.state = pending_permit.PermitState.GRANTED
        now_ms = self.loop.now_ms()
        if (
            now_ms - pending.asked_ms
            > REPLY_TIMEOUT_MS + pending_permit.PERMIT_TTL_MS
        ):
            self._deny(pending, MIN_RETRY_MS, 'expired')
            return
        due_ms = now_ms + grant.delay_ms
        self.loop.call_later(
            grant.delay_ms, lambda: self._use(pending, grant, due_ms)
        )

    def _use(
        self,
        pending: pending_permit.PendingPermit,
        grant: policy.Grant,
        due_ms: float,
    ) -> None:
        """Pass a permit on when its time has come, unless it has passed."""
        if pending.is_expired(grant, due_ms, self.loop.now_ms()):
            self._deny(pending, MIN_RETRY_MS, 'expired')
            return
        pending.finish(grant)

    def _deny(
        self,
        pending: pending_permit.PendingPermit,
        retry_after_ms: float,
        reason: str,
    ) -> None:
        retry_after_ms = max(MIN_RETRY_MS, retry_after_ms)
        self.available_ms[pending.upstream] = (
            self.loop.now_ms() + retry_after_ms
        )
        metrics.PERMITS.inc(reason, pending.cause)
        if pending.state is pending_permit.PermitState.OVER:
            return
        logs.event(
            'permit_denied',
            request=pending.request,
            upstream=pending.upstream,
            cause=pending.cause,
            reason=reason,
            issuer=pending.issuer,
            retry_after_ms=round(retry_after_ms, 1),
        )
        pending.finish(policy.Denial(retry_after_ms))

    def _reply_timed_out(self, ticket: int) -> None:
        pending = self.asked.pop(ticket, None)
        if pending is not None:
            self._deny(pending, REPLY_TIMEOUT_MS, 'no_reply')

    # Permits that this VM issues

    def receive_request(
        self, vm: ids.VmId, message: messages.PermitRequest
    ) -> None:
        """Issue a permit to a peer, or deny it."""
        found: pending_permit.Result = policy.Denial(NOT_ISSUER_RETRY_MS)
        if self.issuer_of(message.upstream) == self.vm:
            found = self._issue(message)
        self.peers.send(vm, pending_permit.encode(message.ticket, found))

    def receive_news(self, vm: ids.VmId, message: messages.EntryNews) -> None:
        """Note whether a peer can issue permits."""
        if message.limits is None or message.leaving:
            self.candidates.discard(vm)
        else:
            self.candidates.add(vm)
        if self.cold.is_observation_due:
            self._observe_group()

    def retain_limited(self) -> None:
        """Forget the upstreams that no longer have a limit."""
        limited = {
            upstream
            for upstream, reading in self.monitor.table.readings.items()
            if reading.per_s is not None
        }
        limited |= self.cold.cold()
        self.issuer.retain(limited)
        for upstream in set(self.available_ms) - limited:
            del self.available_ms[upstream]
        if not limited:
            self.schedules.clear()

    def _issue(self, message: messages.PermitRequest) -> pending_permit.Result:
        """Issue a permit for what this VM or the sender knows."""
        upstream = message.upstream
        delay_ms = 0.0
        limit_per_s = self.monitor.table.per_s(upstream)
        if limit_per_s is None and message.states_limit:
            limit_per_s = message.per_s
        if limit_per_s is not None:
            found = self._reserve(limit_per_s, message)
            if isinstance(found, policy.Denial):
                return found
            delay_ms = found.delay_ms
        if not message.cold_per_s:
            return policy.Grant(delay_ms)
        self._observe_group()
        slot = self.cold.next_slot(
            upstream,
            message.cold_per_s,
            self.peers.linked_group(),
            self.loop.now_ms() + delay_ms,
        )
        if slot is None:
            return policy.Denial(NOT_ISSUER_RETRY_MS)
        if slot.delay_ms > message.max_wait_ms:
            return policy.Denial(slot.delay_ms)
        self.cold.issuer.take(upstream, slot)
        return policy.Grant(slot.delay_ms)

    def _reserve(
        self, per_s: float, message: messages.PermitRequest
    ) -> pending_permit.Result:
        """Issue a permit for an upstream that has stated a limit."""
        members = len(self.peers.linked_group())
        if message.upstream not in self.issuer.buckets:
            logs.event(
                'permits_issued_here',
                upstream=message.upstream,
                per_s=per_s,
                members=members,
                vms=self.known_count(),
            )
        return self.issuer.reserve(
            message.upstream,
            per_s,
            min(1.0, members / self.known_count()),
            message.max_wait_ms,
            message.is_urgent,
            self.loop.now_ms(),
        )

    def issuer_of(self, upstream: ids.UpstreamId) -> ids.VmId:
        """Return the VM of the group that issues an upstream's permits."""
        eligible = self._eligible(self.peers.linked_group())
        return rendezvous.ranked(upstream, eligible, 1)[0]

    def _eligible(self, group: list[ids.VmId]) -> list[ids.VmId]:
        """Return the VMs of the group that can issue permits."""
        return [
            vm
            for vm in group
            if vm in self.candidates or (vm == self.vm and not self.is_leaving)
        ] or [self.vm]

    def _observe_group(self) -> None:
        group = self.peers.linked_group()
        self.cold.observe_group(group, self._eligible(group))

    def _rates(
        self, upstream: ids.UpstreamId, counts_warm_up: bool
    ) -> dict[pending_permit.Cause, float]:
        """Return the permits per second of an upstream, by cause."""
        rates = {
            pending_permit.Cause.LIMIT: self.monitor.table.per_s(upstream),
            pending_permit.Cause.COLD: self.cold.per_s(upstream)
            if counts_warm_up
            else None,
        }
        return {
            cause: per_s for cause, per_s in rates.items() if per_s is not None
        }
