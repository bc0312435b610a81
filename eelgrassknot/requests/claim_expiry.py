"""Selects claims whose retention period has expired."""

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
    """Return the rows whose claims are older than the retention period.

    Args:
        rows: Rows of the claims table.
        now_ms: Wall-clock time in milliseconds since 1970. Clock skew
            between VMs is assumed to be far smaller than the retention.
        retention_hours: Retention period of claims.
    """
    oldest_ms = now_ms - retention_hours * MS_PER_HOUR
    expired = []
    for row in rows:
        claim = msgspec.convert(row.value, messages.ClaimRow)
        if claim.written_at_ms < oldest_ms:
            expired.append((row, claim))
    return expired
