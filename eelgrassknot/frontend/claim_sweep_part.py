"""Removes claims whose retention period has expired."""

import secrets
import threading
import time

import msgspec
import result

from eelgrassknot import clock as clocks
from eelgrassknot.frontend import claim_part
from eelgrassknot import ids
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot import logs
from eelgrassknot.requests import claim_expiry
from eelgrassknot.storage import base

__all__ = ['ClaimSweepPart']

# Each VM checks a random page at this mean interval, so that no VM has a
# special role and the total number of reads stays low.
SWEEP_MS = 300_000.0
PAGE_ROWS = 500
GROUP_ROWS = 16
START_DIGITS = 4


@parts.part('claim_sweep', after=('claims',))
class ClaimSweepPart(parts.Part):
    """Periodically removes the expired claims of a random page."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self.stopped.set()
        self.thread.join()

    def _run(self) -> None:
        jitter = self.node.generator.uniform(0.5, 1.5)
        pause_s = jitter * SWEEP_MS / clocks.MS_PER_SECOND
        while not self.stopped.wait(pause_s):
            try:
                self.sweep()
            except msgspec.MsgspecError as error:
                logs.warning('claim_unreadable', error=str(error))

    def sweep(self) -> int:
        """Remove the expired claims of one page and return their number."""
        text = self.node.text
        if text is None or not text.client_accounts:
            return 0
        account = self.node.generator.choice(text.client_accounts)
        prefix = f'{account.client_account}.'
        start = prefix + secrets.token_hex(START_DIGITS)
        table = self.node.platform.table
        page = table.list_rows(claim_part.TABLE, prefix, start, PAGE_ROWS)
        match page:
            case result.Ok(rows):
                expired = claim_expiry.expired_claims(
                    rows,
                    time.time() * clocks.MS_PER_SECOND,
                    text.retention.claims_hours,
                )
            case _:
                return 0
        for first in range(0, len(expired), GROUP_ROWS):
            self._remove(expired[first : first + GROUP_ROWS])
        return len(expired)

    def _remove(self, group: list) -> None:
        conditions = [
            base.Condition(claim_part.TABLE, row.key, row.version)
            for row, _ in group
        ]
        writes = [
            base.Write(claim_part.TABLE, row.key, None) for row, _ in group
        ]
        change = ids.ChangeId(ids.random_id())
        self.node.platform.table.transact(change, conditions, writes)
        for _, claim in group:
            if claim.answer_object is not None:
                self.node.platform.objects.delete(claim.answer_object)
