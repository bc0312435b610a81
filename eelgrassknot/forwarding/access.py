"""Authentication of API keys with a bound on the use of revoked keys.

A VM must not accept a revoked key, so it tracks the age of its copy of the
accounts. The store's monotonic clock serves as the common clock of all
VMs: a response with a store time proves what was valid at that time, even
if a peer relays it and regardless of the delay.
"""

import enum

from eelgrassknot import field_values
from eelgrassknot.forwarding import model
from eelgrassknot import ids

__all__ = ['KeyAuthenticator', 'KeyStatus', 'StoreClock', 'is_usable_key']

REVOCATION_MARGIN_MS = 300.0
"""Safety margin subtracted from the revocation bound; ms. Covers the time
between the check of a key and the sending of the request."""
NEVER_MS = float('-inf')


class StoreClock:
    """Maps the store's monotonic clock to this VM's clock.

    A call sent at ``sent`` whose response carries the store time ``s``
    shows that the store's clock is ahead by at most ``s - sent``. The
    smallest such bound over all calls is kept.

    Example:
        >>> clock = StoreClock()
        >>> clock.observe(sent_ms=100.0, received_ms=140.0, store_ms=1020.0)
        >>> clock.local_ms(1020.0)
        100.0
    """

    def __init__(self) -> None:
        self.offset_ms: float | None = None

    def observe(
        self, sent_ms: float, received_ms: float, store_ms: float
    ) -> None:
        """Update the clock offset with one completed call.

        Args:
            sent_ms: Send time, on this VM's clock.
            received_ms: Time of the response, on this VM's clock.
            store_ms: The store's time in the response.
        """
        highest_ms = store_ms - sent_ms
        lowest_ms = store_ms - received_ms
        if self.offset_ms is None or highest_ms < self.offset_ms:
            self.offset_ms = highest_ms
        elif lowest_ms > self.offset_ms:
            # The store's clock has jumped; earlier bounds are invalid.
            self.offset_ms = highest_ms

    def local_ms(self, store_ms: float) -> float:
        """Return the earliest local time that matches a store time.

        Minus infinity if no call has completed yet.
        """
        if self.offset_ms is None:
            return NEVER_MS
        return store_ms - self.offset_ms

    def store_ms(self, local_ms: float) -> float | None:
        """Return the store time that maps to a local time.

        None if no call has completed yet.
        """
        if self.offset_ms is None:
            return None
        return local_ms + self.offset_ms


class KeyStatus(enum.Enum):
    """Result of the authentication of a key."""

    VALID = 'open'
    UNKNOWN_KEY = 'unknown_key'
    OUT_OF_DATE = 'out_of_date'


class KeyAuthenticator:
    """Authenticates API keys against the newest known state.

    Args:
        revoke_ms: Longest time for which a revoked key may be accepted, or
            None for no bound.

    Attributes:
        confirmed_ms: Latest time at which the state is known to have been
            the newest.
    """

    def __init__(self, revoke_ms: float | None) -> None:
        self.revoke_ms = revoke_ms
        self.accounts: dict[str, model.Account] = {}
        self.confirmed_ms = NEVER_MS

    def replace_accounts(self, accounts: tuple[model.Account, ...]) -> None:
        """Replace the accounts by those of a newer state."""
        self.accounts = {
            key: account
            for account in accounts
            for key in account.keys
            if is_usable_key(key)
        }

    def confirm(self, as_of_ms: float) -> None:
        """Record that the state was the newest at a given time."""
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)

    def is_current(self, now_ms: float) -> bool:
        """Return whether the state is recent enough to accept keys."""
        if self.revoke_ms is None:
            return True
        age_ms = now_ms - self.confirmed_ms
        return age_ms < self.revoke_ms - REVOCATION_MARGIN_MS

    def age_ms(self, now_ms: float) -> float | None:
        """Return the age of the state in ms, or None if none is known."""
        if self.confirmed_ms == NEVER_MS:
            return None
        return round(now_ms - self.confirmed_ms, 1)

    def authenticate(
        self, key: str | None, now_ms: float
    ) -> tuple[KeyStatus, model.Account | None]:
        """Return the status of a key and the account that owns it.

        Args:
            key: The key of a request, or None.
            now_ms: The current time.
        """
        if not self.is_current(now_ms):
            # A newer state may have revoked this key or added it.
            return KeyStatus.OUT_OF_DATE, None
        account = None if key is None else self.accounts.get(key)
        if account is None:
            return KeyStatus.UNKNOWN_KEY, None
        return KeyStatus.VALID, account


def is_usable_key(key: str) -> bool:
    """Return whether a request can present a key.

    An empty header presents none.

    Args:
        key: A key of the state.
    """
    return key != '' and field_values.is_valid(key)


def account_name(
    account: model.Account | None,
) -> ids.ClientAccountId | None:
    """Return the name of an account, or None without one."""
    return None if account is None else account.account
