"""The operators' listener: health, status, metrics; all read-only."""

import msgspec
import prometheus_client
from werkzeug import exceptions as http_errors
from werkzeug import routing
from werkzeug import wrappers

from eelgrassknot.frontend import server
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot import states

__all__ = ['OperatorsPart']

_ROUTES = routing.Map(
    [
        routing.Rule(f'/{name}', endpoint=name, methods=['GET'])
        for name in ('livez', 'readyz', 'metrics', 'status', 'report')
    ]
)


@parts.part('operators')
class OperatorsPart(parts.Part):
    """Answers operators and the platform's balancer."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.server = server.Server(
            node.settings.listen.operators, self.application
        )

    def start(self) -> None:
        """Listen for operators."""
        self.server.start()

    def stop(self) -> None:
        """Close the listener."""
        self.server.stop()

    def application(self, environ, start_response):
        """Answer one request; this is the WSGI entry point."""
        http = wrappers.Request(environ)
        try:
            endpoint, _ = _ROUTES.bind_to_environ(environ).match()
            answer = self._answer(endpoint, http)
        except http_errors.HTTPException as error:
            answer = error.get_response(environ)
        return answer(environ, start_response)

    def _answer(
        self, endpoint: str, http: wrappers.Request
    ) -> wrappers.Response:
        match endpoint:
            case 'livez':
                return wrappers.Response('live\n')
            case 'readyz':
                return self._ready()
            case 'metrics':
                return wrappers.Response(
                    prometheus_client.generate_latest(),
                    content_type=prometheus_client.CONTENT_TYPE_LATEST,
                )
            case 'status':
                return _json(self.document())
        raise http_errors.NotFound()

    def _ready(self) -> wrappers.Response:
        reasons = self.node.part_set.not_ready_reasons()
        if self.node.state is not states.DaemonState.READY:
            reasons.append(f'the daemon is {self.node.state.value}')
        if reasons:
            return wrappers.Response('\n'.join(reasons) + '\n', 503)
        return wrappers.Response('ready\n')

    def document(self) -> dict[str, object]:
        """Return the status document of the whole node."""
        settings = self.node.settings
        document: dict[str, object] = {
            'vm': settings.vm,
            'incarnation': self.node.incarnation,
            'availability_zone': settings.availability_zone,
            'region': settings.region,
            'state': self.node.state.value,
            'config_version': self.node.text_version,
        }
        document.update(self.node.part_set.status())
        return document


def _json(document: dict[str, object]) -> wrappers.Response:
    body = msgspec.json.encode(document)
    return wrappers.Response(body, mimetype='application/json')
