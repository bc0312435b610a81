"""Retry budget that bounds retries to a share of a service's requests.

References:
    "Site Reliability Engineering", chapter 21 (client-side throttling and
    retry budgets), O'Reilly 2016.
"""

__all__ = ['RetryBudget']

RETRIES_PER_REQUEST = 0.2
MAX_BALANCE = 20.0
INITIAL_SHARE = 0.25
"""Share of a VM's budget that is available at its start, so that a few
rejected calls can be retried before requests have earned retries."""

RESERVE_SHARES = 2.0
"""Shares of a VM by which retries that continue a run may overdraw its
balance. Runs that have to move are spread unevenly over the VMs."""


class RetryBudget:
    """Balance of retries that is earned by requests.

    Args:
        retries_per_request: Retries earned by one request.
        max_balance: Maximum balance.
        balance: Initial balance, or None for the maximum.

    Attributes:
        balance: Retries that are currently allowed.
    """

    def __init__(
        self,
        retries_per_request: float = RETRIES_PER_REQUEST,
        max_balance: float = MAX_BALANCE,
        balance: float | None = None,
    ) -> None:
        self.retries_per_request = retries_per_request
        self.max_balance = max_balance
        self.balance = max_balance if balance is None else balance

    @classmethod
    def for_vm(cls, retries_per_request: float, share: float) -> 'RetryBudget':
        """Return the budget of a VM that has just started.

        Its initial balance is a part of the VM's share and its maximum
        balance is the rest, because the previous process of the VM may have
        spent that rest just before the restart.

        Args:
            retries_per_request: Retries earned by one request.
            share: This VM's share of the burst allowed to all VMs.

        Example:
            >>> RetryBudget.for_vm(0.2, 8.0).balance
            2.0
        """
        max_balance = share * (1 - INITIAL_SHARE)
        return cls(retries_per_request, max_balance, share * INITIAL_SHARE)

    def set_share(self, share: float) -> None:
        """Set this VM's share of the burst."""
        self.set_max_balance(share * (1 - INITIAL_SHARE))

    def set_max_balance(self, max_balance: float) -> None:
        """Set the maximum balance; a higher balance is cut to it.

        Args:
            max_balance: This VM's share of the maximum of all VMs.
        """
        self.max_balance = max_balance
        self.balance = min(self.balance, max_balance)

    def earn(self) -> None:
        """Record a first attempt."""
        self.balance = min(
            self.max_balance, self.balance + self.retries_per_request
        )

    def spend(self, may_use_reserve: bool = False) -> bool:
        """Return whether a retry is allowed, and deduct it if so.

        Args:
            may_use_reserve: Whether the balance may become negative by
                ``RESERVE_SHARES``.
        """
        reserve = 0.0
        if may_use_reserve:
            reserve = self.max_balance * RESERVE_SHARES / (1 - INITIAL_SHARE)
        if self.balance + reserve < 1.0:
            return False
        self.balance -= 1.0
        return True
