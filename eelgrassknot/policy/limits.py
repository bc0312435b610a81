"""Rate limits of client accounts, divided among the entry VMs.

Each VM enforces its own share of an account's limit, so that admission
needs no communication. A zone's share is proportional to its number of
VMs; within a zone, shares follow the demand that the VMs announce to each
other. A VM that loses contact with a peer keeps its last shares, so that
the two sides of a partition together stay within the limit.

Overshoot: while all VMs know the same demands, the shares add up to one.
When demand shifts, V VMs may exceed a limit of r requests per second by at
most r * T * (V - 1) / V during one exchange interval T, since no share
exceeds one. In addition each VM may admit one burst, which is two seconds
of its share or four requests. Tokens are charged as they stream, so the
token limit may be exceeded by one minute's share plus the output of the
requests that were running when the bucket became empty.
"""

from eelgrassknot import clock
from eelgrassknot import ids
from eelgrassknot.policy import token_bucket
from eelgrassknot.settings import text as services_text

__all__ = ['AccountLimits']

BURST_S = 2.0
# Arrivals are random: with a smaller burst, a VM with a small share would
# refuse requests of an account that stays well below its limit.
MIN_BURST_REQUESTS = 4.0
TOKEN_BURST_S = 60.0
SECONDS_PER_MINUTE = 60.0
DEMAND_HALF_LIFE_MS = 5_000.0
REBALANCE_INTERVAL_MS = 500.0
IDLE_DEMAND_PER_S = 0.05
PEER_TIMEOUT_MS = 5_000.0


class AccountShare:
    """Token buckets and demand of one account at this VM.

    Args:
        account: The account's entry in the services text.
        share: Initial share of the limits for this VM.
    """

    def __init__(
        self, account: services_text.ClientAccount, share: float
    ) -> None:
        self.account = account
        self.share = share
        self.requests_bucket: token_bucket.TokenBucket | None = None
        self.tokens_bucket: token_bucket.TokenBucket | None = None
        self.demand_per_s = 0.0
        self.demand_ms = 0.0
        self.peer_demands: dict[ids.VmId, float] = {}
        self.resize(account, share, 0.0)

    def resize(
        self,
        account: services_text.ClientAccount,
        share: float,
        now_ms: float,
    ) -> None:
        """Apply new limits or a new share of them."""
        self.account = account
        self.share = share
        rate = account.requests_per_second
        self.requests_bucket = _resized(
            self.requests_bucket,
            rate,
            share,
            BURST_S,
            MIN_BURST_REQUESTS,
            now_ms,
        )
        per_minute = account.tokens_per_minute
        per_s = None if per_minute is None else per_minute / SECONDS_PER_MINUTE
        self.tokens_bucket = _resized(
            self.tokens_bucket, per_s, share, TOKEN_BURST_S, 1.0, now_ms
        )

    def record_request(self, now_ms: float) -> None:
        """Add a request to the account's demand at this VM."""
        self.demand_per_s = self.demand(now_ms) + 1 / _demand_mean_lifetime_s()
        self.demand_ms = now_ms

    def demand(self, now_ms: float) -> float:
        """Return the smoothed request rate at this VM, per second."""
        age_ms = now_ms - self.demand_ms
        return self.demand_per_s * 0.5 ** (age_ms / DEMAND_HALF_LIFE_MS)


class AccountLimits:
    """Rate limits of all accounts at this VM.

    Attributes:
        vm_count: Number of entry VMs of the deployment.
        zone_count: Number of entry VMs of this zone, which announce their
            demand to each other. A zone's share of the limits is
            proportional to it.
    """

    def __init__(self) -> None:
        self.shares: dict[ids.ClientAccountId, AccountShare] = {}
        self.vm_count = 1
        self.zone_count = 1
        self.peer_contact_ms: dict[ids.VmId, float] = {}
        self.last_rebalance_ms = 0.0

    def configure(
        self,
        accounts: tuple[services_text.ClientAccount, ...],
        now_ms: float,
    ) -> None:
        """Apply the accounts of a new services text."""
        known = self.shares
        self.shares = {}
        for account in accounts:
            name = account.client_account
            share = known.get(name)
            if share is None:
                share = AccountShare(account, 1.0 / self.vm_count)
            else:
                share.resize(account, share.share, now_ms)
            self.shares[name] = share

    def admit(self, account: ids.ClientAccountId, now_ms: float) -> float:
        """Return 0 if a request is admitted, else the time to wait in ms.

        Args:
            account: Account of the request, which counts as demand in
                both cases.
            now_ms: The present time.
        """
        share = self.shares.get(account)
        if share is None:
            return 0.0
        share.record_request(now_ms)
        wait_ms = 0.0
        if share.requests_bucket is not None:
            wait_ms = share.requests_bucket.wait_ms(1.0, now_ms)
        if share.tokens_bucket is not None:
            wait_ms = max(wait_ms, share.tokens_bucket.wait_ms(1.0, now_ms))
        if wait_ms == 0.0 and share.requests_bucket is not None:
            share.requests_bucket.spend(1.0, now_ms)
        return wait_ms

    def charge(
        self, account: ids.ClientAccountId, tokens: int, now_ms: float
    ) -> None:
        """Charge output tokens as they are streamed."""
        share = self.shares.get(account)
        if share is not None and share.tokens_bucket is not None:
            share.tokens_bucket.spend(tokens, now_ms)

    def demands(self, now_ms: float) -> dict[ids.ClientAccountId, float]:
        """Return the request rates per account to announce to peers."""
        return {
            name: share.demand(now_ms)
            for name, share in self.shares.items()
            if share.demand(now_ms) > IDLE_DEMAND_PER_S
        }

    def set_vm_counts(
        self, count: int, zone_count: int, now_ms: float
    ) -> None:
        """Set the numbers of VMs that share the limits.

        Args:
            count: Entry VMs of the deployment.
            zone_count: Entry VMs of this zone.
            now_ms: The present time.
        """
        before = self.zone_count / self.vm_count
        self.vm_count = max(1, count)
        self.zone_count = min(max(1, zone_count), self.vm_count)
        for vm in self._silent_peers(now_ms):
            del self.peer_contact_ms[vm]
            for share in self.shares.values():
                share.peer_demands.pop(vm, None)
        change = self.zone_count / self.vm_count / before
        for share in self.shares.values():
            part = share.share * change
            if not self.peer_contact_ms:
                part = 1.0 / self.vm_count
            share.resize(share.account, min(1.0, part), now_ms)

    def record_peer_contact(self, vm: ids.VmId, now_ms: float) -> None:
        """Record contact with a peer of this zone."""
        self.peer_contact_ms[vm] = now_ms

    def record_peer_demand(
        self,
        vm: ids.VmId,
        account: ids.ClientAccountId,
        requests_per_s: float,
        now_ms: float,
    ) -> None:
        """Record an account's demand as announced by a peer."""
        self.record_peer_contact(vm, now_ms)
        share = self.shares.get(account)
        if share is not None:
            share.peer_demands[vm] = requests_per_s

    def rebalance(self, now_ms: float) -> None:
        """Recompute the shares from demand if the interval has elapsed."""
        if now_ms - self.last_rebalance_ms < REBALANCE_INTERVAL_MS:
            return
        self.last_rebalance_ms = now_ms
        if not self.peer_contact_ms or self._silent_peers(now_ms):
            return
        for share in self.shares.values():
            self._rebalance_account(share, now_ms)

    def _silent_peers(self, now_ms: float) -> list[ids.VmId]:
        return [
            vm
            for vm, heard_ms in self.peer_contact_ms.items()
            if now_ms - heard_ms > PEER_TIMEOUT_MS
        ]

    def _rebalance_account(self, share: AccountShare, now_ms: float) -> None:
        own = share.demand(now_ms) + IDLE_DEMAND_PER_S
        total = own + sum(
            share.peer_demands.get(vm, 0.0) + IDLE_DEMAND_PER_S
            for vm in self.peer_contact_ms
        )
        zone_part = self.zone_count / self.vm_count
        share.resize(share.account, zone_part * own / total, now_ms)


def _demand_mean_lifetime_s() -> float:
    return DEMAND_HALF_LIFE_MS / clock.MS_PER_SECOND / 0.6931


def _resized(
    bucket: token_bucket.TokenBucket | None,
    rate: float | None,
    share: float,
    burst_s: float,
    min_burst: float,
    now_ms: float,
) -> token_bucket.TokenBucket | None:
    if rate is None:
        return None
    part = rate * share
    burst = max(min_burst, part * burst_s)
    if bucket is None:
        return token_bucket.TokenBucket(part, burst)
    bucket.resize(part, burst, now_ms)
    return bucket
