"""Faulty responses of the servers of the users' platform's stand-in."""

import os
import socket
import struct
import time

from standins import users_http

__all__ = ['FAULTS', 'respond']

EVENTS_BEFORE_FAULT = 5
EVENT_INTERVAL_S = 0.02
READ_TIME_S = 0.1
"""Time for the peer to read what was sent before a reset; s."""

ENDLESS_BLOCK_BYTES = 65_536
ENDLESS_PAUSE_S = 0.001
SLOW_PAUSE_S = 0.05
COMMENT_PAUSE_S = 0.1
LARGE_BODY_BYTES = 2_097_152
BURST_EVENTS = 3_000
LINES_CHUNK = b'x' + b'\n' * 16_002
"""An event without fields and 8,000 blank ones, which count as comments."""
OTHER_REQUEST = 'another-request'

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def respond(handler: users_http.Handler, request: str, fault: str) -> None:
    """Send a faulty response.

    Args:
        handler: Handler of the request.
        request: ID of the request.
        fault: One of ``FAULTS``.
    """
    handler.close_connection = True
    FAULTS[fault](handler, request)


def _send_head(
    handler: users_http.Handler,
    request: str,
    status: int = 200,
    is_signed: bool = True,
) -> None:
    handler.send_response_only(status)
    handler.send_header('Request-Id', request)
    if is_signed:
        handler.send_header('Server-Stamp', f's-{request}')
    handler.end_headers()


def _send_events(
    handler: users_http.Handler, request: str, last_index: int
) -> None:
    """Send the head and events of a stream without a length or chunks."""
    _send_head(handler, request)
    start = int(handler.headers.get('Last-Event-Id', 0))
    for index in range(start + 1, last_index + 1):
        time.sleep(EVENT_INTERVAL_S)
        event = f'id: {index}\ndata: {request} {index}\n\n'
        handler.wfile.write(event.encode())


def _unframed_stream(handler: users_http.Handler, request: str) -> None:
    _send_events(handler, request, 40)


def _head_only(handler: users_http.Handler, request: str) -> None:
    _send_head(handler, request)


def _head_cut(handler: users_http.Handler, request: str) -> None:
    """Close the connection before the blank line that ends the head."""
    handler.send_response_only(200)
    handler.send_header('Request-Id', request)
    handler.send_header('Server-Stamp', f's-{request}')
    handler.flush_headers()


def _blank_lines(handler: users_http.Handler, request: str) -> None:
    _send_head(handler, request)
    handler.wfile.write(b'\n\n')


def _comment_only(handler: users_http.Handler, request: str) -> None:
    _send_head(handler, request)
    handler.wfile.write(b': still here\n\n')


def _stalled_stream(handler: users_http.Handler, request: str) -> None:
    """Send some events, then only comments."""
    _send_events(handler, request, EVENTS_BEFORE_FAULT)
    _send_without_end(handler, b': still here\n\n', COMMENT_PAUSE_S)


def _cut_event(handler: users_http.Handler, request: str) -> None:
    _send_events(handler, request, EVENTS_BEFORE_FAULT)
    handler.wfile.write(b'id: 6\ndata: partial')


def _reset_stream(handler: users_http.Handler, request: str) -> None:
    _send_events(handler, request, EVENTS_BEFORE_FAULT)
    _reset(handler)


def _reset_call(handler: users_http.Handler, request: str) -> None:
    _send_head(handler, request)
    handler.wfile.write(b'answer to ' + request.encode())
    _reset(handler)


def _reset_unanswered(handler: users_http.Handler, request: str) -> None:
    time.sleep(READ_TIME_S)
    _reset(handler)


def _failure(handler: users_http.Handler, request: str) -> None:
    headers = {'Request-Id': request, 'Server-Stamp': f's-{request}'}
    handler.answer(500, headers, b'the engine failed')


def _unsigned_failure(handler: users_http.Handler, request: str) -> None:
    handler.answer(502, {'Request-Id': request}, b'the engine failed')


def _refusal(handler: users_http.Handler, request: str) -> None:
    headers = {'Request-Id': request, 'Not-Executed': '1'}
    handler.answer(503, headers, b'the engine failed')


def _reset(handler: users_http.Handler) -> None:
    time.sleep(READ_TIME_S)
    handler.connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
    )
    # The server would shut the socket down before it closes it.
    os.close(handler.connection.detach())


def _send_without_end(
    handler: users_http.Handler,
    block: bytes = b'x' * ENDLESS_BLOCK_BYTES,
    pause_s: float = ENDLESS_PAUSE_S,
) -> None:
    """Send a block again and again until the peer closes."""
    unended = handler.server.owner.unended
    unended.append(handler)
    try:
        while True:
            handler.wfile.write(block)
            time.sleep(pause_s)
    except OSError:
        unended.remove(handler)


def _endless_head(handler: users_http.Handler, request: str) -> None:
    handler.send_response_only(200)
    handler.send_header('Request-Id', request)
    handler.flush_headers()
    _send_without_end(handler, b'X: x\r\n' * (ENDLESS_BLOCK_BYTES // 6))


def _endless_interim(handler: users_http.Handler, _: str) -> None:
    head = b'HTTP/1.1 102 Processing\r\n\r\n'
    _send_without_end(handler, head * (ENDLESS_BLOCK_BYTES // len(head)))


def _endless_body(handler: users_http.Handler, request: str) -> None:
    _send_head(handler, request, is_signed=False)
    _send_without_end(handler)


def _endless_success(handler: users_http.Handler, request: str) -> None:
    _send_head(handler, request)
    handler.wfile.write(b'x' * LARGE_BODY_BYTES)
    _send_without_end(handler, b'x', SLOW_PAUSE_S)


def _endless_length(handler: users_http.Handler, request: str) -> None:
    handler.send_response_only(200)
    handler.send_header('Request-Id', request)
    handler.send_header('Server-Stamp', f's-{request}')
    handler.send_header('Content-Length', '99999999999')
    handler.end_headers()
    _send_without_end(handler)


def _endless_comments(handler: users_http.Handler, request: str) -> None:
    _send_head(handler, request)
    _send_without_end(handler, b': x\n\n' * (ENDLESS_BLOCK_BYTES // 5))


def _endless_failure(handler: users_http.Handler, request: str) -> None:
    _send_head(handler, request, 500)
    _send_without_end(handler)


def _endless_other(handler: users_http.Handler, _: str) -> None:
    _send_head(handler, OTHER_REQUEST)
    _send_without_end(handler)


def _endless_others(handler: users_http.Handler, _: str) -> None:
    head = f'HTTP/1.1 200 OK\r\nRequest-Id: {OTHER_REQUEST}\r\n'
    other = f'{head}Content-Length: 0\r\n\r\n'.encode()
    _send_without_end(handler, other * (ENDLESS_BLOCK_BYTES // len(other)))


def _endless_event(handler: users_http.Handler, request: str) -> None:
    _send_head(handler, request)
    handler.wfile.write(b'data: ')
    _send_without_end(handler)


def _send_chunked_head(
    handler: users_http.Handler, request: str, status: int = 200
) -> None:
    handler.send_response_only(status)
    handler.send_header('Request-Id', request)
    handler.send_header('Server-Stamp', f's-{request}')
    handler.send_header('Transfer-Encoding', 'chunked')
    handler.end_headers()


def _chunk(data: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(data), data)


def _one_byte_chunks(data: bytes) -> bytes:
    return b''.join(_chunk(bytes([byte])) for byte in data)


def _endless_lines(handler: users_http.Handler, request: str) -> None:
    _send_chunked_head(handler, request)
    handler.wfile.write(_chunk(b'id: 1\ndata: x\n\n'))
    _send_without_end(handler, _chunk(LINES_CHUNK) * 4)


def _endless_tail(handler: users_http.Handler, request: str) -> None:
    """Send a numbered event, then events without a number."""
    _send_events(handler, request, 1)
    _send_without_end(handler, b'data: x\n\n' * (ENDLESS_BLOCK_BYTES // 9))


def _endless_unnumbered(handler: users_http.Handler, request: str) -> None:
    _send_head(handler, request)
    _send_without_end(handler, b'data\n\n' * (ENDLESS_BLOCK_BYTES // 6))


def _endless_tiny_events(handler: users_http.Handler, request: str) -> None:
    _send_chunked_head(handler, request)
    _send_without_end(handler, _one_byte_chunks(b'data: x\n\n') * 1_200)


def _endless_tiny_chunks(handler: users_http.Handler, request: str) -> None:
    _send_chunked_head(handler, request)
    _send_without_end(handler, _one_byte_chunks(b'x') * 10_000)


def _endless_tiny_failure(handler: users_http.Handler, request: str) -> None:
    _send_chunked_head(handler, request, 500)
    _send_without_end(handler, _one_byte_chunks(b'x') * 10_000)


def _event_burst(handler: users_http.Handler, request: str) -> None:
    """Send a complete stream at once."""
    _send_chunked_head(handler, request)
    start = int(handler.headers.get('Last-Event-Id', 0))
    events = b''.join(
        f'id: {index}\ndata: {request} {index}\n\n'.encode()
        for index in range(start + 1, BURST_EVENTS + 1)
    )
    handler.wfile.write(_chunk(events) + b'0\r\n\r\n')


FAULTS = {
    'blank_lines': _blank_lines,
    'comment_only': _comment_only,
    'cut_event': _cut_event,
    'endless_body': _endless_body,
    'endless_comments': _endless_comments,
    'endless_event': _endless_event,
    'endless_failure': _endless_failure,
    'endless_head': _endless_head,
    'endless_interim': _endless_interim,
    'endless_length': _endless_length,
    'endless_lines': _endless_lines,
    'endless_other': _endless_other,
    'endless_others': _endless_others,
    'endless_success': _endless_success,
    'endless_tail': _endless_tail,
    'endless_tiny_chunks': _endless_tiny_chunks,
    'endless_tiny_events': _endless_tiny_events,
    'endless_tiny_failure': _endless_tiny_failure,
    'endless_unnumbered': _endless_unnumbered,
    'event_burst': _event_burst,
    'failure': _failure,
    'head_cut': _head_cut,
    'head_only': _head_only,
    'refusal': _refusal,
    'reset_call': _reset_call,
    'reset_stream': _reset_stream,
    'reset_unanswered': _reset_unanswered,
    'stalled_stream': _stalled_stream,
    'unframed_stream': _unframed_stream,
    'unsigned_failure': _unsigned_failure,
}
