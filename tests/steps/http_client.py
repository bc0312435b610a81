"""Steps for the HTTP client."""

import time

import behave
import result

from eelgrassknot import http_client
from eelgrassknot.upstreams import engine_stream
from eelgrassknot.upstreams import messages
from tests import raw_server

TIMEOUT_MS = 10_000.0
POLL_MS = 50.0


@behave.given('a server that answers {escaped} and closes the connection')
def given_server(context, escaped):
    answer = escaped.replace('\\r', '\r').replace('\\n', '\n').encode()
    context.server = raw_server.RawServer(answer)
    context.add_cleanup(context.server.stop)


@behave.when('a request is sent to it')
def send_request(context):
    context.add_cleanup(http_client.close_connections)
    context.found = http_client.request(
        'POST', f'http://{context.server.address}/x', b'{}'
    )


@behave.then('the response is broken off and bytes of the request were sent')
def is_broken_off(context):
    assert isinstance(context.found, result.Err), context.found
    assert context.found.err_value.bytes_left


@behave.then('the response is {status:d} with the body {body}')
def has_body(context, status, body):
    assert isinstance(context.found, result.Ok), context.found
    assert context.found.ok_value.status == status, context.found
    assert context.found.ok_value.body == body.encode(), context.found


@behave.when('a generation is started there')
def start_generation(context):
    stream = engine_stream.EngineStream(
        'POST', f'http://{context.server.address}/x', b'{}', {}
    )
    context.add_cleanup(stream.close)
    end_s = time.monotonic() + TIMEOUT_MS / 1_000
    context.events = []
    while not context.events and time.monotonic() < end_s:
        context.events = stream.read(POLL_MS)


@behave.then('the stream is broken off and bytes of the request were sent')
def stream_broken(context):
    (event,) = context.events
    assert isinstance(event, messages.StreamBroken), event
    assert event.error.bytes_left
