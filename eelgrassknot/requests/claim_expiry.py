"""Which claims are old enough to be removed."""

import collections.abc

import msgspec

from eelgrassknot.requests import claim_messages as messages
from eelgrassknot.storage import base

__all__ = ['expired_claims']

MS_PER_HOUR = 3_600_000.0


def expired_claims(
    rows: collections.abc.Iterable[base.Row],
    now_ms: float,
    retention_hours: float,
) -> list[tuple[base.Row, messages.ClaimRow]]:
    """Return the rows whose claims have outlived their retention.

    Args:
        rows: Rows of the claims' table.
        now_ms: Wall-clock time in milliseconds since 1970; VMs' clocks
            may differ by far less than the retention.
        retention_hours: How long a claim is kept.
    """
    oldest_ms = now_ms - retention_hours * MS_PER_HOUR
    expired = []
    for row in rows:
        claim = msgspec.convert(row.value, messages.ClaimRow)
        if claim.written_at_ms < oldest_ms:
            expired.append((row, claim))
    return expired
