"""Runs the command line and the platform's stand-in as subprocesses."""

import json
import pathlib
import subprocess
import sys
import urllib.request

from eelgrassknot.settings import example_files
from eelgrassknot.settings import examples

__all__ = ['PlatformProcess', 'run_cli', 'write_example']

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIMEOUT_S = 60


def run_cli(arguments, directory, platform=''):
    """Run the command line and wait for it to exit.

    Args:
        arguments: Command line arguments.
        directory: Working directory.
        platform: URL of the platform, or empty for none.
    """
    chosen = ['--platform', platform] if platform else []
    return subprocess.run(
        [sys.executable, '-m', 'eelgrassknot.cli.main', *chosen, *arguments],
        cwd=directory,
        env={'PYTHONPATH': str(ROOT), 'COLUMNS': '200', 'USER': 'tester'},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def write_example(name, directory):
    """Write an example deployment; return the keys of its accounts."""
    deployment = examples.DEPLOYMENTS.lookup(name)
    example = examples.create(
        deployment, 'http://127.0.0.1:9000', '127.0.0.1', 18_080
    )
    example_files.write(example, directory)
    return example.account_keys


class PlatformProcess:
    """The platform's stand-in on a free port."""

    def __init__(self):
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'standins.platform'],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        address = self.process.stdout.readline().split()[-1]
        self.url = f'http://{address}'

    def send(self, method, path, value):
        """Send a JSON value to the platform's control endpoint."""
        request = urllib.request.Request(
            self.url + path, json.dumps(value).encode(), method=method
        )
        urllib.request.urlopen(request, timeout=TIMEOUT_S).close()

    def stop(self):
        """Terminate the process; kill it if it does not exit in time."""
        self.process.terminate()
        try:
            self.process.wait(TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()
