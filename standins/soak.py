"""Soak test: seeded fault rounds with real processes for a given time."""

import collections
import pathlib
import random
import time
import typing

import typer

from standins import checkers
from standins import rounds
from standins import shapes
from standins import verdict as verdicts

__all__ = ['main', 'soak']

DIRECTORY = pathlib.Path('run/soak')
MAX_SEED = 1_000_000
SHOWN_VIOLATIONS = 10


def soak(
    minutes: float, seed: int, daemon_module: str
) -> list[verdicts.RoundResult]:
    """Run rounds until a time limit.

    Args:
        minutes: Time after which no further round is started.
        seed: Seed from which the seeds of the rounds are drawn.
        daemon_module: Module that is run as the daemon.
    """
    generator = random.Random(seed)
    until_s = time.monotonic() + minutes * 60
    outcomes = []
    while time.monotonic() < until_s:
        round_seed = generator.randrange(MAX_SEED)
        one = rounds.Round(round_seed, DIRECTORY, daemon_module=daemon_module)
        outcomes.append(_run(one))
    return outcomes


def _run(one: rounds.Round) -> verdicts.RoundResult:
    verdict = _verdict(one)
    typer.echo(str(verdict))
    for served in verdict.served:
        typer.echo(f'  {served}')
    for violation in verdict.violations[:SHOWN_VIOLATIONS]:
        typer.echo(f'  {violation}')
    if verdict.violations:
        typer.echo(f'  trace: {verdict.trace}/trace.json')
    return verdict


def _verdict(one: rounds.Round) -> verdicts.RoundResult:
    try:
        return one.run()
    except RuntimeError as error:
        # A process that fails to start is reported as a violation and
        # does not stop the soak test.
        start_failure = checkers.Violation('round_runs', 'round', str(error))
        return one.verdict((start_failure,))


def _table(outcomes: list[verdicts.RoundResult]) -> str:
    counts: dict[str, list[int]] = collections.defaultdict(lambda: [0, 0])
    for verdict in outcomes:
        for name in verdict.faults:
            counts[name][0] += 1
            counts[name][1] += len(verdict.violations)
    lines = ['fault | rounds | violations', '--- | --- | ---']
    lines += [f'{n} | {r} | {v}' for n, (r, v) in sorted(counts.items())]
    return '\n'.join(lines)


def main(
    minutes: typing.Annotated[
        float, typer.Option(help='How long to start new rounds.')
    ] = 5.0,
    seed: typing.Annotated[int, typer.Option(help='Seed of the run.')] = 1,
    replay: typing.Annotated[
        int | None, typer.Option(help='Run only the round with this seed.')
    ] = None,
    fault: typing.Annotated[
        list[str] | None, typer.Option(help='Faults instead of random ones.')
    ] = None,
    daemon_module: str = shapes.DAEMON_MODULE,
) -> None:
    """Run seeded fault rounds; exit 1 if an invariant was violated."""
    if replay is not None:
        one = rounds.Round(
            replay, DIRECTORY, tuple(fault or ()), daemon_module
        )
        outcomes = [_run(one)]
    else:
        outcomes = soak(minutes, seed, daemon_module)
    violations = sum(len(verdict.violations) for verdict in outcomes)
    typer.echo(_table(outcomes))
    typer.echo(
        f'soak seed={seed} rounds={len(outcomes)} violations={violations}'
    )
    raise typer.Exit(1 if violations else 0)


if __name__ == '__main__':
    typer.run(main)
