"""What the relays of one VM share: cursors, readers, cancellations."""

import concurrent.futures
import threading
import typing

import result

from eelgrassknot import clock as clocks
from eelgrassknot.frontend import dispatching
from eelgrassknot.frontend import lane as lanes
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot.kernel import work_loop
from eelgrassknot import logs
from eelgrassknot.policy import messages as policy
from eelgrassknot.requests import cancellation
from eelgrassknot.requests import cursor
from eelgrassknot.requests import generation_messages as messages
from eelgrassknot.requests import peers
from eelgrassknot.requests import readers
from eelgrassknot import states
from eelgrassknot.upstreams import engine_client
from eelgrassknot.upstreams import messages as upstream_messages

if typing.TYPE_CHECKING:
    from eelgrassknot.frontend import relay

__all__ = ['RelayPart']

# Bounds the connections that probes and cancellations hold open.
QUESTION_THREADS = 8
CANCEL_POLL_MS = 50.0
IDLE_POLL_MS = 5_000.0
DRAIN_CANCELS_MS = 8_000.0
MAX_ENGINES_ASKED = 16
KEYED_PATIENCE_MS = 300.0


@parts.part('relays', after=('dispatch', 'membership'))
class RelayPart(parts.Part):
    """Keeps track of the generations that this VM relays.

    Attributes:
        peers: Way to the other entry VMs.
        relays: Live relays by their reader's number.
    """

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.codec = cursor.CursorCodec(node.settings.cursor_keys)
        self.peers: peers.RequestPeers = peers.NoPeers()
        self.lock = threading.Lock()
        self.readers = readers.Readers()
        self.relays: dict[int, relay.Relay] = {}
        self.cancellations = cancellation.Cancellations()
        self.held: dict[ids.GenerationId, ids.RequestId] = {}
        self.upstreams: dict[str, kernel_events.UpstreamInfo] = {}
        self.dispatch: dispatching.DispatchPart | None = None
        self.questions = concurrent.futures.ThreadPoolExecutor(
            QUESTION_THREADS
        )
        self.loop = work_loop.WorkLoop(
            'cancellations', CANCEL_POLL_MS, IDLE_POLL_MS, self._cancel_due
        )
        self.lane = lanes.Lane(node.clock)
        node.hub.subscribe(kernel_events.UpstreamsChanged, self._upstreams)

    def bind(self) -> None:
        """Learn of the parts that this one works with."""
        self.dispatch = self.node.part_set.parts['dispatch']

    def start(self) -> None:
        """Begin to cancel what nobody reads."""
        self.loop.start()
        self.lane.start()

    def drain(self) -> None:
        """Let callers come back, then have engines confirm the rest."""
        until_ms = self.node.clock.now_ms() + DRAIN_CANCELS_MS
        while self.cancellations.pending:
            if self.node.clock.now_ms() >= until_ms:
                break
            self.loop.stopped.wait(CANCEL_POLL_MS / 1000)

    def stop(self) -> None:
        """End the threads."""
        self.loop.stop()
        self.lane.stop()
        self.questions.shutdown(cancel_futures=True)

    def status(self) -> dict[str, object]:
        """Return how many generations are read and cancelled."""
        return {
            'generations': {
                'read': len(self.relays),
                'cancelling': len(self.cancellations.pending),
            }
        }

    def register(
        self, generation: ids.GenerationId, reader: 'relay.Relay'
    ) -> int:
        """Enter a reader; an older one of the generation ends.

        Returns:
            The number of the reader.
        """
        with self.lock:
            number, older = self.readers.register(generation)
            self.relays[number] = reader
            superseded = self.relays.get(older)
            self.cancellations.withdraw(generation)
            held = self.held.pop(generation, None)
        if superseded is not None:
            superseded.supersede()
        if held is not None:
            self.dispatch.tell(policy.RequestEnded(held, False))
        return number

    def release(self, generation: ids.GenerationId, number: int) -> None:
        """Remove a reader that has ended."""
        with self.lock:
            self.readers.release(generation, number)
            self.relays.pop(number, None)

    def reader_taken(self, generation: ids.GenerationId, by: ids.VmId) -> None:
        """Hear that another VM reads a generation from now on."""
        with self.lock:
            taken = self.readers.take(generation, by)
            superseded = self.relays.get(taken.reader)
            self.cancellations.withdraw(generation)
            held = self.held.pop(generation, None)
        if superseded is not None:
            superseded.supersede()
        if held is not None:
            self.dispatch.tell(policy.RequestEnded(held, False))
        if taken.forward_to is not None:
            self.tell_taken(taken.forward_to, generation, by)

    def tell_taken(
        self, vm: ids.VmId, generation: ids.GenerationId, by: ids.VmId
    ) -> None:
        """Tell another VM, without waiting, who reads a generation."""
        self.questions.submit(self.peers.tell_reader_taken, vm, generation, by)

    def cancel(
        self,
        action: messages.CancelGeneration,
        held: ids.RequestId | None,
    ) -> None:
        """Cancel a generation after its grace.

        Args:
            action: What to cancel.
            held: Request that holds the engine's memory until then.
        """
        with self.lock:
            self.cancellations.schedule(
                action.upstream,
                action.generation,
                action.grace_ms,
                self.node.clock.now_ms(),
            )
            if held is not None:
                self.held[action.generation] = held
        self.loop.wake()

    def find_upstream(
        self, origin: cursor.StreamOrigin
    ) -> kernel_events.UpstreamInfo | None:
        """Return the engine that a cursor names, if it is listed."""
        return self.upstreams.get(origin.upstream)

    def find_keyed(
        self, generation: ids.GenerationId, service: ids.ServiceName
    ) -> kernel_events.UpstreamInfo | None:
        """Return the engine that runs, or ran, a keyed generation.

        Args:
            generation: Identifier derived from the caller's key.
            service: Service whose engines are asked.
        """
        engines = [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
        ][:MAX_ENGINES_ASKED]
        asked = {
            self.questions.submit(
                engine_client.fetch_status, engine.address, generation
            ): engine
            for engine in engines
        }
        done, _ = concurrent.futures.wait(
            asked, KEYED_PATIENCE_MS / clocks.MS_PER_SECOND
        )
        for future in done:
            match future.result():
                case result.Ok(upstream_messages.EngineStatus(state=state)):
                    if state is not states.GenerationState.CANCELLED:
                        return asked[future]
        return None

    def _upstreams(self, event: kernel_events.UpstreamsChanged) -> None:
        known = {u.upstream: u for u in event.upstreams}
        with self.lock:
            self.upstreams = known
            gone = self.cancellations.keep_upstreams(known)
        for generation in gone:
            self._settle(generation)

    def _cancel_due(self) -> bool:
        with self.lock:
            due = self.cancellations.take_due(self.node.clock.now_ms())
        for entry in due:
            self.questions.submit(self._cancel_now, entry)
        return bool(self.cancellations.pending)

    def _cancel_now(self, entry: cancellation.Cancellation) -> None:
        match engine_client.cancel(entry.upstream.address, entry.generation):
            case result.Ok():
                with self.lock:
                    self.cancellations.confirm(entry.generation)
                self._settle(entry.generation)
            case result.Err(error):
                logs.event(
                    'cancel_unconfirmed',
                    generation=entry.generation,
                    upstream=entry.upstream.upstream,
                    reason=error.message,
                )

    def _settle(self, generation: ids.GenerationId) -> None:
        with self.lock:
            held = self.held.pop(generation, None)
        if held is not None:
            self.dispatch.tell(policy.RequestEnded(held, False))
