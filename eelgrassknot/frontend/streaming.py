"""Turns the steps of a relay into a streamed or a whole answer."""

import collections.abc
import http

import msgspec
from werkzeug import wrappers

from eelgrassknot.frontend import context as contexts
from eelgrassknot.frontend import errors
from eelgrassknot.frontend import openai
from eelgrassknot.frontend import relay as relays
from eelgrassknot.requests import generation_messages as messages
from eelgrassknot import states

__all__ = ['failure', 'stream', 'whole']

Steps = collections.abc.Iterator[relays.Step]

_DONE = b'data: [DONE]\n\n'
_STATUSES = {
    states.Outcome.NOT_RUN: http.HTTPStatus.SERVICE_UNAVAILABLE,
    states.Outcome.UNKNOWN: http.HTTPStatus.GATEWAY_TIMEOUT,
    states.Outcome.INCOMPLETE: http.HTTPStatus.GATEWAY_TIMEOUT,
    states.Outcome.FAILED: http.HTTPStatus.BAD_GATEWAY,
}
_MESSAGES = {
    states.Outcome.NOT_RUN: (
        'the request was not run and will not be',
        'repeat it after the time in Retry-After',
    ),
    states.Outcome.UNKNOWN: (
        'no whole answer came; the request may have run',
        'repeat it if running it twice does no harm',
    ),
    states.Outcome.INCOMPLETE: (
        'the generation ended early; no more tokens will follow',
        'keep the tokens that came, or begin anew',
    ),
    states.Outcome.FAILED: (
        'the engine refused the request',
        'see the answer of the engine in the message',
    ),
}
_TOO_MANY = states.RefusalReason.ACCOUNT_LIMIT.value
DEFAULT_RETRY_AFTER_MS = 1_000.0


def stream(
    context: contexts.CallContext,
    steps: Steps,
    encoder: openai.AnswerEncoder,
    cursor: collections.abc.Callable[[], str],
) -> wrappers.Response:
    """Return an answer that passes tokens on as they come.

    Args:
        context: The caller's request.
        steps: Steps of the relay; the first is awaited here, so that a
            refusal has its true status.
        encoder: Encodes tokens for the caller.
        cursor: Gives the part that the cursors of the stream share.
    """
    first = next(steps)
    if isinstance(first, messages.EndRequest):
        steps.close()
        if first.outcome is not states.Outcome.DONE:
            return failure(context, first)
        first = []
        steps = iter(())
    answer = wrappers.Response(
        _Chunks(context, first, steps, encoder, cursor()),
        mimetype='text/event-stream',
    )
    answer.headers['X-Request-Id'] = context.request
    answer.headers['Cache-Control'] = 'no-store'
    return answer


class _Chunks:
    """Encodes steps; closing it ends the relay.

    A generator that was never begun would not run its clean-up.
    """

    def __init__(
        self,
        context: contexts.CallContext,
        first: relays.Step,
        steps: Steps,
        encoder: openai.AnswerEncoder,
        cursor: str,
    ) -> None:
        self.steps = steps
        self.chunks = _encode(context, first, steps, encoder, cursor)

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        return self.chunks

    def close(self) -> None:
        """End the relay, whether or not it was finished."""
        self.chunks.close()
        if hasattr(self.steps, 'close'):
            self.steps.close()


def _encode(
    context: contexts.CallContext,
    first: relays.Step,
    steps: Steps,
    encoder: openai.AnswerEncoder,
    cursor: str,
) -> collections.abc.Iterator[bytes]:
    events = encoder.event_encoder(cursor)
    if first:
        yield b''.join([events(token) for token in first])
    for step in steps:
        match step:
            case list():
                yield b''.join([events(token) for token in step])
            case messages.EndRequest(outcome=states.Outcome.DONE):
                yield _DONE
                return
            case messages.EndRequest():
                yield _error_event(context, step)
                return
    yield _DONE


def whole(
    context: contexts.CallContext,
    steps: Steps,
    encoder: openai.AnswerEncoder,
    prompt_tokens: int,
) -> wrappers.Response:
    """Return the whole answer once it is complete."""
    texts: list[str] = []
    for step in steps:
        match step:
            case list():
                texts += [token.text for token in step]
            case messages.DiscardTokens():
                texts.clear()
            case messages.EndRequest(outcome=states.Outcome.DONE):
                reason = states.FinishReason(step.reason)
                break
            case messages.EndRequest():
                steps.close()
                return failure(context, step)
    steps.close()
    usage = openai.Usage(prompt_tokens, len(texts), prompt_tokens + len(texts))
    body = encoder.whole(''.join(texts), reason, usage)
    answer = wrappers.Response(body, mimetype='application/json')
    answer.headers['X-Request-Id'] = context.request
    return answer


def failure(
    context: contexts.CallContext, end: messages.EndRequest
) -> wrappers.Response:
    """Return the answer that tells how a request ended without one."""
    status = _STATUSES[end.outcome]
    if end.reason == _TOO_MANY:
        status = http.HTTPStatus.TOO_MANY_REQUESTS
    retry_after_ms = end.retry_after_ms
    if end.outcome is states.Outcome.NOT_RUN and retry_after_ms is None:
        retry_after_ms = DEFAULT_RETRY_AFTER_MS
    return errors.response(
        end.status or status, _error(context, end), retry_after_ms
    )


def _error(
    context: contexts.CallContext, end: messages.EndRequest
) -> errors.ErrorBody:
    message, remedy = _MESSAGES[end.outcome]
    if end.body:
        message = f'{message}: {end.body.decode(errors="replace")}'
    return errors.ErrorBody(
        type=end.outcome.value,
        code=end.reason,
        message=message,
        remedy=remedy,
        outcome=end.outcome,
        request_id=context.request,
    )


def _error_event(
    context: contexts.CallContext, end: messages.EndRequest
) -> bytes:
    document = errors.ErrorDocument(_error(context, end))
    return b'event: error\ndata: ' + msgspec.json.encode(document) + b'\n\n'
