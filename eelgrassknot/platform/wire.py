"""HTTP headers of the users' platform."""

import collections.abc
import hashlib
import math
import re

import result

from eelgrassknot import decoding
from eelgrassknot import exceptions
from eelgrassknot import field_values
from eelgrassknot.forwarding import dialect
from eelgrassknot.forwarding import model
from eelgrassknot import ids

__all__ = [
    'READINESS_PATH',
    'response_headers',
    'echoed_request_id',
    'caller_headers',
    'forwarded_headers',
    'is_signed',
    'declares_not_executed',
    'stated_limit',
    'stated_pause_ms',
    'stated_warm_up_ms',
    'states_leaving',
]

Headers = collections.abc.Sequence[tuple[bytes, bytes]]

REQUEST_ID = b'request-id'
# How long the caller will wait from now, in ms; not a point in time.
DEADLINE = b'request-deadline'
# The bare API key, without a scheme.
API_KEY = b'credential'
# Name of the client account that owns the key.
CLIENT_ACCOUNT = b'tenant'
# Number of prompt tokens and *maximum* number of output tokens.
TOKEN_COUNTS = b'token-counts'
PROMPT_PARTS = b'prompt-prefix'
OUTPUT_HINT = b'length-hint'
LAST_EVENT = b'last-event-id'
# ID of the upstream; no other upstream may run the request.
EXPECTED_INSTANCE = b'expect-instance'
# 0 to 9; 0 is the most urgent and 5 the default.
ENGINE_PRIORITY = b'request-priority'
# Engine that maintains an incremental copy of the run's KV cache, IP:port.
KV_BACKUP = b'kv-backup'
# Source of a run's KV cache, IP:port/handle or /request ID.
KV_SOURCE = b'kv-from'
# Signature of the upstream; a response without it is not from the upstream.
SIGNATURE = b'server-stamp'
# Present on a response if the upstream did not execute the request.
NOT_EXECUTED = b'not-executed'
# Requests per second that the upstream takes from all VMs together.
REQUEST_LIMIT = b'server-limit'
# Present with the value 1 in all responses of an upstream that is leaving.
LEAVING = b'server-leaving'
# Time in ms for which an upstream stays cold.
WARM_UP_LEFT = b'warmup-remaining'
# In a 503 response of an upstream: seconds, which may have a fraction, for
# which it wants no request from this VM.
RETRY_AFTER = b'retry-after'

_HOP_BY_HOP = frozenset(
    [
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'content-length',
        b'upgrade',
    ]
)
_NUMBER = re.compile(r'[0-9]+(\.[0-9]+)?')
_RESERVED = frozenset(
    [
        API_KEY,
        CLIENT_ACCOUNT,
        DEADLINE,
        EXPECTED_INSTANCE,
        b'expect-version',
        ENGINE_PRIORITY,
        KV_BACKUP,
        KV_SOURCE,
        b'kv-fetch',
        b'hold',
        b'pin-duration',
    ]
)
MISDIRECTED = 421
TURNED_AWAY = 503
MS_PER_SECOND = 1_000.0
MAX_TOKENS = 2**31
MAX_NAME_CHARACTERS = 64
READINESS_PATH = b'/api/readiness'


def caller_headers(headers: Headers) -> dialect.CallerHeaders:
    """Decode the headers of a caller's request.

    Args:
        headers: Pairs of name and value.
    """
    found = _lowercase_names(headers)
    return dialect.CallerHeaders(
        request=_parse_request_id(found.get(REQUEST_ID)),
        key=_parse_key(found.get(API_KEY)),
        deadline_ms=_parse_float(found.get(DEADLINE)),
        last_event=_parse_int(found.get(LAST_EVENT)),
        generation=_parse_generation(found),
    )


def forwarded_headers(
    raw_headers: Headers, metadata: dialect.ForwardingMetadata
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request to an upstream.

    Args:
        raw_headers: The caller's headers in their original spelling.
        metadata: Metadata to add.

    Raises:
        ValueError: If no header can carry the name of the upstream or of
            the account.
    """
    named = set()
    for name, value in raw_headers:
        if name.lower() == b'connection':
            named.update(part.strip().lower() for part in value.split(b','))
    dropped = _HOP_BY_HOP | _RESERVED | named - {b'host'}
    if metadata.last_event is not None:
        dropped = dropped | {LAST_EVENT}
    kept = [
        (name, value)
        for name, value in raw_headers
        if name.lower() not in dropped
    ]
    remaining = max(1, int(metadata.remaining_ms))
    added = [
        (b'Request-Deadline', str(remaining)),
        (b'Request-Priority', metadata.engine_priority),
        (b'Kv-Backup', metadata.copy_to),
        (b'Last-Event-Id', metadata.last_event),
    ]
    kept += [
        (name, str(value).encode('ascii'))
        for name, value in added
        if value is not None
    ]
    kept.append((b'Expect-Instance', field_values.encode(metadata.upstream)))
    if metadata.continue_from is not None:
        # The name may be that of the run, which is its request ID.
        address, _, name = metadata.continue_from.partition('/')
        source = b'%b/%b' % (
            address.encode('ascii'),
            field_values.encode_opaque(name),
        )
        kept.append((b'Kv-From', source))
    if metadata.account is not None:
        kept.append((b'Tenant', field_values.encode(metadata.account)))
    return kept


def response_headers(raw_headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers of a response that are forwarded to the caller."""
    return [
        (name, value)
        for name, value in raw_headers
        if name.lower() not in _HOP_BY_HOP
    ]


def echoed_request_id(headers: Headers) -> ids.RequestId | None:
    """Return the request ID that a response echoes, or None."""
    return _parse_request_id(_lowercase_names(headers).get(REQUEST_ID))


def is_signed(headers: Headers) -> bool:
    """Return whether a response carries the signature of an upstream."""
    return SIGNATURE in _lowercase_names(headers)


def declares_not_executed(status: int, headers: Headers) -> bool:
    """Return whether a response guarantees that nothing was executed."""
    return status == MISDIRECTED or NOT_EXECUTED in _lowercase_names(headers)


def stated_limit(
    headers: Headers,
) -> result.Result[float | None, exceptions.MalformedAnswerError]:
    """Return the request limit that a response states, or None.

    Args:
        headers: Pairs of name and value.
    """
    stated = _decode_text(_lowercase_names(headers).get(REQUEST_LIMIT))
    if stated is None:
        return result.Ok(None)
    per_s = _parse_float(stated.encode('latin-1'))
    if per_s is None or not math.isfinite(per_s) or per_s < 0:
        return result.Err(
            exceptions.MalformedAnswerError(
                f'the request limit {stated!r} is not a rate',
                'check the upstream; its previous limit stays in force',
            )
        )
    return result.Ok(per_s)


def states_leaving(headers: Headers) -> bool:
    """Return whether a response says that its upstream is leaving."""
    return _decode_text(_lowercase_names(headers).get(LEAVING)) == '1'


def stated_pause_ms(
    status: int, headers: Headers
) -> result.Result[float | None, exceptions.MalformedAnswerError]:
    """Return how long an upstream wants no request, or None.

    Args:
        status: Status of the response.
        headers: Pairs of name and value.
    """
    stated = [
        _decode_text(value)
        for name, value in headers
        if name.lower() == RETRY_AFTER
    ]
    if status != TURNED_AWAY or not stated:
        return result.Ok(None)
    if len(stated) > 1 or not _NUMBER.fullmatch(stated[0]):
        return result.Err(
            decoding.unreadable('the pause', f'no duration: {stated}')
        )
    return result.Ok(float(stated[0]) * MS_PER_SECOND)


def stated_warm_up_ms(
    headers: Headers,
) -> result.Result[float | None, exceptions.MalformedAnswerError]:
    """Return how long an upstream stays cold, or None; in ms.

    Args:
        headers: Pairs of name and value.
    """
    stated = _decode_text(_lowercase_names(headers).get(WARM_UP_LEFT))
    if stated is None:
        return result.Ok(None)
    left_ms = float(stated) if _NUMBER.fullmatch(stated) else math.inf
    if not math.isfinite(left_ms):
        return result.Err(
            decoding.unreadable('the warm-up', f'no duration: {stated!r}')
        )
    return result.Ok(left_ms)


def _lowercase_names(headers: Headers) -> dict[bytes, bytes]:
    return {name.lower(): value for name, value in headers}


def _parse_request_id(value: bytes | None) -> ids.RequestId | None:
    if value is None:
        return None
    return ids.RequestId(field_values.decode_opaque(value))


def _parse_key(value: bytes | None) -> str | None:
    return None if value is None else field_values.decode(value)


def _decode_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode('latin-1').strip()


def _parse_float(value: bytes | None) -> float | None:
    try:
        return None if value is None else float(value)
    except ValueError:
        return None


def _parse_int(value: bytes | None) -> int | None:
    text = _decode_text(value)
    return None if text is None else decoding.parse_digits(text)


def _parse_count(text: str) -> int:
    """Return a number of tokens.

    Raises:
        ValueError: If the text is no number, or one that no engine accepts.
    """
    count = decoding.parse_digits(text.strip())
    if count is None or count > MAX_TOKENS:
        raise ValueError(text)
    return count


def _parse_generation(
    found: dict[bytes, bytes],
) -> model.GenerationProfile | None:
    counts = _decode_text(found.get(TOKEN_COUNTS))
    if counts is None:
        return None
    prompt, _, output = counts.partition(',')
    try:
        return model.GenerationProfile(
            prompt_tokens=_parse_count(prompt),
            max_output_tokens=_parse_count(output),
            output_hint=_parse_int(found.get(OUTPUT_HINT)),
            part_names=_part_names(
                _decode_text(found.get(PROMPT_PARTS)) or ''
            ),
        )
    except ValueError:
        # An opaque request may use the header for another purpose.
        return None


def _part_names(listed: str) -> str:
    """Return the names of a prompt's parts, joined by commas.

    Raises:
        ValueError: If the size of a part is no number of tokens.
    """
    names = []
    for entry in filter(None, listed.split(',')):
        name, _, tokens = entry.strip().partition(':')
        _parse_count(tokens)
        names.append(_bounded_name(name))
    return ','.join(names)


def _bounded_name(name: str) -> str:
    """Return a name, or its hash if it is too long to be kept in tables."""
    if len(name) <= MAX_NAME_CHARACTERS:
        return name
    return hashlib.blake2b(name.encode(), digest_size=16).hexdigest()
