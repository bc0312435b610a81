"""Time from the acceptance of a text until it is in force on every VM.

Real daemons of three zones run on loopback. Adoption times are taken from
their logs; all processes share the clock of one machine.

Run with ``python -m benchmarks.coordination.in_force --daemons 8``.
"""

import datetime
import re
import statistics
import sys
import time
import typing

import typer

from tests.coordination import deployment

__all__ = ['main']

ZONES = ('z0', 'z1', 'z2')
MAX_IN_FORCE_S = 13.0

_ADOPTED = re.compile(
    r'^time=(?P<time>\S+) .*event=config_adopted version=(?P<version>\d+)',
    re.MULTILINE,
)


def adoption_times(
    cluster: deployment.Deployment, vm: str
) -> dict[int, float]:
    """Return the adoption time of each version in seconds since 1970."""
    times = {}
    for match in _ADOPTED.finditer(cluster.log(vm)):
        moment = datetime.datetime.fromisoformat(match['time'])
        times[int(match['version'])] = moment.timestamp()
    return times


def measure(daemons: int, texts: int) -> list[float]:
    """Return the delays in seconds until each text was in force per VM."""
    cluster = deployment.Deployment()
    try:
        names = [f'v{number}' for number in range(daemons)]
        for number, name in enumerate(names):
            cluster.add(name, ZONES[number % len(ZONES)])
        cluster.list_vms(*names)
        cluster.accept('first')
        cluster.start(*names)
        deployment.wait_for(
            lambda: all(d.is_ready() for d in cluster.daemons.values()), 120
        )
        accepted = {}
        for number in range(texts):
            version = cluster.accept(f'text {number}')
            accepted[version] = time.time()
            time.sleep(2.7)
        deployment.wait_for(
            lambda: all(
                d.version() == version for d in cluster.daemons.values()
            )
        )
        delays = []
        for name in names:
            times = adoption_times(cluster, name)
            for version, at_s in accepted.items():
                # A VM may skip a text that was superseded early.
                later = [t for v, t in times.items() if v >= version]
                delays.append(max(0.0, min(later) - at_s))
        return delays
    finally:
        cluster.close()


def main(
    daemons: typing.Annotated[int, typer.Option()] = 8,
    texts: typing.Annotated[int, typer.Option()] = 10,
) -> None:
    """Print the median and maximum time until a text is in force."""
    delays = measure(daemons, texts)
    print(
        f'{daemons} daemons, {texts} texts: p50'
        f' {statistics.median(delays):.2f} s, max {max(delays):.2f} s'
    )
    sys.exit(1 if max(delays) > MAX_IN_FORCE_S else 0)


if __name__ == '__main__':
    typer.run(main)
