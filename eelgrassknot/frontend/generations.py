"""Relays generations from engines to callers."""

import collections.abc
import hashlib

import msgspec
from werkzeug import wrappers
import xxhash

from eelgrassknot import exceptions
from eelgrassknot.frontend import context as contexts
from eelgrassknot.frontend import openai
from eelgrassknot import ids
from eelgrassknot.policy import messages as policy
from eelgrassknot import states
from eelgrassknot.upstreams import engine_stream
from eelgrassknot.upstreams import messages as upstream_messages

__all__ = ['generate']

BYTES_PER_TOKEN = 4
PREFIX_STEP_BYTES = 256
MAX_PREFIXES = 64
READ_TIMEOUT_MS = 1_000
MAX_ATTEMPTS = 3


def generate(context: contexts.CallContext, chat: bool) -> wrappers.Response:
    """Answer a request for a completion or a chat's next message."""
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
    relay = _Relay(context, request, chat)
    return relay.respond()


class _Relay:
    def __init__(
        self,
        context: contexts.CallContext,
        request: openai.GenerationRequest,
        chat: bool,
    ) -> None:
        self.context = context
        self.request = request
        self.encoder = openai.AnswerEncoder(
            context.request, request.model, chat
        )
        self.profile = _profile(context, request)
        self.stream: engine_stream.EngineStream | None = None

    def respond(self) -> wrappers.Response:
        dispatch = self.context.dispatch
        action = dispatch.acquire(self.profile)
        for _ in range(MAX_ATTEMPTS):
            match action:
                case policy.Refuse(_, reason, retry_after_ms):
                    return self._refused(reason, retry_after_ms)
                case policy.Dispatch(_, upstream, _):
                    first = self._open(upstream.address)
            if first is not None:
                return self._answer(first)
            dispatch.tell(policy.UpstreamFailed(upstream.upstream))
            action = dispatch.retry(
                policy.RetryRequested(self.profile.request, upstream.upstream)
            )
        return self._refused(states.RefusalReason.RETRY_BUDGET, 1_000)

    def _refused(
        self, reason: states.RefusalReason, retry_after_ms: float
    ) -> wrappers.Response:
        self._end(complete=False)
        return self.context.refuse(
            503,
            states.Outcome.NOT_RUN,
            reason.value,
            'the request was not run',
            'repeat it after the time in Retry-After',
            retry_after_ms,
        )

    def _open(self, address: str) -> list | None:
        body = msgspec.json.encode(
            msgspec.structs.replace(self.request, stream=True)
        )
        headers = {
            'Content-Type': 'application/json',
            'X-Request-Id': self.context.request,
            'X-Generation-Id': ids.random_id(),
            'X-Priority': self.context.priority.value,
        }
        self.stream = engine_stream.EngineStream(
            'POST', f'http://{address}/v1/completions', body, headers
        )
        while True:
            events = self.stream.read(READ_TIMEOUT_MS)
            tokens = [
                e for e in events if isinstance(e, upstream_messages.Token)
            ]
            if tokens:
                return events
            if self.stream.ended:
                self.stream.close()
                return None

    def _answer(self, first: list) -> wrappers.Response:
        if self.request.stream:
            answer = wrappers.Response(
                self._chunks(first), mimetype='text/event-stream'
            )
        else:
            answer = self._whole(first)
        answer.headers['X-Request-Id'] = self.context.request
        return answer

    def _tokens(
        self, events: list
    ) -> collections.abc.Iterator[upstream_messages.Token]:
        complete = False
        tell = self.context.dispatch.tell
        try:
            while True:
                for event in events:
                    match event:
                        case upstream_messages.Token():
                            yield event
                        case upstream_messages.StreamDone():
                            complete = True
                            return
                        case upstream_messages.StreamBroken(error):
                            raise error
                count = len(events)
                tell(policy.TokensProduced(self.profile.request, count))
                events = self.stream.read(READ_TIMEOUT_MS)
        finally:
            self.stream.close()
            self._end(complete)

    def _chunks(self, first: list) -> collections.abc.Iterator[bytes]:
        for token in self._tokens(first):
            data = self.encoder.chunk(token.text, token.finish_reason)
            yield b'data: ' + data + b'\n\n'
        yield b'data: [DONE]\n\n'

    def _whole(self, first: list) -> wrappers.Response:
        tokens = list(self._tokens(first))
        text = ''.join(token.text for token in tokens)
        prompt_tokens = self.profile.prompt_tokens
        usage = openai.Usage(
            prompt_tokens, len(tokens), prompt_tokens + len(tokens)
        )
        body = self.encoder.whole(text, tokens[-1].finish_reason, usage)
        return wrappers.Response(body, mimetype='application/json')

    def _end(self, complete: bool) -> None:
        self.context.dispatch.tell(
            policy.RequestEnded(self.profile.request, complete)
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
