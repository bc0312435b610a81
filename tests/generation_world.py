"""Engines, links and a dispatcher around one generation request.

Hypothesis chooses in which order things happen to them. The tokens that
each engine produced and those that the caller got are compared after
every step.
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
class _Running:
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
class _Link:
    """A connection, as the engine's side sees it."""

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
        self.links = {}
        self.probes = []
        self.cancels = []
        self.placements = 0
        self.names = 0
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
        """Begin a request, which often has its first tokens soon."""
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

    def tell(self, event):
        """Tell the machine and do what it wants."""
        for action in self.machine.handle(event, self.now_ms):
            self.carry_out(action)

    def carry_out(self, action):
        """Do one action in this world."""
        assert self.ended is None, f'{action} after the end'
        match action:
            case messages.DeliverToken(token):
                self.delivered.append(token)
            case messages.DiscardTokens():
                assert not self.streamed, 'delivered tokens were taken back'
                self.delivered.clear()
            case messages.OpenStream(number, _, generation):
                assert number not in self.links
                self.links[number] = _Link(number, generation, 0)
            case messages.ResumeStream(number, _, generation, index):
                assert number not in self.links
                self.links[number] = _Link(
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

    def link(self, kind):
        """Return one of the connections, old ones included."""
        numbers = sorted(self.links)
        if not numbers:
            return None
        # The newest is of most interest.
        back = 0 if kind % 4 else kind // 4 % len(numbers)
        return self.links[numbers[-1 - back]]

    @stateful.precondition(lambda self: self.placements)
    @stateful.rule(refused=strategies.integers(0, 9))
    def place(self, refused):
        """The dispatcher answers."""
        self.placements -= 1
        if not refused:
            reason = states.RefusalReason.NO_UPSTREAM
            self.tell(messages.Refused(reason, 1_000.0))
            return
        self.names += 1
        name = f'g{self.names}'
        engine = upstream(f'e{self.names}')
        self.tell(messages.Placed(engine, ids.GenerationId(name), False))

    @stateful.precondition(lambda self: self.links)
    @stateful.rule(kind=_KINDS, length=strategies.integers(1, 5))
    def engine_hears(self, kind, length):
        """A request reaches its engine."""
        link = self.link(kind)
        if link.started:
            return
        link.started = True
        if link.creates and link.generation not in self.running:
            self.ran = True
            self.running[link.generation] = _Running(link.generation, length)
        if link.generation not in self.running:
            self.tell(messages.StreamRejected(link.number, 404, b''))
            return
        self.tell(messages.StreamAccepted(link.number))

    @stateful.precondition(lambda self: self.links)
    @stateful.rule(kind=_KINDS, status=strategies.sampled_from([503, 500]))
    def engine_refuses(self, kind, status):
        """An engine answers that it did not take the request."""
        link = self.link(kind)
        if link.started:
            return
        link.started = True
        link.closed = True
        self.ran = self.ran or status == 500
        self.tell(messages.StreamRejected(link.number, status, b''))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(kind=_KINDS, count=strategies.integers(1, 3))
    def produce(self, kind, count):
        """An engine produces tokens."""
        one = self.running[sorted(self.running)[kind % len(self.running)]]
        if one.state is states.GenerationState.RUNNING:
            one.produced = min(one.produced + count, one.length)
            if one.produced == one.length:
                one.state = states.GenerationState.DONE

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        kind=_KINDS,
        state=strategies.sampled_from(['preempted', 'running', 'cancelled']),
    )
    def change_state(self, kind, state):
        """An engine preempts, goes on, or gives up."""
        one = self.running[sorted(self.running)[kind % len(self.running)]]
        if one.state is not states.GenerationState.DONE:
            one.state = states.GenerationState(state)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(kind=_KINDS, count=strategies.integers(1, 3))
    def receive(self, kind, count):
        """The next tokens come by a connection."""
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
        """A wrong token comes by a connection."""
        self.receive_one(kind, fault)

    def receive_one(self, kind, fault):
        """Pass on one token of a connection."""
        link = self.link(kind)
        one = self.running.get(link.generation)
        if one is None or not link.started:
            return
        index = link.index
        if fault == 'repeat' and index:
            index -= 1
        elif fault == 'skip':
            index += 1
        if index >= one.produced:
            return
        token = one.token(index)
        if fault == 'crossed':
            token = _Running('other', 9).token(index)
        elif fault == 'stranger':
            token = upstream_messages.Token(
                one.name, 'r2', index, f'r2:{index}'
            )
        elif fault == 'none':
            link.index += 1
        self.tell(messages.TokenReceived(link.number, token))

    @stateful.precondition(lambda self: self.links)
    @stateful.rule(kind=_KINDS, finished=strategies.booleans())
    def close(self, kind, finished):
        """A connection ends."""
        link = self.link(kind)
        if link.closed:
            return
        link.closed = True
        if finished and link.started:
            self.tell(messages.StreamFinished(link.number))
            return
        # What left may reach the engine later on.
        sent = link.started or bool(kind % 2)
        link.started = link.started or not sent
        self.tell(messages.StreamClosed(link.number, sent))

    @stateful.precondition(lambda self: self.probes)
    @stateful.rule(lost=strategies.booleans())
    def answer_probe(self, lost):
        """An engine answers a probe, or the answer is lost."""
        probe, generation = self.probes.pop(0)
        one = self.running.get(generation)
        if lost:
            self.tell(messages.StatusLost(probe))
        elif one is None:
            self.tell(messages.StatusMissing(probe))
        else:
            self.tell(messages.StatusReceived(probe, one.state, one.produced))

    @stateful.precondition(lambda self: self.cancels)
    @stateful.rule()
    def cancel(self):
        """A cancellation reaches its engine."""
        one = self.running.get(self.cancels.pop(0))
        if one is not None and one.state is not states.GenerationState.DONE:
            one.state = states.GenerationState.CANCELLED

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(kind=_KINDS)
    def engine_dies(self, kind):
        """An engine restarts and knows nothing any more."""
        del self.running[sorted(self.running)[kind % len(self.running)]]

    @stateful.rule(by_ms=strategies.sampled_from([10.0, 400.0, 5_000.0]))
    def pass_time(self, by_ms):
        """Time passes."""
        self.now_ms += by_ms
        self.tell(messages.Tick())

    @stateful.rule(rare=strategies.integers(0, 30))
    def caller_leaves(self, rare):
        """The caller leaves, seldom."""
        if not rare:
            self.tell(messages.CallerGone())

    @stateful.invariant()
    def one_generation_in_order(self):
        """Each token once, in order, all of one generation."""
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
        """What the caller is told is so."""
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
        """The parts are the whole."""
        if self.machine is not None:
            line = self.machine.progress.timeline
            assert abs(sum(line.parts.values()) - line.total_ms()) < 1e-6
