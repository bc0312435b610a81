"""Counters of what passes over the link to peers."""

import collections

__all__ = ['LinkCounters']


class LinkCounters:
    """What passed over the link, by kind of message.

    Attributes:
        sent: Messages that were handed to a connection.
        dropped: Messages that found no connection or a full queue.
        rejected: Received messages that were not taken in, by reason.
    """

    def __init__(self) -> None:
        self.sent: collections.Counter = collections.Counter()
        self.sent_bytes: collections.Counter = collections.Counter()
        self.dropped: collections.Counter = collections.Counter()
        self.received: collections.Counter = collections.Counter()
        self.received_bytes: collections.Counter = collections.Counter()
        self.rejected: collections.Counter = collections.Counter()
