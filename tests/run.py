"""Runs all features; fails on a red scenario that is not known."""

import pathlib
import re
import sys

from behave import configuration
from behave import model_core
from behave import runner as behave_runner

__all__ = ['known_red', 'main']

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'

_ENTRY = re.compile(r'^test: (?P<name>.+)$', re.MULTILINE)
_BAD = ('failed', 'error', 'hook_error', 'cleanup_error', 'undefined')


def known_red() -> set[str]:
    """Return the names of the scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    text = KNOWN_RED.read_text(encoding='utf-8')
    return {match['name'].strip() for match in _ENTRY.finditer(text)}


def main(arguments: list[str]) -> int:
    """Run the features and return the exit code.

    Args:
        arguments: Paths and options for behave; none means all.
    """
    paths = arguments or [str(ROOT / 'tests')]
    config = configuration.Configuration(
        ['--format', 'progress', '--no-skipped', *paths]
    )
    run = behave_runner.Runner(config)
    broken = run.run()
    passed, failed = _sort(run.features)
    return _verdict(passed, failed, broken)


def _sort(features: list) -> tuple[list[str], list[str]]:
    passed = []
    failed = []
    for feature in features:
        for scenario in feature.walk_scenarios():
            status = scenario.status
            if status is model_core.Status.passed:
                passed.append(scenario.name)
            elif status is not model_core.Status.skipped:
                failed.append(scenario.name)
    return passed, failed


def _verdict(passed: list[str], failed: list[str], broken: bool) -> int:
    known = known_red()
    red = [name for name in failed if name not in known]
    for name in failed:
        print(f'{"known red" if name in known else "red"}: {name}')
    for name in known.intersection(passed):
        print(f'known red has turned green, take it off the list: {name}')
    only_known = bool(failed) and not red
    if not passed or (broken and not only_known and not red):
        print('the run itself broke; see above')
        red.append('run')
    print(f'scenarios: {len(passed)} passed, {len(red)} failed')
    return 1 if red else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
