"""Limits of client accounts, shared over the entry VMs.

Each VM spends from its own share of an account's limit, so no request
waits for another VM's word. Shares follow the demand that VMs tell each
other; a VM that hears nothing keeps its last shares, so that the two
sides of a partition together stay within the limit that was in force.

Overshoot: while all have heard the same demand the shares add up to
one. When demand moves, for one exchange interval T a limit of r a second
may be exceeded by at most r * T * (V - 1) / V over V VMs, since no share
exceeds one; besides it by one burst a VM, and for tokens, which are
charged as they stream, by what was running when the bucket ran empty.
"""

import dataclasses

from eelgrassknot import clock
from eelgrassknot import ids
from eelgrassknot.policy import token_bucket
from eelgrassknot.settings import text as services_text

__all__ = ['AccountLimits']

BURST_S = 2.0
TOKEN_BURST_S = 10.0
SECONDS_PER_MINUTE = 60.0
DEMAND_HALF_LIFE_MS = 5_000.0
SHARE_INTERVAL_MS = 500.0
IDLE_DEMAND_PER_S = 0.05
DEMAND_KEPT_MS = 3_000.0


@dataclasses.dataclass(slots=True)
class PeerDemand:
    """What a peer said last of an account's demand."""

    requests_per_s: float
    heard_ms: float


class AccountShare:
    """One account's buckets at this VM.

    Args:
        account: The account as the text has it.
        share: Share of the limits that this VM starts with.
    """

    def __init__(
        self, account: services_text.ClientAccount, share: float
    ) -> None:
        self.account = account
        self.share = share
        self.requests: token_bucket.TokenBucket | None = None
        self.tokens: token_bucket.TokenBucket | None = None
        self.demand_per_s = 0.0
        self.demand_ms = 0.0
        self.peers: dict[ids.VmId, PeerDemand] = {}
        self.resize(account, share, 0.0)

    def resize(
        self,
        account: services_text.ClientAccount,
        share: float,
        now_ms: float,
    ) -> None:
        """Take in new limits or a new share of them."""
        self.account = account
        self.share = share
        rate = account.requests_per_second
        self.requests = _resized(
            self.requests, rate, share, max(1.0, BURST_S), now_ms
        )
        per_minute = account.tokens_per_minute
        per_s = None if per_minute is None else per_minute / SECONDS_PER_MINUTE
        self.tokens = _resized(
            self.tokens, per_s, share, TOKEN_BURST_S, now_ms
        )

    def count(self, now_ms: float) -> None:
        """Count a request in the account's demand at this VM."""
        self.demand_per_s = self.demand(now_ms) + 1 / _mean_life_s()
        self.demand_ms = now_ms

    def demand(self, now_ms: float) -> float:
        """Return the smoothed requests a second at this VM."""
        age_ms = now_ms - self.demand_ms
        return self.demand_per_s * 0.5 ** (age_ms / DEMAND_HALF_LIFE_MS)


class AccountLimits:
    """Limits of all accounts at this VM.

    Attributes:
        vm_count: Entry VMs that share the limits, for the first shares.
    """

    def __init__(self) -> None:
        self.shares: dict[ids.ClientAccountId, AccountShare] = {}
        self.vm_count = 1
        self.shared_ms = 0.0

    def configure(
        self,
        accounts: tuple[services_text.ClientAccount, ...],
        now_ms: float,
    ) -> None:
        """Take in the accounts of another services text."""
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
        """Return 0 if a request may come in now, else the wait in ms.

        Args:
            account: Account of the request, which is counted as demand
                either way.
            now_ms: The present time.
        """
        share = self.shares.get(account)
        if share is None:
            return 0.0
        share.count(now_ms)
        wait_ms = 0.0
        if share.requests is not None:
            wait_ms = share.requests.wait_ms(1.0, now_ms)
        if share.tokens is not None:
            wait_ms = max(wait_ms, share.tokens.wait_ms(1.0, now_ms))
        if wait_ms == 0.0 and share.requests is not None:
            share.requests.spend(1.0, now_ms)
        return wait_ms

    def charge(
        self, account: ids.ClientAccountId, tokens: int, now_ms: float
    ) -> None:
        """Charge tokens as they stream."""
        share = self.shares.get(account)
        if share is not None and share.tokens is not None:
            share.tokens.spend(tokens, now_ms)

    def demands(self, now_ms: float) -> dict[ids.ClientAccountId, float]:
        """Return what this VM tells its peers: requests a second."""
        return {
            name: share.demand(now_ms)
            for name, share in self.shares.items()
            if share.demand(now_ms) > IDLE_DEMAND_PER_S
        }

    def heard(
        self,
        vm: ids.VmId,
        account: ids.ClientAccountId,
        requests_per_s: float,
        now_ms: float,
    ) -> None:
        """Take in what a peer says of an account's demand."""
        share = self.shares.get(account)
        if share is not None:
            share.peers[vm] = PeerDemand(requests_per_s, now_ms)

    def update(self, now_ms: float) -> None:
        """Share the limits anew by demand, if enough time has passed."""
        if now_ms - self.shared_ms < SHARE_INTERVAL_MS:
            return
        self.shared_ms = now_ms
        for share in self.shares.values():
            self._reshare(share, now_ms)

    def _reshare(self, share: AccountShare, now_ms: float) -> None:
        heard = [
            peer
            for peer in share.peers.values()
            if now_ms - peer.heard_ms <= DEMAND_KEPT_MS
        ]
        if len(heard) < len(share.peers) or not heard:
            return
        own = share.demand(now_ms) + IDLE_DEMAND_PER_S
        others = sum(p.requests_per_s + IDLE_DEMAND_PER_S for p in heard)
        share.resize(share.account, own / (own + others), now_ms)


def _mean_life_s() -> float:
    return DEMAND_HALF_LIFE_MS / clock.MS_PER_SECOND / 0.6931


def _resized(
    bucket: token_bucket.TokenBucket | None,
    rate: float | None,
    share: float,
    burst_s: float,
    now_ms: float,
) -> token_bucket.TokenBucket | None:
    if rate is None:
        return None
    part = rate * share
    burst = max(1.0, part * burst_s)
    if bucket is None:
        return token_bucket.TokenBucket(part, burst)
    bucket.resize(part, burst, now_ms)
    return bucket
