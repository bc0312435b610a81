"""Request parsing and stream encoding of an engine's stand-in."""

import msgspec

from standins import engine_model

__all__ = ['DONE_EVENT', 'prompt_of', 'token_event']

DONE_EVENT = b'data: [DONE]\n\n'


def prompt_of(body: dict) -> str:
    """Return the prompt of a request, or its messages joined by newlines."""
    if 'prompt' in body:
        return str(body['prompt'])
    messages = body.get('messages', [])
    return '\n'.join(str(message.get('content')) for message in messages)


def token_event(state: engine_model.Generation, index: int) -> bytes:
    """Return the stream event of one token."""
    last = index == state.output_tokens - 1
    event = {
        'generation': state.generation,
        'request_id': state.request_id,
        'index': index,
        'text': engine_model.token_text(
            state.request_id, state.generation, index
        ),
        'finish_reason': state.finish_reason if last else None,
    }
    return b'data: ' + msgspec.json.encode(event) + b'\n\n'
