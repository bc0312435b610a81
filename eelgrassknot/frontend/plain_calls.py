"""Relays calls to plain services."""

import result
from werkzeug import wrappers

from eelgrassknot.frontend import context as contexts
from eelgrassknot import http_client
from eelgrassknot import ids
from eelgrassknot.policy import messages as policy
from eelgrassknot import states

__all__ = ['call']

_PASSED_HEADERS = ('Content-Type', 'Accept', 'Idempotency-Key')


def call(
    context: contexts.CallContext, service_name: str, path: str
) -> wrappers.Response:
    """Answer a call to a plain service."""
    service = context.text.service(service_name)
    if service is None or service_name not in context.account.services:
        return context.refuse(
            404,
            states.Outcome.INVALID,
            'service_not_found',
            f'no service {service_name} is open to this account',
            'use a service of the account',
        )
    profile = policy.RequestProfile(
        request=ids.RequestId(ids.random_id()),
        service=service.service,
        kind=states.ServiceKind.PLAIN,
        client_account=context.account.client_account,
        priority=context.priority,
        prompt_tokens=0,
        prefixes=(),
        max_tokens=None,
        deadline_ms=context.deadline_ms,
    )
    action = context.dispatch.submit(policy.RequestArrived(profile)).result()
    try:
        match action:
            case policy.Refuse(_, reason, retry_after_ms):
                return _not_run(context, reason.value, retry_after_ms)
            case policy.Dispatch(_, upstream, _):
                return _send(context, upstream.address, path, service)
    finally:
        context.dispatch.tell(policy.RequestEnded(profile.request, True))


def _send(
    context: contexts.CallContext, address: str, path: str, service
) -> wrappers.Response:
    http = context.http
    headers = {
        name: http.headers[name]
        for name in _PASSED_HEADERS
        if name in http.headers
    }
    headers['X-Request-Id'] = context.request
    query = http.query_string.decode('latin-1')
    url = f'http://{address}/{path}' + (f'?{query}' if query else '')
    answer = http_client.request(
        http.method,
        url,
        http.get_data() or None,
        headers,
        timeout_ms=service.timeout_ms,
        fresh_connection=not service.is_idempotent(http.method, '/' + path),
    )
    match answer:
        case result.Ok(done):
            response = wrappers.Response(done.body, done.status)
            kind = done.headers.get('content-type', 'application/json')
            response.headers['Content-Type'] = kind
            response.headers['X-Request-Id'] = context.request
            return response
        case result.Err(error) if error.bytes_left:
            return context.refuse(
                504,
                states.Outcome.UNKNOWN,
                error.code,
                'no answer came; the call may have run',
                'find out whether it ran before you repeat it',
            )
        case result.Err(error):
            return _not_run(context, error.code, 1_000)


def _not_run(
    context: contexts.CallContext, code: str, retry_after_ms: float
) -> wrappers.Response:
    return context.refuse(
        503,
        states.Outcome.NOT_RUN,
        code,
        'the call was not run',
        'repeat it after the time in Retry-After',
        retry_after_ms,
    )
