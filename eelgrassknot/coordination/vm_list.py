"""Changes of the platform's list of VMs, as told between peers.

Where there are thousands of VMs the list is too long for each to read
often. Each reads it seldom, at its own times, and tells the zone what has
changed, so that the zone hears of a change as soon as its first reader.
"""

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot import ids
from eelgrassknot.storage import base

__all__ = ['apply', 'difference', 'VmEntries']

VmEntries = dict[ids.VmId, base.VmEntry]


def difference(
    before: VmEntries, after: VmEntries
) -> messages.ListChange | None:
    """Return what has changed, or None if nothing has.

    Args:
        before: The list as it was known.
        after: The list as it was read.

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
    """Return the list with a change that a peer saw.

    A peer may have read an older list; the next read of one's own
    replaces all that was told.
    """
    listed = {
        vm: entry for vm, entry in known.items() if vm not in change.removed
    }
    listed.update({entry.vm: entry for entry in change.entries})
    return listed
