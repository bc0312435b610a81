"""Retry budget: retries are a bounded share of a service's requests.

References:
    "Site Reliability Engineering", chapter 21 (client-side throttling and
    retry budgets), O'Reilly 2016.
"""

__all__ = ['RetryBudget']

RETRIES_PER_REQUEST = 0.2
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Allowance of retries that requests earn.

    Attributes:
        saved: Retries that may be made now.
    """

    def __init__(self) -> None:
        self.saved = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count a first attempt."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Return whether a retry may be made, and count it if so."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
