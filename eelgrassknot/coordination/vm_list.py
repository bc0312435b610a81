"""Changes of the platform's list of VMs, exchanged between peers.

In deployments of thousands of VMs, the list is too long for each VM to
read often. Each reads it at long, staggered intervals and sends changes to
its zone, so that the zone learns of a change with the first read that
shows it.
"""

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot import ids
from eelgrassknot.storage import base

__all__ = ['apply', 'difference', 'VmEntries']

VmEntries = dict[ids.VmId, base.VmEntry]


def difference(
    before: VmEntries, after: VmEntries
) -> messages.ListChange | None:
    """Return the changes between two lists, or None if they are equal.

    Args:
        before: The list known so far.
        after: The list that was read.

    Example:
        >>> difference({}, {}) is None
        True
    """
    entries = tuple(
        entry for vm, entry in after.items() if before.get(vm) != entry
    )
    removed = tuple(vm for vm in before if vm not in after)
    if not entries and not removed:
        return None
    return messages.ListChange(entries, removed)


def apply(known: VmEntries, change: messages.ListChange) -> VmEntries:
    """Return the list with a peer's change applied.

    The peer may have read an older list; the next local read replaces
    everything received from peers.
    """
    listed = {
        vm: entry for vm, entry in known.items() if vm not in change.removed
    }
    listed.update({entry.vm: entry for entry in change.entries})
    return listed
