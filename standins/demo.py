"""Demonstration on loopback: an answer survives the loss of its entry VM."""

import collections
import pathlib
import random
import subprocess
import sys
import threading
import time

import typer

from eelgrassknot import clock as clocks
from standins import callers as load
from standins import checkers
from standins import cluster as clusters
from standins import history as histories
from standins import processes
from standins import shapes
from standins import stream_caller

__all__ = ['main']

DIRECTORY = pathlib.Path('run/demo')
STREAM_CALLERS = 5
PLAIN_CALLERS = 3
LOAD_S = 3.0
LONG_ANSWER_TOKENS = 120
TOKENS_BEFORE_KILL = 40
ANSWER_TIMEOUT_S = 60.0
REPORT_TIMEOUT_S = 60.0
DRAIN_TIMEOUT_S = 60.0
SHOWN_TOKENS = 4


def main() -> None:
    """Run the demonstration; exit with 0 if no invariant was violated."""
    _print('starting the stand-ins and three daemons on loopback')
    shape = shapes.minimal(shapes.shape_of('nadroga'))
    with clusters.Cluster(shape, DIRECTORY, seed=1) as cluster:
        cluster.wait_ready()
        for vm, settings in cluster.settings.items():
            zone = settings.availability_zone
            _print(f'  {vm} in {zone} is ready at {settings.listen.callers}')
        history = _run_load(cluster)
        _drain(cluster)
        code = _report(cluster)
    violations = checkers.check(history)
    for violation in violations:
        _print(f'violated: {violation}')
    _print('done' if not violations and code == 0 else 'the demo failed')
    raise typer.Exit(1 if violations else code)


def _run_load(cluster: clusters.Cluster) -> histories.History:
    entry_points = [
        load.EntryPoint(vm, settings.listen.callers)
        for vm, settings in cluster.settings.items()
    ]
    mix = load.Workload(
        'shop-assistant',
        'desk-app',
        '/availability',
        '/bookings',
        tuple(cluster.account_keys.values()),
        mean_tokens=40,
    )
    callers = load.Callers(mix, entry_points, seed=1)
    _print(
        f'{STREAM_CALLERS} callers of shop-assistant and '
        f'{PLAIN_CALLERS} of desk-app for {LOAD_S:g} s'
    )
    callers.start(STREAM_CALLERS, PLAIN_CALLERS)
    time.sleep(LOAD_S)
    answer = _kill_entry_vm(cluster, mix, entry_points, callers)
    time.sleep(LOAD_S)
    callers.stop()
    return _collect_history(cluster, callers, answer)


def _kill_entry_vm(
    cluster: clusters.Cluster,
    mix: load.Workload,
    entry_points: list[load.EntryPoint],
    callers: load.Callers,
) -> histories.StreamRecord:
    first = entry_points[0]
    record = stream_caller.new_record(
        'long-answer',
        LONG_ANSWER_TOKENS,
        clocks.MonotonicClock().now_ms(),
    )
    single = load.Callers(mix, [first], seed=2)
    stream = stream_caller.Stream(single, record, random.Random(2))
    thread = threading.Thread(target=stream.run, args=(mix.keys[0],))
    thread.start()
    _print(f'an answer of {LONG_ANSWER_TOKENS} tokens starts at {first.vm}')
    processes.wait_until(
        lambda: len(record.tokens) >= TOKENS_BEFORE_KILL,
        f'{TOKENS_BEFORE_KILL} tokens',
    )
    _print(f'killing {first.vm} after {len(record.tokens)} tokens')
    single.set_entry_points(entry_points[1:])
    callers.set_entry_points(entry_points[1:])
    cluster.kill(first.vm)
    thread.join(ANSWER_TIMEOUT_S)
    _print_resumption(record)
    return record


def _print_resumption(record: histories.StreamRecord) -> None:
    resumed = next((i for i, t in enumerate(record.tokens) if t.resumed), 0)
    begin = max(0, resumed - SHOWN_TOKENS)
    before = ' '.join(t.text for t in record.tokens[begin:resumed])
    after = ' '.join(
        t.text for t in record.tokens[resumed : resumed + SHOWN_TOKENS]
    )
    _print(f'resumed at {record.vms[-1]}: ... {before} | {after} ...')
    _print(
        f'the caller received {len(record.tokens)} of '
        f'{record.wanted_tokens} tokens; outcome {record.outcome}'
    )


def _collect_history(
    cluster: clusters.Cluster,
    callers: load.Callers,
    answer: histories.StreamRecord,
) -> histories.History:
    history = histories.History(
        streams=[*callers.streams, answer],
        calls=callers.calls,
        executions=_executions(cluster),
    )
    for name, records in (
        ('shop-assistant', history.streams),
        ('desk-app', history.calls),
    ):
        outcomes = collections.Counter(record.outcome for record in records)
        counts = ', '.join(f'{n} {o}' for o, n in sorted(outcomes.items()))
        _print(f'{name}: {len(records)} requests with outcomes: {counts}')
    return history


def _executions(cluster: clusters.Cluster) -> list[histories.Execution]:
    return [
        histories.Execution(
            upstream.vm,
            each['request_id'],
            each['key'],
            each['method'],
            each['at_ms'],
        )
        for upstream in cluster.upstreams.values()
        if upstream.kind.value == 'plain'
        for each in processes.ask_json(
            upstream.child.address, 'GET', '/control/history'
        )['executions']
    ]


def _drain(cluster: clusters.Cluster) -> None:
    """Drain the daemons, so that they write their last report part."""
    _print('draining the remaining daemons')
    left = [vm for vm, child in cluster.daemons.items() if child.is_running]
    for vm in left:
        cluster.terminate(vm)
    for vm in left:
        code = cluster.daemons[vm].process.wait(DRAIN_TIMEOUT_S)
        _print(f'  {vm} exited with code {code}')


def _report(cluster: clusters.Cluster) -> int:
    _print('the report:')
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'eelgrassknot.cli.main',
            '--platform',
            f'http://{cluster.platform.address}',
            'report',
        ],
        timeout=REPORT_TIMEOUT_S,
        check=False,
    ).returncode


def _print(line: str) -> None:
    typer.echo(f'==> {line}')
    sys.stdout.flush()


if __name__ == '__main__':
    typer.run(main)
