"""Measures the relay: ``python -m benchmarks.relay``.

Requirement: twice one node's share of the target load, 2 x 2,025 tokens/s
and 2 x 9 requests/s, fits on the one core that the interpreter can use.
"""

import dataclasses
import pathlib
import random
import sys
import tempfile
import time

import numpy
import typer

from benchmarks.relay import client
from benchmarks.relay import node as nodes

__all__ = ['main']

TOKENS_PER_SECOND = 2 * 2_025
REQUESTS_PER_SECOND = 2 * 9
CORES = 1.0
TOKENS_EACH_SECOND = 30
IDLE_S = 3.0
SPREAD_S = 1.0
REQUESTS = 200
STREAMS = [60, 120]


@dataclasses.dataclass
class LoadCost:
    """Cost of a number of streams, compared with a direct connection."""

    streams: int
    token_us: float
    tokens_per_second: float
    first_ms: float
    direct_first_ms: float
    gap_p99_ms: float
    direct_gap_p99_ms: float
    stream_kb: float


def _idle_share(node: nodes.BenchmarkNode) -> float:
    before_s = node.cpu_s()
    time.sleep(IDLE_S)
    return (node.cpu_s() - before_s) / IDLE_S


def _measure(
    node: nodes.BenchmarkNode, streams: int, seconds: int, idle: float
) -> LoadCost:
    tokens = seconds * TOKENS_EACH_SECOND
    direct = client.run_streams(
        node.engine, nodes.KEY, streams, tokens, SPREAD_S
    )
    memory_kb = node.memory_kb()
    before_s = node.cpu_s()
    started_s = time.monotonic()
    relayed = client.run_streams(
        node.callers, nodes.KEY, streams, tokens, SPREAD_S
    )
    lasted_s = time.monotonic() - started_s
    spent_s = node.cpu_s() - before_s - idle * lasted_s
    return LoadCost(
        streams=streams,
        token_us=1e6 * spent_s / (streams * tokens),
        tokens_per_second=streams * tokens / lasted_s,
        first_ms=_first_ms(relayed),
        direct_first_ms=_first_ms(direct),
        gap_p99_ms=_gap_p99_ms(relayed),
        direct_gap_p99_ms=_gap_p99_ms(direct),
        stream_kb=(node.memory_kb() - memory_kb) / streams,
    )


def _first_ms(times: list[client.StreamTimes]) -> float:
    return float(numpy.median([one.first_token_ms() for one in times]))


def _gap_p99_ms(times: list[client.StreamTimes]) -> float:
    gaps = [gap for one in times for gap in one.gaps_ms()]
    return float(numpy.percentile(gaps, 99))


def _request_us(node: nodes.BenchmarkNode, idle: float) -> float:
    before_s = node.cpu_s()
    started_s = time.monotonic()
    client.run_streams(node.callers, nodes.KEY, REQUESTS, 1, 5.0)
    lasted_s = time.monotonic() - started_s
    spent_s = node.cpu_s() - before_s - idle * lasted_s
    return 1e6 * spent_s / REQUESTS


def _report(cost: LoadCost) -> None:
    print(
        f'streams={cost.streams} tokens_per_s={cost.tokens_per_second:.0f}'
        f' cpu_us_per_token={cost.token_us:.1f}'
        f' first_token_added_ms={cost.first_ms - cost.direct_first_ms:.1f}'
        f' gap_p99_ms={cost.gap_p99_ms:.1f}'
        f' direct_gap_p99_ms={cost.direct_gap_p99_ms:.1f}'
        f' gap_p99_ratio={cost.gap_p99_ms / cost.direct_gap_p99_ms:.2f}'
        f' kb_per_stream={cost.stream_kb:.0f}'
    )


def main(seconds: int = 8, streams: list[int] | None = None) -> None:
    """Measure, print, and exit with 1 if the requirement is not met."""
    streams = streams or STREAMS
    port = random.SystemRandom().randrange(20_000, 30_000)
    with tempfile.TemporaryDirectory() as folder:
        node = nodes.BenchmarkNode(pathlib.Path(folder), port)
        try:
            idle = _idle_share(node)
            request_us = _request_us(node, idle)
            costs = [_measure(node, n, seconds, idle) for n in streams]
        finally:
            node.end()
    for cost in costs:
        _report(cost)
    token_us = max(cost.token_us for cost in costs)
    cores = (
        idle
        + 1e-6 * token_us * TOKENS_PER_SECOND
        + 1e-6 * request_us * REQUESTS_PER_SECOND
    )
    print(f'idle_share={idle:.4f} cpu_us_per_request={request_us:.0f}')
    print(f'cores_at_twice_the_target={cores:.2f} bound={CORES}')
    sys.exit(0 if cores <= CORES else 1)


if __name__ == '__main__':
    typer.run(main)
