"""HTTP listener for callers: routing, authentication and limits."""

import msgspec
import result
from werkzeug import exceptions as http_errors
from werkzeug import routing
from werkzeug import wrappers

from eelgrassknot.frontend import accounts
from eelgrassknot.frontend import caller_connection
from eelgrassknot.frontend import context as contexts
from eelgrassknot.frontend import dispatching
from eelgrassknot.frontend import errors
from eelgrassknot.frontend import generations
from eelgrassknot.frontend import openai
from eelgrassknot.frontend import plain_calls
from eelgrassknot.frontend import relay_part
from eelgrassknot.frontend import resuming
from eelgrassknot.frontend import server
from eelgrassknot import ids
from eelgrassknot.kernel import events
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot import states

__all__ = ['CallersPart']

MAX_BODY_BYTES = 4 * 1024 * 1024
# Each active request occupies one thread, whether it waits or streams.
CALLER_THREADS = 384
MAX_REQUEST_ID_CHARACTERS = 128

_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
_ROUTES = routing.Map(
    [
        routing.Rule(
            '/v1/completions', endpoint='completions', methods=['POST']
        ),
        routing.Rule(
            '/v1/chat/completions', endpoint='chat', methods=['POST']
        ),
        routing.Rule(
            '/v1/generations/<cursor>',
            endpoint='resume',
            methods=['GET', 'DELETE'],
        ),
        routing.Rule('/v1/models', endpoint='models', methods=['GET']),
        routing.Rule(
            '/services/<service>/<path:path>',
            endpoint='plain',
            methods=_METHODS,
        ),
    ],
    merge_slashes=False,
)


@parts.part(
    'callers', after=('dispatch', 'config', 'membership', 'relays', 'claims')
)
class CallersPart(parts.Part):
    """Serves callers, with one server thread per request."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.dispatch: dispatching.DispatchPart | None = None
        self.relays: relay_part.RelayPart | None = None
        self.accounts: accounts.Accounts | None = None
        node.hub.subscribe(events.ConfigAdopted, self._on_config_adopted)
        self.server = server.Server(
            node.settings.listen.callers,
            self.application,
            MAX_BODY_BYTES,
            CALLER_THREADS,
        )

    def bind(self) -> None:
        """Obtain references to the parts that this one uses."""
        self.dispatch = self.node.part_set.parts['dispatch']
        self.relays = self.node.part_set.parts['relays']

    def start(self) -> None:
        """Start listening for callers."""
        self.server.start()

    def drain(self) -> None:
        """Wait until the active requests are finished."""
        self.server.drain()

    def stop(self) -> None:
        """Close the listener."""
        self.server.stop()

    def _on_config_adopted(self, event: events.ConfigAdopted) -> None:
        self.accounts = accounts.Accounts(event.text)

    def application(self, environ, start_response):
        """Handle one request; the WSGI entry point."""
        http = wrappers.Request(environ)
        http.max_content_length = MAX_BODY_BYTES
        request = _request_id(http)
        if self.node.state is states.DaemonState.DRAINING:
            self.server.announce_drain()
        try:
            answer = (
                _draining(request)
                if self.server.refusing
                else self._route(http, request)
            )
        except http_errors.HTTPException as error:
            answer = _http_error(error, request)
        return answer(environ, start_response)

    def _route(
        self, http: wrappers.Request, request: ids.RequestId
    ) -> wrappers.Response:
        endpoint, values = _ROUTES.bind_to_environ(http.environ).match()
        if self.accounts is None:
            return _not_ready(request)
        header = http.headers.get('Authorization', '')
        match self.accounts.authenticate(header):
            case result.Err(error):
                return errors.response(
                    401, _invalid_request(error.code, str(error), request)
                )
            case result.Ok(account):
                pass
        now_ms = self.node.clock.now_ms()
        context = contexts.CallContext(
            node=self.node,
            dispatch=self.dispatch,
            relays=self.relays,
            caller=http.environ[caller_connection.ENVIRON_KEY],
            http=http,
            request=request,
            text=self.node.text,
            account=account,
            priority=contexts.priority(http),
            arrived_ms=now_ms,
            deadline_ms=contexts.deadline_ms(http, now_ms),
        )
        return _answer(context, endpoint, values)


def _answer(
    context: contexts.CallContext, endpoint: str, values: dict[str, str]
) -> wrappers.Response:
    match endpoint:
        case 'completions':
            return generations.generate(context, chat=False)
        case 'chat':
            return generations.generate(context, chat=True)
        case 'resume' if context.http.method == 'DELETE':
            return resuming.cancel(context, values['cursor'])
        case 'resume':
            return resuming.resume(context, values['cursor'])
        case 'models':
            return _models(context)
        case 'plain':
            return plain_calls.call(context, values['service'], values['path'])
    raise http_errors.NotFound()


def _models(context: contexts.CallContext) -> wrappers.Response:
    entries = [
        openai.ModelEntry(service.service)
        for service in context.text.services
        if service.kind is states.ServiceKind.ENGINE
        and service.service in context.account.services
        and context.dispatch.is_available(service.service)
    ]
    body = msgspec.json.encode(openai.ModelList(entries))
    return wrappers.Response(body, mimetype='application/json')


def _request_id(http: wrappers.Request) -> ids.RequestId:
    given = http.headers.get('X-Request-Id', '')
    usable = given.isascii() and given.isprintable()
    if usable and 0 < len(given) <= MAX_REQUEST_ID_CHARACTERS:
        return ids.RequestId(given)
    return ids.RequestId(ids.random_id())


def _invalid_request(
    code: str, message: str, request: ids.RequestId
) -> errors.ErrorBody:
    return errors.ErrorBody(
        type=states.Outcome.INVALID.value,
        code=code,
        message=message,
        remedy='correct the request',
        outcome=states.Outcome.INVALID,
        request_id=request,
    )


def _http_error(
    error: http_errors.HTTPException, request: ids.RequestId
) -> wrappers.Response:
    body = _invalid_request('http', error.description or '', request)
    return errors.response(error.code or 500, body)


def _not_ready(request: ids.RequestId) -> wrappers.Response:
    return _not_run('starting', 'this VM has no services text yet', request)


def _draining(request: ids.RequestId) -> wrappers.Response:
    return _not_run('draining', 'this VM is leaving', request)


def _not_run(
    code: str, message: str, request: ids.RequestId
) -> wrappers.Response:
    body = errors.ErrorBody(
        type=states.Outcome.NOT_RUN.value,
        code=code,
        message=message,
        remedy='repeat the request; another VM may serve it',
        outcome=states.Outcome.NOT_RUN,
        request_id=request,
    )
    return errors.response(503, body, retry_after_ms=1_000)
