"""Relays one generation from an engine to its caller."""

import collections
import collections.abc
import concurrent.futures
import threading
import typing

from eelgrassknot.frontend import context as contexts
from eelgrassknot.frontend import engine_answers
from eelgrassknot.frontend import stream_multiplexer
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import messages as policy
from eelgrassknot.requests import generation as generations
from eelgrassknot.requests import generation_messages as messages
from eelgrassknot.requests import records
from eelgrassknot import states
from eelgrassknot.upstreams import engine_client
from eelgrassknot.upstreams import engine_stream
from eelgrassknot.upstreams import messages as upstream_messages

if typing.TYPE_CHECKING:
    from eelgrassknot.frontend import relay_part

__all__ = ['Relay', 'Step']

MAX_WAIT_MS = 500.0
PROBE_POLL_MS = 10.0
REPORT_BATCH_TOKENS = 16
LATE_GAP_MS = 60.0

Step = (
    list[upstream_messages.Token]
    | messages.DiscardTokens
    | messages.EndRequest
)
_Token = upstream_messages.Token
Encode = collections.abc.Callable[[_Token], bytes]


class Relay:
    """Performs the I/O of one generation request.

    Args:
        context: Context of the caller's request.
        part: State shared by all relays of this VM.
        machine: State machine of the request.
        profile: Request profile used by the dispatcher, or None for a
            reader that resumes an existing generation.
        service: Service that is called.
        body: Request body that starts the generation on an engine.
        generation: Generation identifier shared by all attempts, or None
            to use a new one for each attempt.

    Attributes:
        superseded: Set when a newer reader has taken over.
    """

    def __init__(
        self,
        context: contexts.CallContext,
        part: 'relay_part.RelayPart',
        machine: generations.Generation,
        profile: policy.RequestProfile | None,
        service: ids.ServiceName,
        body: bytes = b'',
        generation: ids.GenerationId | None = None,
    ) -> None:
        self.context = context
        self.part = part
        self.machine = machine
        self.profile = profile
        self.service = service
        self.body = body
        self.generation = generation
        self.clock = context.node.clock
        self.superseded = threading.Event()
        self.reader: int | None = None
        self.read_generation: ids.GenerationId | None = None
        self.stream: engine_stream.EngineStream | None = None
        self.connection = 0
        self.probe: concurrent.futures.Future | None = None
        self.probe_number = 0
        self.unreported = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.cancel_action: messages.CancelGeneration | None = None
        self.encode: Encode | None = None

    def enable_multiplexing(self, encode: 'Encode') -> None:
        """Allow use of the multiplexer; the response head has been sent."""
        self.encode = encode

    def supersede(self) -> None:
        """Stop this reader because a newer one has taken over."""
        self.superseded.set()

    def place(self) -> list[messages.Action]:
        """Submit the request and wait until it is placed or refused."""
        future = self.context.dispatch.submit(
            policy.RequestArrived(self.profile)
        )
        return self._await_placement(future)

    def run(
        self, actions: list[messages.Action]
    ) -> collections.abc.Iterator[Step]:
        """Perform actions until the request has ended.

        Args:
            actions: Initial actions.

        Yields:
            Tokens to deliver, and finally the outcome of the request.
        """
        pending = collections.deque(actions)
        tokens: list[upstream_messages.Token] = []
        try:
            while self.machine.stage is not generations.Stage.ENDED or pending:
                while pending:
                    action = pending.popleft()
                    if type(action) is messages.DeliverToken:
                        tokens.append(action.token)
                        continue
                    if tokens:
                        yield tokens
                        tokens = []
                    match action:
                        case messages.EndRequest():
                            yield action
                        case messages.DiscardTokens():
                            yield action
                        case _:
                            pending.extend(self._perform(action))
                if tokens:
                    yield tokens
                    tokens = []
                if self.machine.stage is not generations.Stage.ENDED:
                    pending.extend(self._wait())
        finally:
            self._finish()

    def _perform(self, action: messages.Action) -> list[messages.Action]:
        match action:
            case messages.OpenStream(connection, upstream, generation):
                self._register(generation)
                self._open(connection, upstream, generation)
            case messages.ResumeStream(connection, upstream, generation, at):
                self._register(generation)
                url = engine_answers.generation_url(upstream, generation)
                stream = engine_stream.EngineStream(
                    'GET', f'{url}?from={at}', None, self._headers()
                )
                self._replace_stream(connection, stream)
            case messages.CloseStream():
                self._close()
            case messages.AskStatus(probe, upstream, generation):
                self.probe_number = probe
                self.probe = self.part.query_executor.submit(
                    engine_client.fetch_status, upstream.address, generation
                )
            case messages.CancelGeneration():
                self._cancel(action)
            case messages.Place(failed):
                return self._place_again(failed)
        return []

    def _register(self, generation: ids.GenerationId) -> None:
        if self.read_generation == generation:
            return
        self._release()
        self.read_generation = generation
        self.reader = self.part.register(generation, self)

    def _release(self) -> None:
        if self.reader is not None:
            self.part.release(self.read_generation, self.reader)
            self.reader = None
            self.read_generation = None

    def _headers(self) -> dict[str, str]:
        return {'X-Request-Id': self.context.request}

    def _open(
        self,
        connection: int,
        upstream: kernel_events.UpstreamInfo,
        generation: ids.GenerationId,
    ) -> None:
        headers = self._headers()
        headers['Content-Type'] = 'application/json'
        headers['X-Generation-Id'] = generation
        headers['X-Priority'] = self.context.priority.value
        self.bytes_out += len(self.body)
        stream = engine_stream.EngineStream(
            'POST',
            f'http://{upstream.address}/v1/completions',
            self.body,
            headers,
        )
        self._replace_stream(connection, stream)

    def _replace_stream(
        self, connection: int, stream: engine_stream.EngineStream
    ) -> None:
        self._close()
        self.connection = connection
        self.stream = stream

    def _close(self) -> None:
        if self.stream is not None:
            self.bytes_in += self.stream.received_bytes
            self.stream.close()
            self.stream = None

    def _cancel(self, action: messages.CancelGeneration) -> None:
        if self.machine.stage is generations.Stage.ENDED:
            self.cancel_action = action
            return
        self._release()
        self.part.cancel(action, None)

    def _place_again(self, failed: ids.UpstreamId) -> list[messages.Action]:
        dispatch = self.context.dispatch
        dispatch.notify(policy.UpstreamFailed(failed))
        return self._await_placement(
            dispatch.submit(
                policy.RetryRequested(self.profile.request, failed)
            )
        )

    def _await_placement(
        self, future: concurrent.futures.Future
    ) -> list[messages.Action]:
        request = self.profile.request
        while True:
            try:
                action = future.result(MAX_WAIT_MS / 1000)
                break
            except concurrent.futures.TimeoutError:
                if self.context.caller.is_gone():
                    self.context.dispatch.cancel(request)
                    return self._handle(messages.CallerGone())
                ended = self._handle(messages.Tick())
                if ended:
                    self.context.dispatch.cancel(request)
                    return ended
        match action:
            case policy.Dispatch(_, upstream, crosses):
                generation = self.generation
                if generation is None:
                    generation = ids.GenerationId(ids.random_id())
                return self._handle(
                    messages.Placed(upstream, generation, crosses)
                )
            case policy.Refuse(_, reason, retry_after_ms):
                return self._handle(messages.Refused(reason, retry_after_ms))
        return []

    def _handle(self, event: messages.Event) -> list[messages.Action]:
        return self.machine.handle(event, self.clock.now_ms())

    def _wait(self) -> list[messages.Action]:
        if self.superseded.is_set():
            return self._handle(messages.ReaderSuperseded())
        now_ms = self.clock.now_ms()
        wait_ms = min(self.machine.wake_ms() - now_ms, MAX_WAIT_MS)
        if self.probe is not None:
            wait_ms = min(wait_ms, PROBE_POLL_MS)
        wait_ms = max(wait_ms, 0.0)
        if self.stream is None:
            self.superseded.wait(wait_ms / 1000)
            return self._handle_idle()
        if self._can_multiplex():
            return self._run_multiplexed()
        events = self.stream.read(wait_ms)
        if not events:
            return self._handle_idle()
        return self._process_events(events)

    def _run_multiplexed(self) -> list[messages.Action]:
        stream = stream_multiplexer.MultiplexedStream(
            self, self.encode, self.context.caller, self.stream.descriptor
        )
        self.part.multiplexer.run(stream)
        if stream.unsent and not stream.broken:
            try:
                # Blocks only this stream: its engine is not read from
                # until the caller has accepted the data.
                self.context.caller.socket.sendall(stream.unsent)
            except OSError:
                stream.broken = True
        if stream.broken:
            return stream.actions + self._handle(messages.CallerGone())
        if stream.events:
            stream.actions += self._process_events(stream.events)
        elif not stream.actions and not stream.unsent:
            return self._process_ready_events()
        return stream.actions

    def _can_multiplex(self) -> bool:
        if self.encode is None or self.probe is not None:
            return False
        return self.stream.is_streaming()

    def _process_ready_events(self) -> list[messages.Action]:
        # The stream may not have been read because of a slow caller.
        events = self.stream.read(0)
        if not events:
            return self._handle_idle()
        return self._process_events(events)

    def _process_events(
        self, events: list[upstream_messages.StreamEvent]
    ) -> list[messages.Action]:
        now_ms = self.clock.now_ms()
        machine = self.machine
        connection = self.connection
        actions: list[messages.Action] = []
        for event in events:
            if type(event) is _Token:
                actions += machine.receive_token(connection, event, now_ms)
            else:
                actions += machine.handle(
                    engine_answers.stream_event(connection, event), now_ms
                )
        self.report_tokens(len(actions), now_ms)
        return actions

    def _handle_idle(self) -> list[messages.Action]:
        if self.context.caller.is_gone():
            return self._handle(messages.CallerGone())
        if self.probe is not None and self.probe.done():
            answer = self.probe.result()
            self.probe = None
            return self._handle(
                engine_answers.status_event(self.probe_number, answer)
            )
        return self._handle(messages.Tick())

    def report_tokens(self, count: int, now_ms: float) -> None:
        """Report delivered tokens to the dispatcher in batches."""
        if self.profile is None:
            return
        notify = self.context.dispatch.notify
        request = self.profile.request
        gaps = self.machine.progress.gaps_ms
        if not gaps and self.machine.progress.next_index == 1:
            notify(policy.FirstTokenReceived(request))
        elif gaps and gaps[-1] > LATE_GAP_MS:
            notify(policy.GapObserved(request, gaps[-1]))
        self.unreported += count
        if self.unreported >= REPORT_BATCH_TOKENS:
            notify(policy.TokensProduced(request, self.unreported))
            self.unreported = 0

    def _finish(self) -> None:
        if self.machine.stage is not generations.Stage.ENDED:
            for action in self._handle(messages.CallerGone()):
                if not isinstance(action, messages.EndRequest):
                    self._perform(action)
        self._close()
        self._release()
        request = None
        if self.profile is not None:
            request = self._end_dispatch()
        if self.cancel_action is not None:
            self.part.cancel(self.cancel_action, request)
        self.context.node.hub.publish(
            records.generation_record(
                self.machine,
                self.service,
                self.context.account.client_account,
                self.bytes_in,
                self.bytes_out,
            )
        )

    def _end_dispatch(self) -> ids.RequestId | None:
        request = self.profile.request
        notify = self.context.dispatch.notify
        if self.unreported:
            notify(policy.TokensProduced(request, self.unreported))
        if self.cancel_action is not None:
            # The engine's memory is in use until it confirms the
            # cancellation.
            return request
        done = self.machine.outcome.outcome is states.Outcome.DONE
        notify(policy.RequestEnded(request, done))
        return None
