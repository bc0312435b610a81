"""Retry budget: retries are a bounded share of a service's requests.

References:
    "Site Reliability Engineering", chapter 21 (client-side throttling and
    retry budgets), O'Reilly 2016.
"""

__all__ = ['RetryBudget']

RETRIES_PER_REQUEST = 0.2
MAX_BALANCE = 20.0
INITIAL_SHARE = 0.25
"""Part of its share with which a VM starts; a shed call or two can be sent
again before requests have earned it."""


class RetryBudget:
    """Allowance of retries that requests earn.

    Args:
        retries_per_request: What one request earns.
        max_balance: Retries that are saved at most.
        saved: Retries that may be made at the start, or None for as many
            as are saved at most.

    Attributes:
        saved: Retries that may be made now.
    """

    def __init__(
        self,
        retries_per_request: float = RETRIES_PER_REQUEST,
        max_balance: float = MAX_BALANCE,
        saved: float | None = None,
    ) -> None:
        self.retries_per_request = retries_per_request
        self.max_balance = max_balance
        self.balance = max_balance if saved is None else saved

    @classmethod
    def for_vm(cls, retries_per_request: float, share: float) -> 'RetryBudget':
        """Return the budget of a VM that has just started.

        It starts with a part of the VM's share and never saves the rest of
        it: the VM's earlier run may have spent as much just before.

        Args:
            retries_per_request: What one request earns.
            share: This VM's share of the burst that all VMs may make.

        Example:
            >>> RetryBudget.for_vm(0.2, 8.0).saved
            2.0
        """
        kept = share * (1 - INITIAL_SHARE)
        return cls(retries_per_request, kept, share * INITIAL_SHARE)

    def set_share(self, share: float) -> None:
        """Follow a change of this VM's share of the burst."""
        self.set_max_balance(share * (1 - INITIAL_SHARE))

    def set_max_balance(self, max_balance: float) -> None:
        """Change how many retries are saved at most.

        Args:
            max_balance: This VM's share of what all VMs may save.
        """
        self.max_balance = max_balance
        self.balance = min(self.balance, max_balance)

    def earn(self) -> None:
        """Count a first attempt."""
        self.balance = min(
            self.max_balance, self.balance + self.retries_per_request
        )

    def spend(self) -> bool:
        """Return whether a retry may be made, and count it if so."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
