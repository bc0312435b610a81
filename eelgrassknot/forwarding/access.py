"""Client accounts by key, and how long what is known of them holds.

A VM may not open a revoked key, so it has to know how old its knowledge
is. The store's steady clock is the common clock of all VMs: an answer
that bears a store time proves what held then, also when a peer passes it
on and however long it took.
"""

import enum

from eelgrassknot.forwarding import model
from eelgrassknot import ids

__all__ = ['KeyAuthenticator', 'KeyStatus', 'StoreClock']

REVOCATION_MARGIN_MS = 300.0
"""Part of the revocation bound that is kept in reserve; ms. Covers the
time between the check and the sending of a request."""
NEVER_MS = float('-inf')


class StoreClock:
    """Maps the store's steady clock to this VM's clock.

    A call that was sent at ``sent`` and answered with the store time
    ``s`` shows that the store's clock is ahead by at most ``s - sent``.
    The least such bound of all calls is kept.

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
        """Take in one answered call.

        Args:
            sent_ms: When it was sent, on this VM's clock.
            received_ms: When its answer came, on this VM's clock.
            store_ms: The store's time in the answer.
        """
        highest_ms = store_ms - sent_ms
        lowest_ms = store_ms - received_ms
        if self.offset_ms is None or highest_ms < self.offset_ms:
            self.offset_ms = highest_ms
        elif lowest_ms > self.offset_ms:
            # The store's clock has jumped, so earlier bounds are void.
            self.offset_ms = highest_ms

    def local_ms(self, store_ms: float) -> float:
        """Return the earliest time here for a time of the store's clock.

        Minus infinity if no call has been answered yet.
        """
        if self.offset_ms is None:
            return NEVER_MS
        return store_ms - self.offset_ms


class KeyStatus(enum.Enum):
    """What a key is worth now."""

    VALID = 'open'
    UNKNOWN_KEY = 'unknown_key'
    OUT_OF_DATE = 'out_of_date'


class KeyAuthenticator:
    """Keys of the newest state, and the time as of which it is known.

    Args:
        revoke_ms: Bound on the use of a revoked key, or None.

    Attributes:
        known_ms: Time up to which no newer state can exist unseen.
    """

    def __init__(self, revoke_ms: float | None) -> None:
        self.revoke_ms = revoke_ms
        self.accounts: dict[str, model.Account] = {}
        self.confirmed_ms = NEVER_MS

    def replace_accounts(self, accounts: tuple[model.Account, ...]) -> None:
        """Put the accounts of a newer state in force."""
        self.accounts = {
            key: account for account in accounts for key in account.keys
        }

    def confirm(self, as_of_ms: float) -> None:
        """Take in that the state is the newest as of a time."""
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)

    def is_current(self, now_ms: float) -> bool:
        """Return whether keys may be opened now."""
        if self.revoke_ms is None:
            return True
        age_ms = now_ms - self.confirmed_ms
        return age_ms < self.revoke_ms - REVOCATION_MARGIN_MS

    def age_ms(self, now_ms: float) -> float | None:
        """Return how old what is known is, or None if nothing is."""
        if self.confirmed_ms == NEVER_MS:
            return None
        return round(now_ms - self.confirmed_ms, 1)

    def authenticate(
        self, key: str | None, now_ms: float
    ) -> tuple[KeyStatus, model.Account | None]:
        """Return what a key is worth and the account that holds it.

        Args:
            key: The key of a request, or None.
            now_ms: The present time.
        """
        if not self.is_current(now_ms):
            # Neither a revocation nor a new key can be ruled out.
            return KeyStatus.OUT_OF_DATE, None
        account = self.accounts.get(key or '')
        if account is None:
            return KeyStatus.UNKNOWN_KEY, None
        return KeyStatus.VALID, account


def account_name(
    account: model.Account | None,
) -> ids.ClientAccountId | None:
    """Return the name of an account, or None without one."""
    return None if account is None else account.account
