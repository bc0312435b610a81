"""Carries one generation from an engine to its caller."""

import collections
import collections.abc
import concurrent.futures
import threading
import typing

from eelgrassknot.frontend import context as contexts
from eelgrassknot.frontend import engine_answers
from eelgrassknot.frontend import lane as lanes
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import messages as policy
from eelgrassknot.requests import facts
from eelgrassknot.requests import generation as generations
from eelgrassknot.requests import generation_messages as messages
from eelgrassknot import states
from eelgrassknot.upstreams import engine_client
from eelgrassknot.upstreams import engine_stream
from eelgrassknot.upstreams import messages as upstream_messages

if typing.TYPE_CHECKING:
    from eelgrassknot.frontend import relay_part

__all__ = ['Relay', 'Step']

MAX_WAIT_MS = 500.0
PROBE_POLL_MS = 10.0
REPORT_TOKENS = 16
LATE_GAP_MS = 60.0

Step = (
    list[upstream_messages.Token]
    | messages.DiscardTokens
    | messages.EndRequest
)
_Token = upstream_messages.Token
Encode = collections.abc.Callable[[_Token], bytes]


class Relay:
    """Does the I/O that one generation request asks for.

    Args:
        context: The caller's request.
        part: What all relays of this VM share.
        machine: Decides how the request goes on.
        profile: What the dispatcher knows of it, or None for a reader
            that goes on with a running generation.
        body: Body that starts the generation at an engine.
        generation: Identifier that all attempts share, or None for one
            of its own for each.

    Attributes:
        superseded: Set when a newer reader has come.
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
        self.cancelled: messages.CancelGeneration | None = None
        self.encode: Encode | None = None

    def deliver_by(self, encode: 'Encode') -> None:
        """Let the lane send tokens; the answer's head has been sent."""
        self.encode = encode

    def supersede(self) -> None:
        """End this reader, as a newer one has come."""
        self.superseded.set()

    def place(self) -> list[messages.Action]:
        """Wait until the dispatcher has placed or refused the request."""
        future = self.context.dispatch.submit(
            policy.RequestArrived(self.profile)
        )
        return self._placed(future)

    def run(
        self, actions: list[messages.Action]
    ) -> collections.abc.Iterator[Step]:
        """Carry out actions until the request has ended.

        Args:
            actions: What to begin with.

        Yields:
            Tokens to deliver, and at last how the request ended.
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
                            pending.extend(self._carry_out(action))
                if tokens:
                    yield tokens
                    tokens = []
                if self.machine.stage is not generations.Stage.ENDED:
                    pending.extend(self._wait())
        finally:
            self._finish()

    def _carry_out(self, action: messages.Action) -> list[messages.Action]:
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
                self._use(connection, stream)
            case messages.CloseStream():
                self._close()
            case messages.AskStatus(probe, upstream, generation):
                self.probe_number = probe
                self.probe = self.part.questions.submit(
                    engine_client.status, upstream.address, generation
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
        self._use(connection, stream)

    def _use(
        self, connection: int, stream: engine_stream.EngineStream
    ) -> None:
        self._close()
        self.connection = connection
        self.stream = stream

    def _close(self) -> None:
        if self.stream is not None:
            self.bytes_in += self.stream.bytes_in
            self.stream.close()
            self.stream = None

    def _cancel(self, action: messages.CancelGeneration) -> None:
        if self.machine.stage is generations.Stage.ENDED:
            self.cancelled = action
            return
        self._release()
        self.part.cancel(action, None)

    def _place_again(self, failed: ids.UpstreamId) -> list[messages.Action]:
        dispatch = self.context.dispatch
        dispatch.tell(policy.UpstreamFailed(failed))
        return self._placed(
            dispatch.submit(
                policy.RetryRequested(self.profile.request, failed)
            )
        )

    def _placed(
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
                    return self._tell(messages.CallerGone())
                ended = self._tell(messages.Tick())
                if ended:
                    self.context.dispatch.cancel(request)
                    return ended
        match action:
            case policy.Dispatch(_, upstream, crosses):
                generation = self.generation
                if generation is None:
                    generation = ids.GenerationId(ids.random_id())
                return self._tell(
                    messages.Placed(upstream, generation, crosses)
                )
            case policy.Refuse(_, reason, retry_after_ms):
                return self._tell(messages.Refused(reason, retry_after_ms))
        return []

    def _tell(self, event: messages.Event) -> list[messages.Action]:
        return self.machine.handle(event, self.clock.now_ms())

    def _wait(self) -> list[messages.Action]:
        if self.superseded.is_set():
            return self._tell(messages.ReaderSuperseded())
        now_ms = self.clock.now_ms()
        wait_ms = min(self.machine.wake_ms() - now_ms, MAX_WAIT_MS)
        if self.probe is not None:
            wait_ms = min(wait_ms, PROBE_POLL_MS)
        wait_ms = max(wait_ms, 0.0)
        if self.stream is None:
            self.superseded.wait(wait_ms / 1000)
            return self._idle()
        if self._may_ride():
            return self._ride()
        events = self.stream.read(wait_ms)
        if not events:
            return self._idle()
        return self._take(events)

    def _ride(self) -> list[messages.Action]:
        ride = lanes.Ride(
            self, self.encode, self.context.caller, self.stream.descriptor
        )
        self.part.lane.carry(ride)
        if ride.unsent and not ride.broken:
            try:
                # Slows this stream alone: the engine waits for us.
                self.context.caller.socket.sendall(ride.unsent)
            except OSError:
                ride.broken = True
        if ride.broken:
            return ride.actions + self._tell(messages.CallerGone())
        if ride.events:
            ride.actions += self._take(ride.events)
        elif not ride.actions and not ride.unsent:
            return self._take_ready()
        return ride.actions

    def _may_ride(self) -> bool:
        if self.encode is None or self.probe is not None:
            return False
        return self.stream.flows()

    def _take_ready(self) -> list[messages.Action]:
        # A slow caller may have kept this stream from being read.
        events = self.stream.read(0)
        if not events:
            return self._idle()
        return self._take(events)

    def _take(
        self, events: list[upstream_messages.StreamEvent]
    ) -> list[messages.Action]:
        now_ms = self.clock.now_ms()
        machine = self.machine
        connection = self.connection
        actions: list[messages.Action] = []
        for event in events:
            if type(event) is _Token:
                actions += machine.take_token(connection, event, now_ms)
            else:
                actions += machine.handle(
                    engine_answers.stream_event(connection, event), now_ms
                )
        self.report(len(actions), now_ms)
        return actions

    def _idle(self) -> list[messages.Action]:
        if self.context.caller.is_gone():
            return self._tell(messages.CallerGone())
        if self.probe is not None and self.probe.done():
            answer = self.probe.result()
            self.probe = None
            return self._tell(
                engine_answers.status_event(self.probe_number, answer)
            )
        return self._tell(messages.Tick())

    def report(self, count: int, now_ms: float) -> None:
        """Tell the dispatcher of tokens, not each time."""
        if self.profile is None:
            return
        tell = self.context.dispatch.tell
        request = self.profile.request
        gaps = self.machine.progress.gaps_ms
        if not gaps and self.machine.progress.next_index == 1:
            tell(policy.FirstTokenReceived(request))
        elif gaps and gaps[-1] > LATE_GAP_MS:
            tell(policy.GapObserved(request, gaps[-1]))
        self.unreported += count
        if self.unreported >= REPORT_TOKENS:
            tell(policy.TokensProduced(request, self.unreported))
            self.unreported = 0

    def _finish(self) -> None:
        if self.machine.stage is not generations.Stage.ENDED:
            for action in self._tell(messages.CallerGone()):
                if not isinstance(action, messages.EndRequest):
                    self._carry_out(action)
        self._close()
        self._release()
        held = None
        if self.profile is not None:
            held = self._end_dispatch()
        if self.cancelled is not None:
            self.part.cancel(self.cancelled, held)
        self.context.node.hub.publish(
            facts.generation_facts(
                self.machine,
                self.service,
                self.context.account.client_account,
                self.bytes_in,
                self.bytes_out,
            )
        )

    def _end_dispatch(self) -> ids.RequestId | None:
        request = self.profile.request
        tell = self.context.dispatch.tell
        if self.unreported:
            tell(policy.TokensProduced(request, self.unreported))
        if self.cancelled is not None:
            # The engine's memory is in use until it confirms.
            return request
        done = self.machine.outcome.outcome is states.Outcome.DONE
        tell(policy.RequestEnded(request, done))
        return None
