"""Workloads of the two deployments, from a seed."""

import dataclasses
import math
import random

from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = [
    'DEPLOYMENTS',
    'Deployment',
    'Request',
    'WorkloadVariation',
    'mean_output_tokens',
    'requests',
]

MAX_OUTPUT_TOKENS = 24_000
TOKENS_PER_PREFIX = 64
TEMPLATES_PER_ACCOUNT = 3
TEMPLATE_TOKENS = 512
LONG_PROMPT_SHARE = 0.04
BATCH_SHARE = 0.2
TAIL_SHARE = 0.04
TAIL_ALPHA = 1.3
TAIL_FROM_TOKENS = 1_000
BURST_EVERY_MS = 60_000.0
BURST_MS = 10_000.0
BURST_FACTOR = 2.0
INTERACTIVE_DEADLINE_MS = 30_000.0
BATCH_DEADLINE_MS = 120_000.0
ACCOUNT_SHARES = (0.3, 0.2, 0.15) + (0.05,) * 7


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A deployment's sizes.

    Attributes:
        zones: (zone, region, engines, entry VMs) each.
        median_tokens: Median of the body of the output lengths.
    """

    name: str
    service: str
    zones: tuple[tuple[str, str, int, int], ...]
    median_tokens: float
    objective: services_text.Objective

    def engine_count(self) -> int:
        """Return the number of engines in all zones."""
        return sum(zone[2] for zone in self.zones)


DEPLOYMENTS = {
    'nadroga': Deployment(
        'nadroga',
        'shop-assistant',
        (
            ('nadi-yard', 'viti-levu', 2, 3),
            ('sigatoka-yard', 'viti-levu', 2, 2),
            ('savusavu-yard', 'vanua-levu', 1, 2),
        ),
        180.0,
        services_text.Objective(3.0, 1.0, 1.0),
    ),
    'lagotermica': Deployment(
        'lagotermica',
        'quoter',
        (
            ('heredia', 'central', 3, 3),
            ('cartago', 'central', 2, 2),
            ('liberia', 'guanacaste', 1, 2),
        ),
        260.0,
        services_text.Objective(1.0, 1.0, 3.0),
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to come.

    Attributes:
        region: Region in which the balancer hands it to a VM.
        draw: Uniform number by which the VM is chosen.
    """

    name: str
    at_ms: float
    account: str
    priority: states.Priority
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[str, ...]
    deadline_ms: float
    region: str
    vm_draw: float


@dataclasses.dataclass(frozen=True)
class WorkloadVariation:
    """How a workload departs from the usual one.

    Attributes:
        shift_at_ms: When output lengths grow, or None.
        shift_factor: By what factor.
        prompt_factor: Factor on the size of all prompts.
        flood_account: Account that sends more, or None.
        flood_factor: How many times its usual rate.
    """

    shift_at_ms: float | None = None
    shift_factor: float = 2.0
    prompt_factor: float = 1.0
    flood_account: str | None = None
    flood_factor: float = 1.0


def requests(
    deployment: Deployment,
    rate_per_s: float,
    span_ms: float,
    seed: int,
    shape: WorkloadVariation,
) -> list[Request]:
    """Return the requests of one run, in order of time.

    Args:
        deployment: Whose workload.
        rate_per_s: Mean rate without a flood.
        span_ms: Length of the run.
        seed: Seed of all draws.
        shape: Departures from the usual.
    """
    generator = random.Random(f'{deployment.name}/{seed}')
    # Each request is drawn the same whatever the rate, so that runs at
    # several loads differ in their spacing alone.
    shares = list(ACCOUNT_SHARES)
    names = [f'account-{index}' for index in range(len(shares))]
    if shape.flood_account is not None:
        index = names.index(shape.flood_account)
        extra = shares[index] * (shape.flood_factor - 1.0)
        shares[index] += extra
        rate_per_s *= 1.0 + extra
    found = []
    now_ms = 0.0
    extra_in_burst = BURST_MS / BURST_EVERY_MS * (BURST_FACTOR - 1.0)
    quiet_rate = rate_per_s / (1.0 + extra_in_burst)
    while True:
        in_burst = now_ms % BURST_EVERY_MS < BURST_MS
        rate = quiet_rate * (BURST_FACTOR if in_burst else 1.0)
        now_ms += generator.expovariate(rate) * 1_000.0
        if now_ms >= span_ms:
            return found
        account = generator.choices(names, shares)[0]
        found.append(
            _request(deployment, len(found), now_ms, account, generator, shape)
        )


def mean_output_tokens(deployment: Deployment, seed: int) -> float:
    """Return the mean output length of a deployment's requests."""
    generator = random.Random(f'mean/{deployment.name}/{seed}')
    count = 200_000
    lengths = (
        _output_tokens(deployment.median_tokens, generator)
        for _ in range(count)
    )
    return sum(lengths) / count


def _request(
    deployment: Deployment,
    index: int,
    now_ms: float,
    account: str,
    generator: random.Random,
    shape: WorkloadVariation,
) -> Request:
    median = deployment.median_tokens
    if shape.shift_at_ms is not None and now_ms >= shape.shift_at_ms:
        median *= shape.shift_factor
    output = _output_tokens(median, generator)
    own = int(generator.lognormvariate(math.log(200), 0.8))
    if generator.random() < LONG_PROMPT_SHARE:
        own = generator.randint(2_000, 8_000)
    own = max(own, 8)
    template = generator.randrange(TEMPLATES_PER_ACCOUNT)
    batch = generator.random() < BATCH_SHARE
    deadline_ms = BATCH_DEADLINE_MS if batch else INTERACTIVE_DEADLINE_MS
    in_first_region = generator.random() < _first_region_share(deployment)
    region = deployment.zones[0 if in_first_region else -1][1]
    prompt = int((TEMPLATE_TOKENS + own) * shape.prompt_factor) + 1
    return Request(
        name=f'r{index}',
        at_ms=now_ms,
        account=account,
        priority=(
            states.Priority.BATCH if batch else states.Priority.INTERACTIVE
        ),
        prompt_tokens=prompt,
        output_tokens=output,
        prefixes=_prefixes(index, account, template, prompt),
        deadline_ms=now_ms + deadline_ms,
        region=region,
        vm_draw=generator.random(),
    )


def _output_tokens(median: float, generator: random.Random) -> int:
    if generator.random() < TAIL_SHARE:
        length = TAIL_FROM_TOKENS * generator.paretovariate(TAIL_ALPHA)
    else:
        length = generator.lognormvariate(math.log(median), 1.0)
    return max(2, min(MAX_OUTPUT_TOKENS, int(length)))


def _first_region_share(deployment: Deployment) -> float:
    first = deployment.zones[0][1]
    engines = sum(z[2] for z in deployment.zones if z[1] == first)
    return engines / deployment.engine_count()


def _prefixes(
    index: int, account: str, template: int, prompt_tokens: int
) -> tuple[str, ...]:
    prefix_count = prompt_tokens // TOKENS_PER_PREFIX
    shared = min(TEMPLATE_TOKENS // TOKENS_PER_PREFIX, prefix_count)
    common = [f'{account}/{template}/{k}' for k in range(shared)]
    own = [f'r{index}/{k}' for k in range(shared, prefix_count)]
    return tuple(common + own)
