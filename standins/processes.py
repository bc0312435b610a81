"""Child processes of a test harness, and HTTP requests to them."""

import http.client
import pathlib
import signal
import subprocess
import sys
import time

import msgspec

from eelgrassknot import logs

__all__ = ['Child', 'ask', 'start_standin', 'wait_until']

START_TIMEOUT_S = 30.0
ASK_TIMEOUT_S = 10.0
POLL_S = 0.05
END_TIMEOUT_S = 5.0


class Child:
    """A child process of the test harness.

    Attributes:
        address: ``IP:port`` on which it listens.
        log: Log file with its output.
    """

    def __init__(
        self, name: str, arguments: list[str], log: pathlib.Path
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.log = log
        self.address = ''
        with log.open('ab') as output:
            self.process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, even if it is stopped, and wait for its exit."""
        self.signal(signal.SIGKILL)
        self.process.wait(END_TIMEOUT_S)


def start_standin(
    name: str, arguments: list[str], directory: pathlib.Path
) -> Child:
    """Start a stand-in that prints its listening address."""
    log = directory / f'{name}.log'
    # A log of an earlier run would contain an outdated address.
    log.unlink(missing_ok=True)
    return Child(name, arguments, log)


def wait_listening(child: Child) -> str:
    """Wait for a stand-in to print its address, and return it.

    Raises:
        RuntimeError: If it exited or did not listen in time.
    """

    def printed() -> str:
        if not child.is_running:
            raise RuntimeError(f'{child.name} exited; see {child.log}')
        for line in child.log.read_text(encoding='utf-8').splitlines():
            if line.startswith('listening '):
                return line.split()[1]
        return ''

    child.address = wait_until(printed, f'{child.name} listens')
    return child.address


def wait_until(
    condition, what: str, timeout_s: float = START_TIMEOUT_S
) -> object:
    """Wait for a condition to become true and return its value.

    Raises:
        RuntimeError: If it does not become true in time.
    """
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise RuntimeError(f'timeout after {timeout_s:g} s: {what}')


def ask(
    address: str,
    method: str,
    path: str,
    value: object = None,
    timeout_s: float = ASK_TIMEOUT_S,
) -> tuple[int, bytes]:
    """Send a request with a JSON body.

    Returns:
        Status and body of the answer; status 0 if there was none.
    """
    body = None if value is None else msgspec.json.encode(value)
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b''
    finally:
        connection.close()


def ask_json(
    address: str, method: str, path: str, value: object = None
) -> dict:
    """Send a request and return the JSON answer, or {} on failure."""
    status, body = ask(address, method, path, value)
    if status == 0 or status >= http.client.BAD_REQUEST:
        logs.warning(
            'standin_refused',
            address=address,
            path=path,
            status=status,
            body=body.decode(errors='replace')[:300],
        )
        return {}
    return msgspec.json.decode(body or b'{}')
