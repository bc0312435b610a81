"""Processor time and profile of the forwarding path.

Run as ``python -m benchmarks.forwarding_cost calls`` or ``streams``, with
``--profiled`` for a profile. The event loop of the entry VM runs in the main
thread; the stand-in platform and the callers run in other threads, so that
only the loop's processor time is measured and profiled.
"""

import cProfile
import pstats
import threading
import time

import msgspec
import typer

from eelgrassknot import entry
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.kernel import registry
from eelgrassknot import logs
from eelgrassknot.settings import entry as entry_settings
from standins import ports
from standins import users_documents
from standins import users_platform
from tests import entry_process

__all__ = ['main']

CALLS = 2_000
STREAMS = 25
MAX_PROFILE_ROWS = 12


def main(kind: str, profiled: bool = False) -> None:
    """Measure one kind of request; profiling adds to the measured time.

    Args:
        kind: ``calls`` or ``streams``.
        profiled: Whether to print a profile.
    """
    registry.load_plugins('eelgrassknot.platform')
    logs.configure('error')
    count, send = {'calls': (CALLS, _call), 'streams': (STREAMS, _stream)}[
        kind
    ]
    profile = cProfile.Profile() if profiled else None
    cost_ms = _measure(count, send, profile)
    print(f'{kind}: {cost_ms:.3f} ms of a core each, {count} of them')
    if profile is not None:
        stats = pstats.Stats(profile)
        stats.sort_stats('tottime').print_stats(MAX_PROFILE_ROWS)


def _measure(count, send, profile):
    """Return the loop's processor time per request, in ms."""
    platform = users_platform.Platform()
    platform.put_state(users_documents.desired_state(1))
    for number in (1, 2):
        platform.start_upstream(f'd{number}', 'desk')
        platform.start_upstream(f'w{number}', 'writer')
    listeners = dict(
        zip(entry_process.LISTENERS, ports.free_ports(4), strict=True)
    )
    document = users_documents.entry_settings(
        'vm-1', 'z', listeners, platform.address
    )
    settings = msgspec.convert(document, entry_settings.EntrySettings)
    daemon = entry.EntryDaemon(settings, dialects.DIALECTS.lookup('users'))
    caller_thread = threading.Thread(
        target=_send_all, args=(daemon, listeners['callers'], count, send)
    )
    caller_thread.start()
    started_s = time.thread_time()
    if profile is not None:
        profile.enable()
    daemon.run()
    if profile is not None:
        profile.disable()
    cost_ms = (time.thread_time() - started_s) * 1_000 / count
    caller_thread.join()
    platform.stop()
    return cost_ms


def _send_all(daemon, port, count, send):
    try:
        while not daemon.is_ready:
            time.sleep(0.02)
        with entry_process.Caller(port) as caller:
            for number in range(count):
                answer = send(caller, number)
                assert answer.status == 200, answer.status
    finally:
        daemon.loop.call_soon(daemon.loop.stop)


def _headers(number):
    return {'Request-Id': f'q{number}', 'Credential': 'key-one'}


def _call(caller, number):
    return caller.ask('POST', '/book/x', _headers(number), b'x' * 600)


def _stream(caller, number):
    headers = {**_headers(number), 'Token-Counts': '1000,160'}
    return caller.ask('POST', '/write/x', headers, b'x' * 3_000)


if __name__ == '__main__':
    typer.run(main)
