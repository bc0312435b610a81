"""Answers requests for completions and chats."""

import hashlib

from werkzeug import wrappers
import xxhash

from eelgrassknot import exceptions
from eelgrassknot.frontend import context as contexts
from eelgrassknot.frontend import openai
from eelgrassknot.frontend import relay as relays
from eelgrassknot.frontend import resuming
from eelgrassknot.frontend import streaming
from eelgrassknot import ids
from eelgrassknot.policy import messages as policy
from eelgrassknot.requests import generation as generation_machine
from eelgrassknot.requests import generation_key
from eelgrassknot.requests import generation_messages as messages
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = ['generate']

BYTES_PER_TOKEN = 4
PREFIX_STEP_BYTES = 256
MAX_PREFIXES = 64


def generate(context: contexts.CallContext, chat: bool) -> wrappers.Response:
    """Answer a request for a completion or a chat's next message."""
    last_event = context.http.headers.get('Last-Event-ID')
    if last_event:
        return resuming.resume(context, last_event)
    try:
        request = openai.decode_request(context.http.get_data(), chat)
    except exceptions.InvalidRequestError as error:
        return context.refuse(
            400,
            states.Outcome.INVALID,
            error.code,
            error.message,
            error.remedy,
        )
    service = context.text.service(request.model)
    allowed = request.model in context.account.services
    if service is None or not allowed:
        return context.refuse(
            404,
            states.Outcome.INVALID,
            'model_not_found',
            f'no service {request.model} is open to this account',
            'ask /v1/models for the services',
        )
    return _relay(context, service, request, chat)


def _relay(
    context: contexts.CallContext,
    service: services_text.Service,
    request: openai.GenerationRequest,
    chat: bool,
) -> wrappers.Response:
    model = request.model if service.model is None else service.model.model
    machine = generation_machine.Generation(
        context.request,
        request.stream,
        context.deadline_ms,
        context.arrived_ms,
    )
    generation = _keyed_generation(context)
    # Who attaches to a generation sees the id of the request that
    # began it.
    machine.checks_request = generation is None
    profile = _profile(context, request)
    prompt_tokens = profile.prompt_tokens
    relay = relays.Relay(
        context,
        context.relays,
        machine,
        profile,
        service.service,
        relays.start_body(request, model),
        generation,
    )
    encoder = openai.AnswerEncoder(context.request, request.model, chat)
    steps = relay.run(_begin(context, relay, generation))
    if request.stream:
        return streaming.stream(
            context,
            steps,
            encoder,
            relay,
            lambda: resuming.sign(context, relay, chat),
        )
    return streaming.whole(context, steps, encoder, prompt_tokens)


def _begin(
    context: contexts.CallContext,
    relay: relays.Relay,
    generation: ids.GenerationId | None,
) -> list[messages.Action]:
    if generation is None:
        return relay.place()
    upstream = context.relays.find_keyed(generation, relay.service)
    if upstream is None:
        return relay.place()
    # A repeat: reads the generation that the first request began.
    relay.profile = None
    return relay.machine.resume(
        upstream, generation, 0, context.node.clock.now_ms()
    )


def _keyed_generation(
    context: contexts.CallContext,
) -> ids.GenerationId | None:
    key = context.http.headers.get('Idempotency-Key')
    if not key:
        return None
    return generation_key.keyed_generation(
        context.account.client_account, key, context.http.get_data()
    )


def _profile(
    context: contexts.CallContext, request: openai.GenerationRequest
) -> policy.RequestProfile:
    prompt = request.prompt_text().encode()
    account = context.account.client_account
    # Two callers may choose the same request id; the key must not clash.
    key = hashlib.blake2b(digest_size=16)
    key.update(f'{account}\n{context.request}\n{ids.random_id()}'.encode())
    return policy.RequestProfile(
        request=ids.RequestId(key.hexdigest()),
        service=ids.ServiceName(request.model),
        kind=states.ServiceKind.ENGINE,
        client_account=account,
        priority=context.priority,
        prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
        prefixes=_prefixes(prompt),
        max_tokens=request.token_limit(),
        deadline_ms=context.deadline_ms,
    )


def _prefixes(prompt: bytes) -> tuple[str, ...]:
    whole = min(len(prompt) // PREFIX_STEP_BYTES, MAX_PREFIXES)
    hasher = xxhash.xxh64()
    prefixes = []
    for step in range(whole):
        start = step * PREFIX_STEP_BYTES
        hasher.update(prompt[start : start + PREFIX_STEP_BYTES])
        prefixes.append(hasher.hexdigest())
    return tuple(prefixes)
