"""The OpenAI-compatible requests and answers of callers."""

import msgspec

from eelgrassknot import exceptions
from eelgrassknot import states

__all__ = [
    'Answer',
    'AnswerEncoder',
    'GenerationRequest',
    'Message',
    'ModelEntry',
    'ModelList',
    'decode_request',
]


class Message(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str | list[dict[str, object]] | None = None


class GenerationRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A request for a completion or for a chat's next message."""

    model: str
    prompt: str | None = None
    messages: list[Message] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False

    def prompt_text(self) -> str:
        """Return all that the engine has to read, as one text."""
        if self.prompt is not None:
            return self.prompt
        parts = [f'{m.role}: {m.content}' for m in self.messages or []]
        return '\n'.join(parts)

    def token_limit(self) -> int | None:
        """Return the caller's bound on the output in tokens."""
        return self.max_tokens or self.max_completion_tokens


class ModelEntry(msgspec.Struct, frozen=True):
    """A service that the account may use, as a model."""

    id: str
    object: str = 'model'
    created: int = 0
    owned_by: str = 'eelgrassknot'


class ModelList(msgspec.Struct, frozen=True):
    """All services that the account may use."""

    data: list[ModelEntry]
    object: str = 'list'


class Usage(msgspec.Struct, frozen=True):
    """Counted tokens."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class _Delta(msgspec.Struct, frozen=True):
    content: str


class _ChatChoice(msgspec.Struct, frozen=True):
    delta: _Delta
    finish_reason: states.FinishReason | None
    index: int = 0


class _TextChoice(msgspec.Struct, frozen=True):
    text: str
    finish_reason: states.FinishReason | None
    index: int = 0


class _ChatMessage(msgspec.Struct, frozen=True):
    content: str
    role: str = 'assistant'


class _MessageChoice(msgspec.Struct, frozen=True):
    message: _ChatMessage
    finish_reason: states.FinishReason | None
    index: int = 0


class Answer(msgspec.Struct, frozen=True):
    """A whole answer or one chunk of a streamed one."""

    id: str
    object: str
    model: str
    choices: list[_ChatChoice | _TextChoice | _MessageChoice]
    created: int = 0
    usage: Usage | None = None


class AnswerEncoder:
    """Encodes the answers to one request.

    Args:
        request_id: Id that each answer carries.
        model: Service that the caller named.
        chat: Whether the request was for a chat.
    """

    def __init__(self, request_id: str, model: str, chat: bool) -> None:
        self.request_id = request_id
        self.model = model
        self.chat = chat
        self.encoder = msgspec.json.Encoder()

    def chunk(
        self, text: str, finish_reason: states.FinishReason | None
    ) -> bytes:
        """Return one streamed chunk as JSON."""
        if self.chat:
            kind = 'chat.completion.chunk'
            choice = _ChatChoice(_Delta(text), finish_reason)
        else:
            kind = 'text_completion'
            choice = _TextChoice(text, finish_reason)
        answer = Answer(self.request_id, kind, self.model, [choice])
        return self.encoder.encode(answer)

    def whole(
        self,
        text: str,
        finish_reason: states.FinishReason | None,
        usage: Usage,
    ) -> bytes:
        """Return the whole answer as JSON."""
        if self.chat:
            kind = 'chat.completion'
            choice = _MessageChoice(_ChatMessage(text), finish_reason)
        else:
            kind = 'text_completion'
            choice = _TextChoice(text, finish_reason)
        answer = Answer(
            self.request_id, kind, self.model, [choice], usage=usage
        )
        return self.encoder.encode(answer)


def decode_request(body: bytes, chat: bool) -> GenerationRequest:
    """Return a caller's request.

    Args:
        body: JSON body of the request.
        chat: Whether it was sent to the chat's path.

    Raises:
        InvalidRequestError: If the body cannot be used.
    """
    try:
        request = msgspec.json.decode(body, type=GenerationRequest)
    except msgspec.MsgspecError as error:
        raise exceptions.InvalidRequestError(
            f'the body cannot be read: {error}', 'send the named field'
        ) from error
    if chat and not request.messages:
        raise exceptions.InvalidRequestError(
            'a chat needs messages', 'send "messages"'
        )
    if not chat and request.prompt is None:
        raise exceptions.InvalidRequestError(
            'a completion needs a prompt', 'send "prompt"'
        )
    return request
