"""Synthetic request facts and recorders for tests."""

import random

from eelgrassknot.kernel import events
from eelgrassknot.reporting import recorder
from eelgrassknot.reporting import rows
from eelgrassknot import states

__all__ = ['generation', 'plain_call', 'random_generation', 'vm_recorder']

PARTS = (
    'entry_queue_ms',
    'limit_ms',
    'engine_queue_ms',
    'prefill_ms',
    'decode_ms',
    'stall_ms',
    'preemption_ms',
    'link_ms',
)


def generation(account='coral-resort', **changes):
    """Return the facts of a generation; unspecified phases are zero."""
    values = {
        'request': 'r1',
        'service': 'shop-assistant',
        'client_account': account,
        'outcome': states.Outcome.DONE,
        'reason': '',
        'upstream': 'e1',
        'upstream_region': 'viti-levu',
        'first_token_ms': None,
        'token_gaps_ms': (),
        'tokens_delivered': 0,
        'tokens_discarded': 0,
        'discard_reason': '',
        'bytes_in': 0,
        'bytes_out': 0,
        'crossed_regions': False,
        **dict.fromkeys(PARTS, 0.0),
        **changes,
    }
    total_ms = sum(values[part] for part in PARTS)
    values.setdefault('total_ms', total_ms)
    return events.GenerationRecord(**values)


def plain_call(account='coral-resort', **changes):
    """Return the facts of a plain call."""
    values = {
        'request': 'r2',
        'service': 'desk-app',
        'client_account': account,
        'outcome': states.Outcome.DONE,
        'reason': '',
        'upstream': 'p1',
        'total_ms': 9.0,
        'entry_queue_ms': 1.0,
        'store_ms': 3.0,
        'upstream_ms': 5.0,
        'attempts': 1,
        'bytes_in': 100,
        'bytes_out': 400,
        'crossed_regions': False,
        **changes,
    }
    return events.PlainCallRecord(**values)


def random_generation(generator: random.Random, account='coral-resort'):
    """Return the facts of a random generation with realistic durations."""
    tokens = int(generator.lognormvariate(5, 1)) + 1
    gaps = tuple(generator.lognormvariate(3.3, 0.3) for _ in range(tokens))
    waits = {part: generator.expovariate(0.01) for part in PARTS}
    waits['decode_ms'] = sum(gaps)
    crossed = generator.random() < 0.2
    replaced = generator.random() < 0.1
    region = 'vanua-levu' if crossed else 'viti-levu'
    return generation(
        account,
        **waits,
        upstream_region=region,
        first_token_ms=waits['engine_queue_ms'] + waits['prefill_ms'],
        token_gaps_ms=gaps,
        tokens_delivered=tokens,
        tokens_discarded=generator.randrange(200) if replaced else 0,
        discard_reason='replaced' if replaced else '',
        bytes_in=2_000,
        bytes_out=tokens * 150,
        crossed_regions=crossed,
    )


def vm_recorder(vm='nadi-1', incarnation='a1', now_ms=0.0):
    """Return a recorder of a VM whose link costs 1 per gigabyte."""
    identity = rows.VmIdentity(
        vm, incarnation, 'nadi-yard', 'viti-levu', '127.0.0.1:1'
    )
    created = recorder.Recorder(identity, now_ms)
    created.price_per_gigabyte = 1.0
    return created
