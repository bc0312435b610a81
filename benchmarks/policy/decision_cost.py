"""What a decision costs in processor time."""

import dataclasses
import random
import time

from benchmarks.policy import targets
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import dispatcher
from eelgrassknot.policy import messages
from eelgrassknot import states

__all__ = ['Cost', 'checks', 'measure', 'render']

BOUNDS_US = {10: 50.0, 450: 200.0}
DECISIONS = 100
ROUNDS = 100
US_PER_S = 1e6
RUNNING_REQUESTS = 60
TOTAL_TOKENS = 64_000
LIVE = states.UpstreamState.LIVE


@dataclasses.dataclass(frozen=True)
class Cost:
    """Time of a decision.

    Attributes:
        engines: Candidate engines.
        decision_us: Time from a request's arrival to its dispatch.
        end_us: Time for the end of a request.
    """

    engines: int
    decision_us: float
    end_us: float


def measure() -> list[Cost]:
    """Return the lowest of several rounds for each number of engines."""
    return [_measure_one(engines) for engines in BOUNDS_US]


def checks(costs: list[Cost]) -> list[targets.Check]:
    """Return the checks of the stated bounds."""
    return [
        targets.Check(
            f'decision at {cost.engines} engines, us',
            cost.decision_us,
            BOUNDS_US[cost.engines],
        )
        for cost in costs
    ]


def render(costs: list[Cost]) -> str:
    """Return the costs as text."""
    lines = ['', '## Cost of a decision']
    for cost in costs:
        lines.append(
            f'{cost.engines:4} engines: {cost.decision_us:6.1f} us a '
            f'decision, {cost.end_us:6.1f} us an end'
        )
    return '\n'.join(lines)


def _measure_one(engines: int) -> Cost:
    target = _prepare_dispatcher(engines)
    decisions = []
    ends = []
    for number in range(ROUNDS):
        now_ms = 1_000.0 + number
        names = [f'{number}/{index}' for index in range(DECISIONS)]
        arrivals = [messages.RequestArrived(_profile(n)) for n in names]
        endings = [messages.RequestEnded(name, False) for name in names]
        elapsed_us, actions = _time(target, arrivals, now_ms)
        assert all(isinstance(a, messages.Dispatch) for a in actions)
        decisions.append(elapsed_us)
        ends.append(_time(target, endings, now_ms)[0])
    return Cost(engines, min(decisions), min(ends))


def _time(target, events: list, now_ms: float) -> tuple[float, list]:
    # The processor clock is read once for all events, since reading it
    # costs as much as a part of a decision.
    handle = target.handle
    actions = []
    started = time.process_time()
    for event in events:
        actions += handle(event, now_ms)
    elapsed_s = time.process_time() - started
    return elapsed_s / len(events) * US_PER_S, actions


def _prepare_dispatcher(engines: int) -> dispatcher.Dispatcher:
    target = dispatcher.Dispatcher('z', 'r', random.Random(1))
    infos = tuple(
        kernel_events.UpstreamInfo(
            f'e{index}',
            'writer',
            states.ServiceKind.ENGINE,
            '127.0.0.1:1',
            'z',
            'r',
            LIVE,
        )
        for index in range(engines)
    )
    target.handle(messages.UpstreamsChanged(infos), 0.0)
    for info in infos:
        load = messages.EngineLoad(
            info.upstream, 0.0, 30_000, TOTAL_TOKENS, 20, 0, 0, LIVE
        )
        target.handle(messages.LoadReported(load), 0.0)
        digest = messages.DigestReceived('peer', info.upstream, 18, 28_000)
        target.handle(digest, 900.0)
    for index in range(RUNNING_REQUESTS):
        profile = _profile(f'running/{index}')
        target.handle(messages.RequestArrived(profile), 950.0)
    return target


def _profile(name: str) -> messages.RequestProfile:
    prefixes = tuple(f'{name}/{index}' for index in range(12))
    return messages.RequestProfile(
        name,
        'writer',
        states.ServiceKind.ENGINE,
        f'account-{len(name) % 3}',
        states.Priority.INTERACTIVE,
        800,
        prefixes,
        None,
        None,
    )
