"""Permits to send to cold upstreams, as time slots on the store's clock.

A cold upstream crashes well above its rate, so the sum over all VMs in any
one second is bounded, however the VMs are divided into groups. Time is cut
into slots of equal length. Each slot belongs to one known VM, in turn, and
is one permit. The issuer of a group issues the slots of its members. Groups
share no slot, so the bound needs no agreement between them, and it does not
depend on their number.
"""

import collections.abc
import math

import msgspec
import xxhash

from eelgrassknot import clock
from eelgrassknot import ids
from eelgrassknot.policy import send_permits

__all__ = ['Slot', 'SlotIssuer', 'slot_positions', 'slots_per_s']

SLOT_TTL_MS = 800.0
"""How long a slot that nobody has asked for can be issued; ms. A zone of a
sixth of the VMs then always holds about two permits at the rate of 14 a
second that a tolerated rate of 22 gives."""
LATE_MS = 400.0
"""How long after its time a permit to send to a cold upstream can be used;
ms. Covers the way of the issuer's reply."""
MAX_RESERVE = 6.0
"""Requests within the bound for which no slots exist: those that were sent
before the VMs knew that the upstream is cold, and the slots that two
issuers both use for a moment, or that move when a VM joins or leaves."""
RESERVE_SHARE = 1.0 / 6.0
"""Highest share of the bound that is kept as reserve."""
MAX_CLOCK_STEP_MS = 10_000.0
"""Slots issued further in the future than this belong to a clock of the
store that has since been set back; ms."""
GOLDEN_RATIO = 0.618_033_988_749_895


class Slot(msgspec.Struct, frozen=True):
    """One slot that can be issued.

    Attributes:
        time_ms: Its time on the store's clock.
        delay_ms: Delay until it can be used.
    """

    time_ms: float
    delay_ms: float


def slots_per_s(per_s: float, excess: float, slack: float) -> float:
    """Return the number of slots per second for all VMs together.

    A request that arrives at a time uses a slot from the last
    ``SLOT_TTL_MS`` + ``LATE_MS`` before it. The requests of one second use
    slots from 1 s plus that time, which contains at most its length times
    the rate, plus one.

    Args:
        per_s: Rate that the cold upstream tolerates.
        excess: Factor by which the rate may be exceeded in one second.
        slack: Further requests that are tolerated in one second.

    Example:
        >>> round(slots_per_s(22.0, 1.5, 5.0), 2)
        14.09
    """
    bound = per_s * excess + slack
    reserve = 1.0 + min(MAX_RESERVE, bound * RESERVE_SHARE)
    window_s = 1.0 + (SLOT_TTL_MS + LATE_MS) / clock.MS_PER_SECOND
    return max(
        send_permits.MIN_PER_S, min(per_s, (bound - reserve) / window_s)
    )


def slot_positions(
    zones: collections.abc.Mapping[ids.VmId, ids.AvailabilityZoneId],
) -> dict[ids.VmId, int]:
    """Return the position of each VM in the order of the slots.

    The VMs of a zone take positions that are nearly equally far apart, so
    that a zone that issues its own share has no long gaps.

    Args:
        zones: Zone of each known VM.

    Example:
        >>> slot_positions({'a': 'y', 'b': 'y', 'c': 'z', 'd': 'z'})
        {'a': 0, 'c': 1, 'b': 2, 'd': 3}
    """
    ordered = sorted(zones, key=lambda vm: (zones[vm], vm))
    phases = {
        vm: number * GOLDEN_RATIO % 1.0 for number, vm in enumerate(ordered)
    }
    in_turn = sorted(ordered, key=phases.__getitem__)
    return {vm: position for position, vm in enumerate(in_turn)}


class SlotIssuer:
    """Issues the slots of one VM's group, each at most once.

    All times are on the store's clock.

    Attributes:
        issued_ms: Latest slot of each upstream that cannot be issued again.

    Example:
        >>> issuer = SlotIssuer()
        >>> slot = issuer.next_slot('u', 2.0, {'a': 0}, {'a'}, 0.0, 0.0)
        >>> 0.0 <= slot.delay_ms <= 500.0
        True
        >>> issuer.take('u', slot)
        >>> later = issuer.next_slot('u', 2.0, {'a': 0}, {'a'}, 0.0, 0.0)
        >>> later.delay_ms - slot.delay_ms
        500.0
    """

    def __init__(self) -> None:
        self.issued_ms: dict[ids.UpstreamId, float] = {}

    def start(
        self, upstream: ids.UpstreamId, from_ms: float, now_ms: float
    ) -> None:
        """Issue no slot of an upstream before a time.

        Args:
            upstream: The upstream.
            from_ms: The time; another VM may have issued earlier slots.
            now_ms: The present time.
        """
        issued_ms = self.issued_ms.get(upstream, from_ms)
        if issued_ms > now_ms + MAX_CLOCK_STEP_MS:
            issued_ms = now_ms
        self.issued_ms[upstream] = max(issued_ms, from_ms)

    def next_slot(
        self,
        upstream: ids.UpstreamId,
        per_s: float,
        positions: collections.abc.Mapping[ids.VmId, int],
        group: collections.abc.Iterable[ids.VmId],
        earliest_ms: float,
        now_ms: float,
    ) -> Slot:
        """Return the first slot of a group that has not been issued.

        Args:
            upstream: The upstream.
            per_s: Slots per second for all VMs together.
            positions: Position of each known VM.
            group: VMs of the group, at least one of them known.
            earliest_ms: Time before which the request is not sent.
            now_ms: The present time.
        """
        length_ms = clock.MS_PER_SECOND / per_s
        count = len(positions)
        # The slots of a VM differ between upstreams, so that a VM without
        # peers does not wait for all of them at once.
        shift = xxhash.xxh32_intdigest(upstream.encode()) % count
        offset_ms = length_ms * shift
        owned = {positions[vm] for vm in group if vm in positions}
        after_ms = max(
            self.issued_ms.get(upstream, now_ms),
            max(now_ms, earliest_ms) - SLOT_TTL_MS,
        )
        number = math.floor((after_ms - offset_ms) / length_ms) + 1
        while (
            number % count not in owned
            or number * length_ms + offset_ms <= after_ms
        ):
            number += 1
        time_ms = number * length_ms + offset_ms
        return Slot(time_ms, max(time_ms, earliest_ms, now_ms) - now_ms)

    def take(self, upstream: ids.UpstreamId, slot: Slot) -> None:
        """Record that a slot has been issued."""
        self.issued_ms[upstream] = slot.time_ms

    def expire(self, now_ms: float) -> None:
        """Forget what no longer matters, because those slots have lapsed."""
        for upstream, issued_ms in list(self.issued_ms.items()):
            if issued_ms < now_ms - SLOT_TTL_MS:
                del self.issued_ms[upstream]
