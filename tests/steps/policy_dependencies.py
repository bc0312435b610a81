"""Steps for services that depend on others."""

import random

import behave
import msgspec

from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.policy import dispatcher
from eelgrassknot.policy import messages
from eelgrassknot.settings import text as services_text
from eelgrassknot import states


def _service(name, depends_on=()):
    return services_text.Service(
        name, states.ServiceKind.PLAIN, depends_on=tuple(depends_on)
    )


@behave.given(
    'services where "{one}" depends on "{two}" and "{two_again}" depends'
    ' on "{three}"'
)
def given_services(context, one, two, two_again, three):
    assert two == two_again
    services = _service(one, [two]), _service(two, [three]), _service(three)
    context.offered_text = services_text.ServicesText('d', (), services, ())
    context.dispatcher = dispatcher.Dispatcher('z', 'r', random.Random(1))
    _withhold(context, ())


def _withhold(context, names):
    text = msgspec.structs.replace(
        context.offered_text, withheld_upstreams=tuple(names)
    )
    context.dispatcher.handle(messages.ConfigChanged(text), 0.0)


@behave.when('live upstreams serve "{names}"')
def serve(context, names):
    upstreams = tuple(
        kernel_events.UpstreamInfo(
            f'vm-{name}',
            name,
            states.ServiceKind.PLAIN,
            '127.0.0.1:1',
            'z',
            'r',
            states.UpstreamState.LIVE,
        )
        for name in names.split()
    )
    context.dispatcher.handle(messages.UpstreamsChanged(upstreams), 0.0)


@behave.when('the upstream of "{name}" is withheld')
def withhold(context, name):
    _withhold(context, [f'vm-{name}'])


@behave.when('nothing is withheld')
def withhold_nothing(context):
    _withhold(context, ())


@behave.then('a request for "{name}" is refused for a dependency')
def refused(context, name):
    assert _reason(context, name) is states.RefusalReason.DEPENDENCY


@behave.then('a request for "{name}" is not refused for a dependency')
def not_refused(context, name):
    assert _reason(context, name) is None


def _reason(context, name):
    profile = messages.RequestProfile(
        'request',
        name,
        states.ServiceKind.PLAIN,
        'account',
        states.Priority.INTERACTIVE,
        0,
        (),
        None,
        None,
    )
    arrived = messages.RequestArrived(profile)
    (action,) = context.dispatcher.handle(arrived, 0.0)
    return getattr(action, 'reason', None)
