"""Steps for callers of the daemon that the operators do not control."""

import pathlib
import re
import socket

import behave

from eelgrassknot import http_client
from tests import crowd as crowds

BODY_BYTES = 4_194_304
MISSING_BYTES = 65_536
HANG_MS = 30_000
"""A request without a response for this long shows that the daemon hangs."""
KB_PER_MB = 1_000
_HALF_HEAD = b'GET /v1/models HTTP/1.1\r\nHost: a.example\r\nX-Line: '
_BODY = (
    b'POST /v1/completions HTTP/1.1\r\nHost: a.example\r\n'
    b'Content-Length: %d\r\n\r\n' % BODY_BYTES
) + b'b' * (BODY_BYTES - MISSING_BYTES)
_PAYLOADS = {
    'nothing': b'',
    'half a head': _HALF_HEAD,
    'bodies short of their end without a key': _BODY,
}


def _address(context):
    return context.daemon.settings['listen']['callers']


@behave.when('{count:d} callers of the daemon send {what}')
def gather(context, count, what):
    _, _, port = _address(context).rpartition(':')
    context.crowd = crowds.Crowd(int(port), count, lambda _: _PAYLOADS[what])
    context.add_cleanup(context.crowd.close)


@behave.when('those callers of the daemon leave')
def crowd_leaves(context):
    context.crowd.close()


@behave.then('the daemon answers a request for its models')
def models_answered(context):
    url = f'http://{_address(context)}/v1/models'
    answer = http_client.request(
        'GET', url, timeout_ms=HANG_MS, fresh_connection=True
    )
    assert answer.is_ok(), answer.err_value
    # The request has no key.
    assert answer.ok_value.status == 401, answer.ok_value


@behave.then('all of those callers are still connected')
def still_connected(context):
    ended = sum(not _is_connected(each) for each in context.crowd.unsent)
    assert not ended, f'{ended} were closed or answered first'


def _is_connected(stream):
    """Return whether a connection is open and nothing has come on it."""
    try:
        stream.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


@behave.then('the daemon is alive and has stayed under {limit:d} MB')
def memory_bounded(context, limit):
    process = context.daemon.process
    assert process.poll() is None, context.deployment.log('v0')[-2_000:]
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    (peak_kb,) = re.findall(r'VmHWM:\s+(\d+) kB', status)
    print('peak:', peak_kb, 'kB')
    assert int(peak_kb) < limit * KB_PER_MB, f'{peak_kb} kB'
