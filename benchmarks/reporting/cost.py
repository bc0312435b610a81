"""Cost of the report on one node at the target load.

The bounds are the targets for all control functions of a node together:
1.2% of a core, 256 MB and 15 KB per second. Exits with 1 if the report
alone exceeds one of them.
"""

import random
import sys
import time
import tracemalloc

import prometheus_client

from eelgrassknot.reporting import merge
from eelgrassknot.reporting import messages
from eelgrassknot.reporting import metrics
from eelgrassknot.reporting import rows
from tests import reporting_facts

__all__ = ['main']

SEED = 1
REQUESTS_PER_SECOND = 9
TOKENS_PER_REQUEST = 225
GAP_MEAN_MS = 29.0
INTERVAL_S = 60
SCRAPE_S = 15
ACCOUNTS = 4_600
# Time until every account has made one request.
ALL_ACCOUNTS_S = ACCOUNTS / REQUESTS_PER_SECOND
WARM_INTERVALS = 3
READS = 10

MAX_CORE_SHARE = 0.012
MAX_MEMORY_BYTES = 256_000_000
MAX_BYTES_PER_SECOND = 15_000


def main() -> int:
    """Run the benchmark and return the exit code."""
    generator = random.Random(SEED)
    recorder = reporting_facts.vm_recorder()
    facts = [
        _fact(generator, generator.randrange(ACCOUNTS))
        for _ in range(REQUESTS_PER_SECOND * INTERVAL_S)
    ]
    record_s = _record(recorder, facts)
    close_s, part, body = _close(recorder)
    for _ in range(WARM_INTERVALS):
        _record(recorder, facts)
        recorder.close_interval(0)
    scrape_s = _scrape(recorder)
    share = record_s / INTERVAL_S + close_s / INTERVAL_S + scrape_s / SCRAPE_S
    print(f'per recorded generation: {record_s / len(facts) * 1e6:.1f} us')
    per_token = record_s / len(facts) / TOKENS_PER_REQUEST
    print(f'per recorded token gap: {per_token * 1e6:.2f} us')
    print(f'end of an interval, encoded: {close_s * 1e3:.1f} ms')
    print(f'one scrape of the metrics: {scrape_s * 1e3:.1f} ms')
    print(f'object of {len(part.rows)} rows: {len(body)} bytes')
    full_body, memory = _all_accounts(generator)
    print(f'object of {ACCOUNTS} accounts: {len(full_body)} bytes')
    print(f'rows of {ACCOUNTS} accounts in memory: {memory} bytes')
    print(f'reading one object: {_read(body) * 1e3:.1f} ms')
    return _verdict(
        ('share of a core', share, MAX_CORE_SHARE),
        ('bytes a second', len(body) / INTERVAL_S, MAX_BYTES_PER_SECOND),
        (
            'bytes a second, all accounts',
            len(full_body) / ALL_ACCOUNTS_S,
            MAX_BYTES_PER_SECOND,
        ),
        ('bytes in memory', memory, MAX_MEMORY_BYTES),
    )


def _fact(generator: random.Random, account: int):
    gaps = tuple(
        generator.lognormvariate(0, 0.3) * GAP_MEAN_MS
        for _ in range(TOKENS_PER_REQUEST)
    )
    waits = {
        part: generator.expovariate(0.01) for part in reporting_facts.PARTS
    }
    return reporting_facts.generation(
        f'account-{account}',
        **waits,
        first_token_ms=generator.expovariate(0.002),
        token_gaps_ms=gaps,
        tokens_delivered=TOKENS_PER_REQUEST,
        bytes_in=2_000,
        bytes_out=30_000,
        crossed_regions=generator.random() < 0.1,
    )


def _record(recorder, facts: list) -> float:
    started_s = time.process_time()
    for fact in facts:
        recorder.record(fact)
    return time.process_time() - started_s


def _close(recorder) -> tuple[float, rows.IntervalPart, bytes]:
    started_s = time.process_time()
    part = recorder.close_interval(INTERVAL_S * 1_000)
    body = rows.encode(part)
    return time.process_time() - started_s, part, body


def _scrape(recorder) -> float:
    registry = prometheus_client.CollectorRegistry()
    registry.register(metrics.ReportCollector(recorder))
    started_s = time.process_time()
    prometheus_client.generate_latest(registry)
    return time.process_time() - started_s


def _read(body: bytes) -> float:
    merger = merge.Merger(messages.ReportFilter(0, 1))
    started_s = time.process_time()
    for _ in range(READS):
        merger.add(rows.decode(body))
    return (time.process_time() - started_s) / READS


def _all_accounts(generator: random.Random) -> tuple[bytes, int]:
    """Return the object and its memory if every account made a request."""
    facts = [_fact(generator, account) for account in range(ACCOUNTS)]
    tracemalloc.start()
    recorder = reporting_facts.vm_recorder()
    _record(recorder, facts)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return rows.encode(recorder.close_interval(0)), memory


def _verdict(*measured: tuple[str, float, float]) -> int:
    broken = 0
    for name, value, bound in measured:
        is_broken = value > bound
        broken += is_broken
        word = 'BROKEN' if is_broken else 'ok'
        print(f'{name}: {value:.5g} of {bound:.5g} ({word})')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
