"""Steps for the HTTP client."""

import time

import behave
import msgspec
import result

from eelgrassknot.frontend import plain_calls
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


@behave.given('a server that sends {part} over and over')
def given_endless_server(context, part):
    block = b'x' * 65_536
    head = b'HTTP/1.1 200 OK\r\n'
    starts = {
        'a body': (head + b'\r\n', block),
        'a body in chunks': (
            head + b'Transfer-Encoding: chunked\r\n\r\n',
            b'10000\r\n%s\r\n' % block,
        ),
        'an interim response': (
            b'',
            b'HTTP/1.1 102 Processing\r\n\r\n' * 1_000,
        ),
    }
    start, repeated = starts[part]
    context.server = raw_server.RawServer(start, repeated)
    context.add_cleanup(context.server.stop)


@behave.then('the response is broken off as too large')
def is_too_large(context):
    assert isinstance(context.found, result.Err), context.found
    message = context.found.err_value.message
    assert 'too large' in message.lower(), message


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


class _EngineStream(engine_stream.EngineStream):
    """A stream that receives its response from the test."""

    def __init__(self):
        super().__init__('POST', 'http://127.0.0.1:1/x', b'{}', {})
        self.started = True
        self.ended = False
        self.events = []

    def receive_chunks(self, data):
        """Receive each byte as a chunk; return the processor time in s."""
        start_s = time.thread_time()
        for byte in data:
            self._on_body(bytes([byte]))
        return time.thread_time() - start_s


@behave.given('a stream of an engine whose events come in chunks of one byte')
def given_engine_stream(context):
    context.stream = _EngineStream()
    context.add_cleanup(context.stream.close)


@behave.when('events of {short:d} bytes and of {long:d} bytes are received')
def receive_events(context, short, long):
    context.times_s = [
        context.stream.receive_chunks(b'data: ' + b'x' * size + b'\n\n')
        for size in (short, long)
    ]


@behave.then(
    'the longer one took less than {factor:d} times the processor time'
)
def took_less(context, factor):
    short_s, long_s = context.times_s
    assert long_s < factor * short_s, context.times_s


@behave.when('{count:d} events {event} are received')
def receive_same_events(context, count, event):
    context.stream.receive_chunks((event.encode() + b'\n\n') * count)


@behave.then('the stream has been broken off')
def has_been_broken(context):
    (event,) = context.stream.events
    assert isinstance(event, messages.StreamBroken), event
    assert event.error.bytes_left


@behave.when('{count:d} tokens are received')
def receive_tokens(context, count):
    _receive_tokens(context, count, b'')


@behave.when('{count:d} tokens are received, each after {comments:d} comments')
def receive_tokens_and_comments(context, count, comments):
    _receive_tokens(context, count, b': still here\n\n' * comments)


def _receive_tokens(context, count, prefix):
    context.tokens = [
        messages.Token('g', 'r', index, f'word {index}')
        for index in range(count)
    ]
    for token in context.tokens:
        data = b'data: ' + msgspec.json.encode(token) + b'\n\n'
        context.stream.receive_chunks(prefix + data)


@behave.then('all tokens have come in order')
def all_tokens(context):
    assert context.stream.events == context.tokens, context.stream.events[:3]


@behave.when('a request with the header bytes {digits:x} is sent to it')
def send_header(context, digits):
    context.add_cleanup(http_client.close_connections)
    context.value = bytes.fromhex(f'{digits:x}')
    found = http_client.request(
        'GET',
        f'http://{context.server.address}/x',
        headers={'X-Name': context.value.decode('latin-1')},
    )
    assert isinstance(found, result.Ok), found


@behave.then('the server got these bytes')
def got_header(context):
    (received,) = context.server.received
    assert b'\r\nX-Name: %b\r\n' % context.value in received, received


@behave.when(
    'a plain call with the path {path} and the query {query} is sent to a '
    'server'
)
def send_plain_call(context, path, query):
    given_server(context, r'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    context.add_cleanup(http_client.close_connections)
    sent = '' if query == 'none' else query.encode('utf-8').decode('latin-1')
    url = plain_calls.upstream_url(context.server.address, path, sent)
    found = http_client.request('GET', url)
    assert isinstance(found, result.Ok), found


@behave.then('the server got the target {target}')
def got_target(context, target):
    (received,) = context.server.received
    assert received.startswith(f'GET {target} HTTP/1.1'.encode()), received
