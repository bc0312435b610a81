"""Responses to requests that are not passed to the server."""

import h11
import msgspec

from eelgrassknot import states

__all__ = ['UNAVAILABLE', 'response']

UNAVAILABLE = 503
RETRY_AFTER_S = b'1'
"""Retry-After of a request that is refused for want of memory; s. Callers that
hold memory without progress are refused in this time."""


def response(status: int, reason: str) -> list[h11.Event]:
    """Return the response to a request that has not run and never will.

    Args:
        status: HTTP status code; 503 says that the request may be repeated.
        reason: Why the request is not served.
    """
    headers = [(b'Connection', b'close')]
    error_type = 'invalid_request'
    remedy = 'correct the request and send it anew'
    outcome = states.Outcome.INVALID
    if status == UNAVAILABLE:
        error_type = 'unavailable'
        remedy = 'repeat after the time in Retry-After'
        outcome = states.Outcome.NOT_RUN
        headers += [
            (b'X-Outcome', outcome.value.encode('ascii')),
            (b'Retry-After', RETRY_AFTER_S),
        ]
    body = msgspec.json.encode(
        {
            'error': {
                'type': error_type,
                'message': reason,
                'remedy': remedy,
                'outcome': outcome.value,
            }
        }
    )
    headers += [
        (b'Content-Type', b'application/json'),
        (b'Content-Length', str(len(body)).encode('ascii')),
    ]
    return [
        h11.Response(status_code=status, headers=headers, reason=b''),
        h11.Data(data=body),
        h11.EndOfMessage(),
    ]
