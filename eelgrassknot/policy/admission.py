"""Request queue of one service at the entry VM.

Requests wait here rather than in an engine, so that fairness and
priority apply to them and a refused request is known not to have run.
The queue is bounded: when it is full, the newest request of the account
with the most queued requests relative to its weight is evicted. A request
whose deadline cannot be met is refused on arrival instead of when the
deadline expires.
"""

import collections
import dataclasses

from eelgrassknot import clock
from eelgrassknot import ids
from eelgrassknot.policy import fairness
from eelgrassknot.policy import messages
from eelgrassknot import states

__all__ = ['EntryQueue', 'QueuedRequest']

MAX_QUEUED = 256
BATCH_AGEING_MS = 20_000.0
RATE_SMOOTHING_MS = 5_000.0
MIN_RATE_PER_S = 0.05
CHARGE_SMOOTHING = 0.02
FIRST_CHARGE_TOKENS = 400.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that is queued at this VM.

    Attributes:
        arrived_ms: Time of arrival.
        deadline_ms: Time after which the response is no longer useful.
    """

    profile: messages.RequestProfile
    arrived_ms: float
    deadline_ms: float


class EntryQueue:
    """Requests of one service that are waiting for an engine.

    Args:
        counters: Token counters of the client accounts.
        fair: Whether the counters order the queue; if not, it is first in,
            first out.
    """

    def __init__(
        self, counters: fairness.TokenCounters, fair: bool = True
    ) -> None:
        self.counters = counters
        self.fair = fair
        self.queues: dict[tuple, collections.deque[QueuedRequest]] = {}
        self.size = 0
        self.dispatch_rate_per_s = 0.0
        self.rate_known = False
        self.mean_charge = FIRST_CHARGE_TOKENS
        self.dispatched_count = 0
        self.rate_window_start_ms: float | None = None

    def push(self, queued: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the one evicted to make room, if any.

        Args:
            queued: The request.
        """
        profile = queued.profile
        account = profile.client_account
        accounts = self.accounts()
        if account not in accounts:
            self.counters.raise_to_lowest(account, accounts)
        queue = self.queues.setdefault(
            (profile.priority, account), collections.deque()
        )
        queue.append(queued)
        self.size += 1
        if self.size <= MAX_QUEUED:
            return None
        return self._evict_newest()

    def head(self, now_ms: float) -> QueuedRequest | None:
        """Return the next request to dispatch without removing it."""
        key = self._next_queue(now_ms)
        return self.queues[key][0] if key else None

    def pop(self, queued: QueuedRequest) -> None:
        """Remove a request that is dispatched to an engine."""
        self.remove(queued)
        self.dispatched_count += 1

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request."""
        key = (queued.profile.priority, queued.profile.client_account)
        self.queues[key].remove(queued)
        self.size -= 1
        if not self.queues[key]:
            del self.queues[key]

    def find(self, request: ids.RequestId) -> QueuedRequest | None:
        """Return the queued request with this ID, or None."""
        for queue in self.queues.values():
            for queued in queue:
                if queued.profile.request == request:
                    return queued
        return None

    def expired(self, now_ms: float) -> list[QueuedRequest]:
        """Return the requests whose deadline has passed."""
        return [
            queued
            for queue in self.queues.values()
            for queued in queue
            if queued.deadline_ms <= now_ms
        ]

    def accounts(self) -> list[ids.ClientAccountId]:
        """Return the accounts with queued requests."""
        return list(dict.fromkeys(account for _, account in self.queues))

    def expected_wait_ms(self, profile: messages.RequestProfile) -> float:
        """Return the expected wait of a request that arrives now.

        Args:
            profile: The request.
        """
        if not self.rate_known or not self.size:
            return 0.0
        account = profile.client_account
        waiting = self._count_ahead_by_account(profile.priority)
        own = waiting.pop(account, 0) + 1
        # The account's counter when this request is dispatched. Requests
        # of other accounts go first while their counters are below it.
        level = self._counter_at_dispatch(account, own, waiting)
        ahead = own - 1.0
        for other, count in waiting.items():
            counter = self.counters.counters.get(other, 0.0)
            behind = (level - counter) * self.counters.weight(other)
            ahead += min(count, max(0.0, behind / self.mean_charge))
        rate = max(self.dispatch_rate_per_s, MIN_RATE_PER_S)
        return ahead / rate * clock.MS_PER_SECOND

    def record_charge(self, tokens: float) -> None:
        """Record the tokens a request was charged at dispatch."""
        part = CHARGE_SMOOTHING
        self.mean_charge += part * (tokens - self.mean_charge)

    def _count_ahead_by_account(
        self, priority: states.Priority
    ) -> dict[ids.ClientAccountId, int]:
        found: collections.Counter = collections.Counter()
        for (other_priority, account), queue in self.queues.items():
            urgent = other_priority is states.Priority.INTERACTIVE
            if urgent or other_priority is priority:
                found[account] += len(queue)
        return found

    def _counter_at_dispatch(
        self,
        account: ids.ClientAccountId,
        own: int,
        others: dict[ids.ClientAccountId, int],
    ) -> float:
        counters = self.counters.counters
        level = counters.get(account, 0.0)
        if own == 1 and others:
            level = max(level, min(counters.get(o, 0.0) for o in others))
        before = (own - 1) * self.mean_charge
        return level + before / self.counters.weight(account)

    def update_rate(self, now_ms: float) -> None:
        """Update the estimated dispatch rate."""
        if self.rate_window_start_ms is None:
            self.rate_window_start_ms = now_ms
            return
        span_ms = now_ms - self.rate_window_start_ms
        if span_ms < clock.MS_PER_SECOND:
            return
        seen = self.dispatched_count / span_ms * clock.MS_PER_SECOND
        if self.size:
            part = min(1.0, span_ms / RATE_SMOOTHING_MS)
            if not self.rate_known:
                part = 1.0
            self.dispatch_rate_per_s += part * (
                seen - self.dispatch_rate_per_s
            )
            self.rate_known = True
        elif seen > self.dispatch_rate_per_s:
            self.dispatch_rate_per_s = seen
        self.dispatched_count = 0
        self.rate_window_start_ms = now_ms

    def _next_queue(self, now_ms: float) -> tuple | None:
        if not self.queues:
            return None
        urgent = [
            key
            for key, queue in self.queues.items()
            if key[0] is states.Priority.INTERACTIVE
            or now_ms - queue[0].arrived_ms >= BATCH_AGEING_MS
        ]
        keys = urgent or list(self.queues)
        queues = keys
        if self.fair:
            account = self.counters.least_served([key[1] for key in keys])
            queues = [key for key in keys if key[1] == account]
        return min(queues, key=lambda key: self.queues[key][0].arrived_ms)

    def _evict_newest(self) -> QueuedRequest:
        counts: collections.Counter = collections.Counter()
        for (_, account), queue in self.queues.items():
            counts[account] += len(queue)
        account = max(
            counts, key=lambda a: (counts[a] / self.counters.weight(a), a)
        )
        queues = [key for key in self.queues if key[1] == account]
        key = min(queues, key=lambda k: k[0] is states.Priority.INTERACTIVE)
        newest = self.queues[key][-1]
        self.remove(newest)
        return newest
