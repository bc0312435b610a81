"""Simulates engines, connections and a dispatcher for one request.

Hypothesis chooses the sequence of events. The tokens produced by each
engine are compared with those delivered to the caller after every step.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.requests import generation as generations
from eelgrassknot.requests import generation_messages as messages
from eelgrassknot import states
from eelgrassknot.upstreams import messages as upstream_messages

__all__ = ['GenerationHistories', 'upstream']

REQUEST = ids.RequestId('r1')
_KINDS = strategies.integers(0, 999)


def upstream(name):
    """Return an engine of the service."""
    return kernel_events.UpstreamInfo(
        upstream=ids.UpstreamId(name),
        service=ids.ServiceName('shop-assistant'),
        kind=states.ServiceKind.ENGINE,
        address='127.0.0.1:1',
        availability_zone=ids.AvailabilityZoneId('nadi-yard'),
        region=ids.RegionId('viti-levu'),
        state=states.UpstreamState.LIVE,
    )


@dataclasses.dataclass
class _EngineGeneration:
    """A generation at an engine."""

    name: str
    length: int
    produced: int = 0
    state: states.GenerationState = states.GenerationState.RUNNING

    def token(self, index):
        last = index == self.length - 1
        reason = states.FinishReason.STOP if last else None
        return upstream_messages.Token(
            self.name, REQUEST, index, f'{self.name}:{index}', reason
        )


@dataclasses.dataclass
class _Connection:
    """A connection as seen by the engine."""

    number: int
    generation: str
    index: int
    started: bool = False
    creates: bool = True
    closed: bool = False


class GenerationHistories(stateful.RuleBasedStateMachine):
    """Histories of one request; subclasses set ``machine_class``."""

    machine_class = generations.Generation

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.running = {}
        self.connections = {}
        self.probes = []
        self.cancels = []
        self.placements = 0
        self.generation_count = 0
        self.delivered = []
        self.ended = None
        self.ran = False
        self.wanted = True
        self.machine = None

    @stateful.initialize(
        streamed=strategies.booleans(),
        hurried=strategies.booleans(),
        lead=strategies.integers(0, 3),
    )
    def arrive(self, streamed, hurried, lead):
        """Start a request, often with its first tokens delivered."""
        deadline_ms = 5_000.0 if hurried else None
        self.streamed = streamed
        self.machine = self.machine_class(REQUEST, streamed, deadline_ms, 0.0)
        self.placements = 1
        if not lead:
            return
        self.place(refused=1)
        self.engine_hears(kind=1, length=5)
        self.produce(kind=0, count=3)
        self.receive(kind=1, count=lead)

    def handle(self, event):
        """Pass an event to the state machine and perform its actions."""
        for action in self.machine.handle(event, self.now_ms):
            self.perform(action)

    def perform(self, action):
        """Perform one action in the simulation."""
        assert self.ended is None, f'{action} after the end'
        match action:
            case messages.DeliverToken(token):
                self.delivered.append(token)
            case messages.DiscardTokens():
                assert not self.streamed, 'delivered tokens were taken back'
                self.delivered.clear()
            case messages.OpenStream(number, _, generation):
                assert number not in self.connections
                self.connections[number] = _Connection(number, generation, 0)
            case messages.ResumeStream(number, _, generation, index):
                assert number not in self.connections
                self.connections[number] = _Connection(
                    number, generation, index, creates=False
                )
            case messages.AskStatus(probe, _, generation):
                self.probes.append((probe, generation))
            case messages.CancelGeneration(_, generation, _):
                self.cancels.append(generation)
            case messages.Place():
                self.placements += 1
            case messages.EndRequest():
                self.ended = action

    def connection(self, kind):
        """Return one of the connections, including closed ones."""
        numbers = sorted(self.connections)
        if not numbers:
            return None
        # Prefer the newest connection.
        back = 0 if kind % 4 else kind // 4 % len(numbers)
        return self.connections[numbers[-1 - back]]

    @stateful.precondition(lambda self: self.placements)
    @stateful.rule(refused=strategies.integers(0, 9))
    def place(self, refused):
        """The dispatcher answers."""
        self.placements -= 1
        if not refused:
            reason = states.RefusalReason.NO_UPSTREAM
            self.handle(messages.Refused(reason, 1_000.0))
            return
        self.generation_count += 1
        name = f'g{self.generation_count}'
        engine = upstream(f'e{self.generation_count}')
        self.handle(messages.Placed(engine, ids.GenerationId(name), False))

    @stateful.precondition(lambda self: self.connections)
    @stateful.rule(kind=_KINDS, length=strategies.integers(1, 5))
    def engine_hears(self, kind, length):
        """A request reaches its engine."""
        connection = self.connection(kind)
        if connection.started:
            return
        connection.started = True
        if connection.creates and connection.generation not in self.running:
            self.ran = True
            self.running[connection.generation] = _EngineGeneration(
                connection.generation, length
            )
        if connection.generation not in self.running:
            self.handle(messages.StreamRejected(connection.number, 404, b''))
            return
        self.handle(messages.StreamAccepted(connection.number))

    @stateful.precondition(lambda self: self.connections)
    @stateful.rule(kind=_KINDS, status=strategies.sampled_from([503, 500]))
    def engine_refuses(self, kind, status):
        """An engine rejects the request."""
        connection = self.connection(kind)
        if connection.started:
            return
        connection.started = True
        connection.closed = True
        self.ran = self.ran or status == 500
        self.handle(messages.StreamRejected(connection.number, status, b''))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(kind=_KINDS, count=strategies.integers(1, 3))
    def produce(self, kind, count):
        """An engine produces tokens."""
        generation = self.running[
            sorted(self.running)[kind % len(self.running)]
        ]
        if generation.state is states.GenerationState.RUNNING:
            generation.produced = min(
                generation.produced + count, generation.length
            )
            if generation.produced == generation.length:
                generation.state = states.GenerationState.DONE

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        kind=_KINDS,
        state=strategies.sampled_from(['preempted', 'running', 'cancelled']),
    )
    def change_state(self, kind, state):
        """An engine preempts, resumes or cancels a generation."""
        generation = self.running[
            sorted(self.running)[kind % len(self.running)]
        ]
        if generation.state is not states.GenerationState.DONE:
            generation.state = states.GenerationState(state)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(kind=_KINDS, count=strategies.integers(1, 3))
    def receive(self, kind, count):
        """The next tokens are received on a connection."""
        for _ in range(count):
            self.receive_one(kind, 'none')

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        kind=_KINDS,
        fault=strategies.sampled_from(
            ['repeat', 'skip', 'crossed', 'stranger']
        ),
    )
    def receive_wrong(self, kind, fault):
        """A wrong token is received on a connection."""
        self.receive_one(kind, fault)

    def receive_one(self, kind, fault):
        """Deliver one token of a connection."""
        connection = self.connection(kind)
        generation = self.running.get(connection.generation)
        if generation is None or not connection.started:
            return
        index = connection.index
        if fault == 'repeat' and index:
            index -= 1
        elif fault == 'skip':
            index += 1
        if index >= generation.produced:
            return
        token = generation.token(index)
        if fault == 'crossed':
            token = _EngineGeneration('other', 9).token(index)
        elif fault == 'stranger':
            token = upstream_messages.Token(
                generation.name, 'r2', index, f'r2:{index}'
            )
        elif fault == 'none':
            connection.index += 1
        self.handle(messages.TokenReceived(connection.number, token))

    @stateful.precondition(lambda self: self.connections)
    @stateful.rule(kind=_KINDS, finished=strategies.booleans())
    def close(self, kind, finished):
        """A connection is closed."""
        connection = self.connection(kind)
        if connection.closed:
            return
        connection.closed = True
        if finished and connection.started:
            self.handle(messages.StreamFinished(connection.number))
            return
        # A request that was sent may reach the engine later.
        sent = connection.started or bool(kind % 2)
        connection.started = connection.started or not sent
        self.handle(messages.StreamClosed(connection.number, sent))

    @stateful.precondition(lambda self: self.probes)
    @stateful.rule(lost=strategies.booleans())
    def answer_probe(self, lost):
        """An engine answers a probe, or the answer is lost."""
        probe, name = self.probes.pop(0)
        generation = self.running.get(name)
        if lost:
            self.handle(messages.StatusLost(probe))
        elif generation is None:
            self.handle(messages.StatusMissing(probe))
        else:
            self.handle(
                messages.StatusReceived(
                    probe, generation.state, generation.produced
                )
            )

    @stateful.precondition(lambda self: self.cancels)
    @stateful.rule()
    def cancel(self):
        """A cancellation reaches its engine."""
        generation = self.running.get(self.cancels.pop(0))
        if (
            generation is not None
            and generation.state is not states.GenerationState.DONE
        ):
            generation.state = states.GenerationState.CANCELLED

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(kind=_KINDS)
    def engine_dies(self, kind):
        """An engine restarts and loses its generations."""
        del self.running[sorted(self.running)[kind % len(self.running)]]

    @stateful.rule(by_ms=strategies.sampled_from([10.0, 400.0, 5_000.0]))
    def pass_time(self, by_ms):
        """Time passes."""
        self.now_ms += by_ms
        self.handle(messages.Tick())

    @stateful.rule(rare=strategies.integers(0, 30))
    def caller_leaves(self, rare):
        """The caller occasionally disconnects."""
        if not rare:
            self.handle(messages.CallerGone())

    @stateful.invariant()
    def one_generation_in_order(self):
        """Each token is delivered once, in order, of one generation."""
        names = {token.generation for token in self.delivered}
        assert len(names) <= 1, names
        assert 'other' not in names, 'a token of another generation'
        indexes = [token.index for token in self.delivered]
        assert indexes == list(range(len(indexes))), indexes
        for token in self.delivered:
            assert token.request_id == REQUEST
            assert token.text == f'{token.generation}:{token.index}'

    @stateful.invariant()
    def outcome_is_true(self):
        """The reported outcome matches what happened."""
        if self.ended is None:
            return
        outcome = self.ended.outcome
        complete = bool(self.delivered) and (
            self.delivered[-1].finish_reason is not None
        )
        assert complete == (outcome is states.Outcome.DONE), self.ended
        if outcome is states.Outcome.NOT_RUN:
            assert not self.ran, 'not_run of a request that ran'

    @stateful.invariant()
    def time_adds_up(self):
        """The parts of the time sum to the total."""
        if self.machine is not None:
            line = self.machine.progress.timeline
            assert abs(sum(line.parts.values()) - line.total_ms()) < 1e-6
