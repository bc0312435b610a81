"""State shared by the relays of a VM: cursors, readers, cancellations."""

import concurrent.futures
import threading
import typing

import result

from eelgrassknot import clock as clocks
from eelgrassknot.frontend import dispatching
from eelgrassknot.frontend import stream_multiplexer
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

# Limits the number of connections used for probes and cancellations.
QUERY_THREADS = 8
CANCEL_POLL_MS = 50.0
IDLE_POLL_MS = 5_000.0
DRAIN_CANCELS_MS = 8_000.0
MAX_ENGINES_QUERIED = 16
KEYED_LOOKUP_TIMEOUT_MS = 300.0


@parts.part('relays', after=('dispatch', 'membership'))
class RelayPart(parts.Part):
    """Tracks the generations that are relayed by this VM.

    Attributes:
        peers: Interface to the other entry VMs.
        relays: Active relays by reader number.
        unconfirmed: Requests whose engine memory stays reserved until the
            engine confirms the cancellation, by generation.
    """

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.codec = cursor.CursorCodec(node.settings.cursor_keys)
        self.peers: peers.RequestPeers = peers.UnreachablePeers()
        self.lock = threading.Lock()
        self.readers = readers.ReaderRegistry()
        self.relays: dict[int, relay.Relay] = {}
        self.cancellations = cancellation.Cancellations()
        self.unconfirmed: dict[ids.GenerationId, ids.RequestId] = {}
        self.upstreams: dict[str, kernel_events.UpstreamInfo] = {}
        self.dispatch: dispatching.DispatchPart | None = None
        self.query_executor = concurrent.futures.ThreadPoolExecutor(
            QUERY_THREADS
        )
        self.loop = work_loop.WorkLoop(
            'cancellations', CANCEL_POLL_MS, IDLE_POLL_MS, self._cancel_due
        )
        self.multiplexer = stream_multiplexer.StreamMultiplexer(node.clock)
        node.hub.subscribe(
            kernel_events.UpstreamsChanged, self._upstreams_changed
        )

    def bind(self) -> None:
        """Obtain references to the parts that this one uses."""
        self.dispatch = self.node.part_set.parts['dispatch']

    def start(self) -> None:
        """Start the cancellation and multiplexer threads."""
        self.loop.start()
        self.multiplexer.start()

    def drain(self) -> None:
        """Wait until cancellations are confirmed, up to a time limit.

        Callers may still reconnect within the grace period.
        """
        until_ms = self.node.clock.now_ms() + DRAIN_CANCELS_MS
        while self.cancellations.pending:
            if self.node.clock.now_ms() >= until_ms:
                break
            self.loop.stopped.wait(CANCEL_POLL_MS / 1000)

    def stop(self) -> None:
        """Stop the threads."""
        self.loop.stop()
        self.multiplexer.stop()
        self.query_executor.shutdown(cancel_futures=True)

    def status(self) -> dict[str, object]:
        """Return the numbers of relayed and cancelled generations."""
        return {
            'generations': {
                'read': len(self.relays),
                'cancelling': len(self.cancellations.pending),
            }
        }

    def register(
        self, generation: ids.GenerationId, reader: 'relay.Relay'
    ) -> int:
        """Register a reader, superseding an older one of the generation.

        Returns:
            The number of the reader.
        """
        with self.lock:
            number, older = self.readers.register(generation)
            self.relays[number] = reader
            superseded = self.relays.get(older)
            self.cancellations.withdraw(generation)
            request = self.unconfirmed.pop(generation, None)
        if superseded is not None:
            superseded.supersede()
        if request is not None:
            self.dispatch.notify(policy.RequestEnded(request, False))
        return number

    def release(self, generation: ids.GenerationId, number: int) -> None:
        """Remove a reader that has finished."""
        with self.lock:
            self.readers.release(generation, number)
            self.relays.pop(number, None)

    def reader_taken(self, generation: ids.GenerationId, by: ids.VmId) -> None:
        """Handle the notification that another VM has taken over."""
        with self.lock:
            taken = self.readers.record_takeover(generation, by)
            superseded = self.relays.get(taken.reader)
            self.cancellations.withdraw(generation)
            request = self.unconfirmed.pop(generation, None)
        if superseded is not None:
            superseded.supersede()
        if request is not None:
            self.dispatch.notify(policy.RequestEnded(request, False))
        if taken.forward_to is not None:
            self.notify_taken(taken.forward_to, generation, by)

    def notify_taken(
        self, vm: ids.VmId, generation: ids.GenerationId, by: ids.VmId
    ) -> None:
        """Notify another VM of a takeover without waiting for it."""
        self.query_executor.submit(
            self.peers.notify_reader_taken, vm, generation, by
        )

    def cancel(
        self,
        action: messages.CancelGeneration,
        request: ids.RequestId | None,
    ) -> None:
        """Cancel a generation after its grace period.

        Args:
            action: Cancellation to schedule.
            request: Request that ends in the dispatcher only when the
                engine confirms, because its memory is in use until then.
        """
        with self.lock:
            self.cancellations.schedule(
                action.upstream,
                action.generation,
                action.grace_ms,
                self.node.clock.now_ms(),
            )
            if request is not None:
                self.unconfirmed[action.generation] = request
        self.loop.wake()

    def find_upstream(
        self, origin: cursor.StreamOrigin
    ) -> kernel_events.UpstreamInfo | None:
        """Return the engine named in a cursor, or None if not listed."""
        return self.upstreams.get(origin.upstream)

    def find_keyed(
        self, generation: ids.GenerationId, service: ids.ServiceName
    ) -> kernel_events.UpstreamInfo | None:
        """Return the engine that runs or has run a keyed generation.

        Args:
            generation: Identifier derived from the caller's key.
            service: Service whose engines are queried.
        """
        engines = [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
        ][:MAX_ENGINES_QUERIED]
        asked = {
            self.query_executor.submit(
                engine_client.fetch_status, engine.address, generation
            ): engine
            for engine in engines
        }
        done, _ = concurrent.futures.wait(
            asked, KEYED_LOOKUP_TIMEOUT_MS / clocks.MS_PER_SECOND
        )
        for future in done:
            match future.result():
                case result.Ok(upstream_messages.EngineStatus(state=state)):
                    if state is not states.GenerationState.CANCELLED:
                        return asked[future]
        return None

    def _upstreams_changed(
        self, event: kernel_events.UpstreamsChanged
    ) -> None:
        known = {u.upstream: u for u in event.upstreams}
        with self.lock:
            self.upstreams = known
            gone = self.cancellations.remove_missing_upstreams(known)
        for generation in gone:
            self._release_request(generation)

    def _cancel_due(self) -> bool:
        with self.lock:
            due = self.cancellations.pop_due(self.node.clock.now_ms())
        for entry in due:
            self.query_executor.submit(self._cancel_now, entry)
        return bool(self.cancellations.pending)

    def _cancel_now(self, entry: cancellation.Cancellation) -> None:
        match engine_client.cancel(entry.upstream.address, entry.generation):
            case result.Ok():
                with self.lock:
                    self.cancellations.confirm(entry.generation)
                self._release_request(entry.generation)
            case result.Err(error):
                logs.event(
                    'cancel_unconfirmed',
                    generation=entry.generation,
                    upstream=entry.upstream.upstream,
                    reason=error.message,
                )

    def _release_request(self, generation: ids.GenerationId) -> None:
        with self.lock:
            request = self.unconfirmed.pop(generation, None)
        if request is not None:
            self.dispatch.notify(policy.RequestEnded(request, False))
