"""Forwards calls to plain services."""

import concurrent.futures
import hashlib
import http
import string
import threading
import urllib.parse

import result
from werkzeug import wrappers

from eelgrassknot import clock as clocks
from eelgrassknot.frontend import claim_part
from eelgrassknot.frontend import context as contexts
from eelgrassknot import http_client
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import messages as policy
from eelgrassknot.requests import claim_messages
from eelgrassknot.requests import plain_call
from eelgrassknot.requests import plain_messages as messages
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = ['call', 'upstream_url']

MAX_KEY_CHARACTERS = 255
QUEUE_POLL_MS = 500.0
PATH_CHARACTERS = "/:@!$&'()*+,;="
"""Characters that a path contains as they are (RFC 3986, section 3.3),
besides letters, digits and ``-._~``."""
KEY_HEADER = 'Idempotency-Key'
_FORWARDED_HEADERS = ('Content-Type', 'Accept', KEY_HEADER)
_STATUSES = {
    states.Outcome.NOT_RUN: http.HTTPStatus.SERVICE_UNAVAILABLE,
    states.Outcome.UNKNOWN: http.HTTPStatus.GATEWAY_TIMEOUT,
    states.Outcome.INVALID: http.HTTPStatus.UNPROCESSABLE_ENTITY,
}
_MESSAGES = {
    states.Outcome.NOT_RUN: (
        'the call was not run and will not be',
        'repeat it, with the same key, after the time in Retry-After',
    ),
    states.Outcome.UNKNOWN: (
        'the call may have run',
        'find out whether it ran before you repeat it with another key',
    ),
    states.Outcome.INVALID: (
        'the key was used for another request',
        'use a new key for a new request',
    ),
}
DEFAULT_RETRY_AFTER_MS = 1_000.0


def call(
    context: contexts.CallContext, service_name: str, path: str
) -> wrappers.Response:
    """Handle a call to a plain service."""
    service = context.text.service(service_name)
    allowed = service_name in context.account.services
    plain = service is not None and service.kind is states.ServiceKind.PLAIN
    if not allowed or not plain:
        return context.refuse(
            404,
            states.Outcome.INVALID,
            'service_not_found',
            f'no plain service {service_name} is open to this account',
            'use a service of the account',
        )
    key = context.http.headers.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_CHARACTERS:
        return context.refuse(
            400,
            states.Outcome.INVALID,
            'key_too_long',
            f'{KEY_HEADER} is longer than {MAX_KEY_CHARACTERS} characters',
            'send a shorter key',
        )
    return _PlainRelay(context, service, path, key).respond()


class _PlainRelay:
    def __init__(
        self,
        context: contexts.CallContext,
        service: services_text.Service,
        path: str,
        key: str,
    ) -> None:
        self.context = context
        self.service = service
        self.clock = context.node.clock
        self.key = key
        self.path = path
        self.body = context.http.get_data()
        self.profile = _profile(context, service)
        self.machine = plain_call.PlainCall(
            context.request,
            _call_class(service, context.http.method, path, key),
            self._deadline_ms(),
            context.node.generator,
        )
        self.queue_ms = 0.0
        self.upstream_ms = 0.0
        self.store_ms = 0.0
        self.bytes_in = 0

    def _deadline_ms(self) -> float:
        latest_ms = self.context.arrived_ms + self.service.timeout_ms
        if self.context.deadline_ms is None:
            return latest_ms
        return min(latest_ms, self.context.deadline_ms)

    def respond(self) -> wrappers.Response:
        end = claim_messages.EndClaim(states.Outcome.UNKNOWN, 'internal')
        try:
            end = self._run()
        finally:
            done = end.outcome is states.Outcome.DONE
            self.context.dispatch.notify(
                policy.RequestEnded(self.profile.request, done)
            )
            self.context.node.hub.publish(self._record(end))
        return self._answer(end)

    def _run(self) -> claim_messages.EndClaim:
        placed = self._submit(policy.RequestArrived(self.profile))
        if isinstance(placed, messages.Refused):
            return _without_claim(self._run_call(placed))
        if self.machine.call_class is not messages.CallClass.KEYED:
            return _without_claim(self._run_call(placed))
        claims: claim_part.ClaimPart = self.context.node.part_set.parts[
            'claims'
        ]
        keyed = claims.create(
            _row_key(self.context.account.client_account, self.key),
            self._request_hash(),
            self.machine.deadline_ms,
        )
        end = claims.run(keyed, lambda: self._run_call(placed))
        self.store_ms = keyed.store_ms
        if end.row is None:
            return end
        answer = claims.read_answer(end.row)
        if answer is None:
            return claim_messages.EndClaim(
                states.Outcome.UNKNOWN, 'answer_unreadable'
            )
        outcome = plain_call.outcome_of(answer)
        return claim_messages.EndClaim(outcome, end.reason, answer)

    def _request_hash(self) -> str:
        digest = hashlib.blake2b(digest_size=16)
        target = f'{self.service.service}/{self.path}?{self._query()}'
        for part in (self.context.http.method, target):
            digest.update(part.encode() + b'\n')
        digest.update(self.body)
        return digest.hexdigest()

    def _query(self) -> str:
        return self.context.http.query_string.decode('latin-1')

    def _run_call(self, event: messages.Event) -> messages.EndCall:
        while True:
            actions = self.machine.handle(event, self.clock.now_ms())
            if not actions:
                event = self._sleep()
                continue
            (action,) = actions
            match action:
                case messages.EndCall():
                    return action
                case messages.Send():
                    event = self._send(action)
                case messages.Place(failed):
                    self.context.dispatch.notify(policy.UpstreamFailed(failed))
                    event = self._submit(
                        policy.RetryRequested(self.profile.request, failed)
                    )

    def _sleep(self) -> messages.Event:
        wait_ms = self.machine.wake_ms() - self.clock.now_ms()
        threading.Event().wait(max(wait_ms, 1.0) / clocks.MS_PER_SECOND)
        return messages.Tick()

    def _submit(
        self, event: policy.RequestArrived | policy.RetryRequested
    ) -> messages.Event:
        started_ms = self.clock.now_ms()
        future = self.context.dispatch.submit(event)
        action = self._await_placement(future)
        self.queue_ms += self.clock.now_ms() - started_ms
        match action:
            case policy.Dispatch(_, upstream, crosses):
                return messages.Placed(upstream, crosses)
            case policy.Refuse(_, reason, retry_after_ms):
                return messages.Refused(reason, retry_after_ms)
        raise TypeError(action)

    def _await_placement(
        self, future: concurrent.futures.Future
    ) -> policy.Action:
        request = self.profile.request
        while True:
            try:
                return future.result(QUEUE_POLL_MS / clocks.MS_PER_SECOND)
            except concurrent.futures.TimeoutError:
                late = self.clock.now_ms() >= self.machine.deadline_ms
                if late or self.context.caller.is_disconnected():
                    self.context.dispatch.cancel(request)
                    reason = states.RefusalReason.DEADLINE
                    return policy.Refuse(
                        request, reason, DEFAULT_RETRY_AFTER_MS
                    )

    def _send(self, action: messages.Send) -> messages.Event:
        url = upstream_url(action.upstream.address, self.path, self._query())
        started_ms = self.clock.now_ms()
        answer = http_client.request(
            self.context.http.method,
            url,
            self.body or None,
            self._headers(),
            timeout_ms=action.timeout_ms,
            # The library also never retries on a new connection.
            fresh_connection=action.needs_new_connection,
        )
        self.upstream_ms += self.clock.now_ms() - started_ms
        match answer:
            case result.Ok(done):
                return messages.Answered(action.attempt, self._to_answer(done))
            case result.Err(error):
                return messages.AttemptFailed(action.attempt, error.bytes_left)

    def _headers(self) -> dict[str, str]:
        given = self.context.http.headers
        headers = {
            name: given[name] for name in _FORWARDED_HEADERS if name in given
        }
        headers['X-Request-Id'] = self.context.request
        return headers

    def _to_answer(self, done: http_client.HttpResponse) -> messages.Answer:
        self.bytes_in += len(done.body)
        echoed = done.headers.get('x-request-id')
        if echoed is not None and echoed != self.context.request:
            http_client.close_connections()
        return messages.Answer(
            done.status,
            done.headers.get('content-type', 'application/json'),
            done.body,
            echoed and ids.RequestId(echoed),
        )

    def _answer(self, end: claim_messages.EndClaim) -> wrappers.Response:
        if end.answer is not None:
            response = wrappers.Response(end.answer.body, end.answer.status)
            response.headers['Content-Type'] = end.answer.content_type
            response.headers['X-Request-Id'] = self.context.request
            response.headers['X-Outcome'] = end.outcome.value
            return response
        message, remedy = _MESSAGES[end.outcome]
        status = _STATUSES[end.outcome]
        if end.reason == states.RefusalReason.ACCOUNT_LIMIT.value:
            status = http.HTTPStatus.TOO_MANY_REQUESTS
        retry_after_ms = None
        if end.outcome is states.Outcome.NOT_RUN:
            retry_after_ms = end.retry_after_ms or DEFAULT_RETRY_AFTER_MS
        return self.context.refuse(
            status, end.outcome, end.reason, message, remedy, retry_after_ms
        )

    def _record(
        self, end: claim_messages.EndClaim
    ) -> kernel_events.PlainCallRecord:
        upstream = self.machine.upstream
        return kernel_events.PlainCallRecord(
            request=self.context.request,
            service=self.service.service,
            client_account=self.context.account.client_account,
            outcome=end.outcome,
            reason=end.reason,
            upstream=upstream and upstream.upstream,
            total_ms=self.clock.now_ms() - self.context.arrived_ms,
            entry_queue_ms=self.queue_ms,
            store_ms=self.store_ms,
            upstream_ms=self.upstream_ms,
            attempts=self.machine.attempt,
            bytes_in=self.bytes_in,
            bytes_out=len(self.body) * self.machine.attempt,
            crossed_regions=self.machine.crosses_region,
        )


def _without_claim(end: messages.EndCall) -> claim_messages.EndClaim:
    return claim_messages.EndClaim(
        end.outcome,
        end.reason,
        answer=end.answer,
        retry_after_ms=end.retry_after_ms,
    )


def upstream_url(address: str, path: str, query: str) -> str:
    """Return the URL of a call.

    Args:
        address: ``IP:port`` of the upstream.
        path: Path without percent-encoding, as WSGI passes it.
        query: Query as the caller sent it, one character for each byte.

    Example:
        >>> upstream_url('10.0.0.1:80', 'a b/é?', 'x=%20')
        'http://10.0.0.1:80/a%20b/%C3%A9%3F?x=%20'
    """
    url = f'http://{address}/{urllib.parse.quote(path, safe=PATH_CHARACTERS)}'
    if query:
        sent = urllib.parse.quote(
            query, safe=string.punctuation, encoding='latin-1'
        )
        url = f'{url}?{sent}'
    return url


def _call_class(
    service: services_text.Service, method: str, path: str, key: str
) -> messages.CallClass:
    if service.is_idempotent(method, f'/{path}'):
        return messages.CallClass.IDEMPOTENT
    if key:
        return messages.CallClass.KEYED
    return messages.CallClass.ONCE


def _row_key(account: ids.ClientAccountId, key: str) -> str:
    return f'{account}.{hashlib.sha256(key.encode()).hexdigest()}'


def _profile(
    context: contexts.CallContext, service: services_text.Service
) -> policy.RequestProfile:
    return policy.RequestProfile(
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
