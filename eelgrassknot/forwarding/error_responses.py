"""Error responses of the VM itself, with a remedy and an outcome."""

import msgspec

from eelgrassknot.forwarding import caller_connection
from eelgrassknot import states

__all__ = ['RETRY_ELSEWHERE_MS', 'RETRY_LATER_MS', 'send_error']

RETRY_ELSEWHERE_MS = 500.0
"""Retry-After of a request that this VM cannot serve and others may; ms."""
RETRY_LATER_MS = 60_000.0
"""Retry-After of a request that no VM can send as it is; ms."""

_ERROR_TYPES = {
    400: 'invalid_request',
    401: 'authentication',
    404: 'no_route',
    429: 'rate_limit',
    502: 'upstream',
    503: 'unavailable',
    504: 'timeout',
}
_REMEDIES = {
    400: 'correct the request and send it anew',
    401: 'send a key that the operators have given out',
    404: 'use a host and path that the operators have put in force',
    429: 'repeat after the time in Retry-After',
    502: 'find out whether it was run before you repeat it',
    503: 'repeat after the time in Retry-After',
    504: 'find out whether it was run before you repeat it',
}
_REMEDIES_BY_REASON = {
    'account_not_sendable': (
        'ask the operators to correct the name of the client account'
    ),
    'not_sendable': (
        'send the request with fewer headers, or report it to the operators'
    ),
}


def send_error(
    exchange: caller_connection.Exchange,
    status: int,
    outcome: states.Outcome,
    reason: str,
    retry_after_ms: float | None = None,
) -> None:
    """Send an error response to a request without an upstream response.

    Args:
        exchange: The request.
        status: HTTP status code.
        outcome: Whether the request was executed.
        reason: Error code.
        retry_after_ms: Delay before the caller may retry, or None.
    """
    if exchange.is_over:
        return
    body = msgspec.json.encode(
        {
            'error': {
                'type': _ERROR_TYPES.get(status, 'error'),
                'code': reason,
                'message': f'the request was not served: {reason}',
                'remedy': _REMEDIES_BY_REASON.get(
                    reason, _REMEDIES.get(status, 'see the code')
                ),
                'outcome': outcome.value,
            }
        }
    )
    headers = [
        (b'Content-Type', b'application/json'),
        (b'X-Outcome', outcome.value.encode('ascii')),
    ]
    if retry_after_ms is not None:
        seconds = f'{retry_after_ms / 1000:.2f}'.encode('ascii')
        headers.append((b'Retry-After', seconds))
    exchange.respond(status, headers, body)
