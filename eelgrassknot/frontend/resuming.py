"""Goes on with, or cancels, a generation that a cursor names."""

import dataclasses

import result
from werkzeug import wrappers

from eelgrassknot import exceptions
from eelgrassknot.frontend import context as contexts
from eelgrassknot.frontend import openai
from eelgrassknot.frontend import relay as relays
from eelgrassknot.frontend import streaming
from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.requests import cursor as cursors
from eelgrassknot.requests import generation as generations
from eelgrassknot.requests import generation_messages as messages
from eelgrassknot import states

__all__ = ['cancel', 'resume', 'sign']

_RESUMED_INDEX = 1


def sign(
    context: contexts.CallContext, relay: relays.Relay, chat: bool
) -> str:
    """Return the part that the cursors of a relay share."""
    upstream = relay.machine.upstream
    return context.relays.codec.sign(
        cursors.StreamOrigin(
            client_account=context.account.client_account,
            service=relay.service,
            request=context.request,
            generation=relay.machine.generation,
            upstream=upstream.upstream,
            address=upstream.address,
            region=upstream.region,
            vm=context.node.settings.vm,
            chat=chat,
        )
    )


def resume(context: contexts.CallContext, cursor: str) -> wrappers.Response:
    """Pass on the tokens that come after the cursor's.

    Args:
        context: The caller's request.
        cursor: What the caller received as the id of its last event.
    """
    match _decode(context, cursor):
        case result.Err(error):
            return _refuse(context, error)
        case result.Ok(position):
            return _resume(context, position)


def _resume(
    context: contexts.CallContext, position: cursors.Position
) -> wrappers.Response:
    origin = position.origin
    context = dataclasses.replace(context, request=origin.request)
    machine = generations.Generation(
        origin.request, True, context.deadline_ms, context.arrived_ms
    )
    relay = relays.Relay(
        context, context.relays, machine, None, origin.service
    )
    vm = context.node.settings.vm
    if origin.vm != vm:
        context.relays.tell_taken(origin.vm, origin.generation, vm)
    upstream = _upstream(context, origin)
    machine.crosses_region = upstream.region != context.node.settings.region
    actions = machine.resume(
        upstream,
        origin.generation,
        position.index + _RESUMED_INDEX,
        context.node.clock.now_ms(),
    )
    encoder = openai.AnswerEncoder(origin.request, origin.service, origin.chat)
    return streaming.stream(
        context,
        relay.run(actions),
        encoder,
        lambda: sign(context, relay, origin.chat),
    )


def cancel(context: contexts.CallContext, cursor: str) -> wrappers.Response:
    """Cancel the generation that a cursor names."""
    match _decode(context, cursor):
        case result.Err(error):
            return _refuse(context, error)
        case result.Ok(position):
            pass
    origin = position.origin
    context.relays.cancel(
        messages.CancelGeneration(
            _upstream(context, origin), origin.generation, 0.0
        ),
        None,
    )
    answer = wrappers.Response(status=202)
    answer.headers['X-Request-Id'] = origin.request
    return answer


def _decode(
    context: contexts.CallContext, cursor: str
) -> result.Result[cursors.Position, exceptions.InvalidRequestError]:
    account = context.account.client_account
    return context.relays.codec.decode(cursor, account)


def _refuse(
    context: contexts.CallContext, error: exceptions.InvalidRequestError
) -> wrappers.Response:
    return context.refuse(
        404, states.Outcome.INVALID, error.code, error.message, error.remedy
    )


def _upstream(
    context: contexts.CallContext, origin: cursors.StreamOrigin
) -> kernel_events.UpstreamInfo:
    listed = context.relays.find_upstream(origin)
    if listed is not None:
        return listed
    return kernel_events.UpstreamInfo(
        upstream=origin.upstream,
        service=origin.service,
        kind=states.ServiceKind.ENGINE,
        address=origin.address,
        availability_zone=ids.AvailabilityZoneId(''),
        region=origin.region,
        state=states.UpstreamState.LEAVING,
    )
