"""Short questions and orders to an engine or a plain service."""

import typing

import msgspec
import result

from eelgrassknot import exceptions
from eelgrassknot import http_client
from eelgrassknot import ids
from eelgrassknot.upstreams import messages

__all__ = ['cancel', 'load', 'status']

Answer = typing.TypeVar('Answer')

QUESTION_TIMEOUT_MS = 1_000


def load(
    address: str,
) -> result.Result[messages.LoadAnswer, exceptions.EelgrassknotError]:
    """Ask an upstream for its load."""
    answer = http_client.request(
        'GET', f'http://{address}/load', timeout_ms=QUESTION_TIMEOUT_MS
    )
    return answer.and_then(lambda a: _decode(a, messages.LoadAnswer))


def status(
    address: str, generation: ids.GenerationId
) -> result.Result[messages.EngineStatus | None, exceptions.EelgrassknotError]:
    """Ask an engine, on a new connection, where a generation stands.

    Returns:
        The status, or None if the engine does not know the generation.
    """
    answer = http_client.request(
        'GET',
        f'http://{address}/v1/generations/{generation}/status',
        timeout_ms=QUESTION_TIMEOUT_MS,
        fresh_connection=True,
    )
    match answer:
        case result.Ok(http_client.HttpAnswer(status=404)):
            return result.Ok(None)
        case _:
            return answer.and_then(lambda a: _decode(a, messages.EngineStatus))


def cancel(
    address: str, generation: ids.GenerationId
) -> result.Result[None, exceptions.EelgrassknotError]:
    """Have an engine give up a generation; may be repeated."""
    answer = http_client.request(
        'DELETE',
        f'http://{address}/v1/generations/{generation}',
        timeout_ms=QUESTION_TIMEOUT_MS,
        fresh_connection=True,
    )
    return answer.map(lambda _: None)


def _decode(
    answer: http_client.HttpAnswer, kind: type[Answer]
) -> result.Result[Answer, exceptions.MalformedAnswerError]:
    try:
        return result.Ok(msgspec.json.decode(answer.body, type=kind))
    except msgspec.MsgspecError as error:
        return result.Err(
            exceptions.MalformedAnswerError(
                f'status {answer.status}, unreadable answer: {error}',
                'check the version of the upstream',
            )
        )
