"""Part of the daemon that asks and tells peers about requests."""

import collections.abc

import result

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot import ids
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot.requests import peers

__all__ = ['RequestPeersPart']

QUERY_TIMEOUT_MS = 800.0

OwnerLookup = collections.abc.Callable[
    [ids.IncarnationId, ids.Nonce], peers.OwnerAnswer
]


@parts.part('request_peers', after=('membership', 'relays'))
class RequestPeersPart(parts.Part):
    """Reaches the entry VM that a claim or a cursor names.

    Attributes:
        lookup: Tells what this VM knows of a claim of its own. It is
            called in the link's receiving thread and must not wait.
    """

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.lookup: OwnerLookup = _knows_nothing

    def start(self) -> None:
        """Begin to answer peers."""
        others = self.node.part_set.parts
        self.membership = others['membership']
        self.relays = others['relays']
        self.relays.peers = self
        link = others['peers'].link
        link.on_query(messages.OwnerQuery, self._answer)
        link.on_message(messages.ReaderTaken, self._reader_taken)

    def ask_owner(
        self,
        vm: ids.VmId,
        incarnation: ids.IncarnationId,
        nonce: ids.Nonce,
    ) -> peers.OwnerAnswer:
        """Ask the owner of a claim whether it may still run."""
        if self.membership.is_gone(vm, incarnation):
            return peers.OwnerAnswer.GONE
        if vm == self.node.settings.vm:
            return self.lookup(incarnation, nonce)
        query = messages.OwnerQuery(incarnation, nonce)
        match self.membership.ask(vm, query, QUERY_TIMEOUT_MS):
            case result.Ok(messages.OwnerReply(answer)):
                return peers.OwnerAnswer(answer)
        if self.membership.is_gone(vm, incarnation):
            return peers.OwnerAnswer.GONE
        return peers.OwnerAnswer.UNREACHABLE

    def tell_reader_taken(
        self, vm: ids.VmId, generation: ids.GenerationId, by: ids.VmId
    ) -> None:
        """Tell a VM that another one reads a generation from now on."""
        taken = messages.ReaderTaken(generation, by)
        self.membership.tell(vm, taken, QUERY_TIMEOUT_MS)

    def _answer(
        self, vm: ids.VmId, query: messages.OwnerQuery
    ) -> messages.OwnerReply:
        if query.incarnation != self.node.incarnation:
            return messages.OwnerReply(peers.OwnerAnswer.GONE.value)
        answer = self.lookup(query.incarnation, query.nonce)
        return messages.OwnerReply(answer.value)

    def _reader_taken(self, envelope: messages.Envelope) -> None:
        taken = envelope.message
        self.relays.reader_taken(taken.generation, taken.by)


def _knows_nothing(
    incarnation: ids.IncarnationId, nonce: ids.Nonce
) -> peers.OwnerAnswer:
    return peers.OwnerAnswer.UNKNOWN
