"""Decoding of documents and addresses that other programs have written.

Nothing that such a document contains may raise anything but the returned
error, and a decoded number fits into every message to the peers.
"""

import ipaddress
import re
import typing

import msgspec
import result

from eelgrassknot import exceptions

__all__ = [
    'Int64',
    'SmallInt',
    'check_address',
    'decode_json',
    'escape_surrogates',
    'is_http_status',
    'parse_address',
    'parse_digits',
]

MAX_REASON_CHARACTERS = 200
"""Length at which the reason of an error is cut off; documents may be
large."""
MAX_PORT = 65_535
HTTP_STATUSES = range(100, 600)
MAX_DIGITS = 18
"""Number of digits of the longest number that fits into 64 bits with any
digits."""

_SURROGATE_ESCAPE = re.compile(rb'\\u[dD][89a-fA-F]')
# A pair of surrogates, a lone one, or another escape.
_ESCAPE = re.compile(
    rb'\\(?:u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}'
    rb'|u([dD][89a-fA-F][0-9a-fA-F]{2})|.)',
    re.DOTALL,
)

Int64 = typing.Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""An integer that can be encoded in a message to a peer."""
SmallInt = typing.Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31 - 1)]
"""An integer whose sums and products fit into 64 bits."""

Document = typing.TypeVar('Document')


def decode_json(
    document: bytes, kind: type[Document], name: str
) -> result.Result[Document, exceptions.MalformedAnswerError]:
    """Decode a JSON document.

    Args:
        document: The document, which may contain anything.
        kind: Type to decode it into.
        name: What the document is, for the error.

    Example:
        >>> decode_json(b'[1, 2]', list[SmallInt], 'the list').ok_value
        [1, 2]
        >>> decode_json(b'[' * 100_000, list[SmallInt], 'the list').is_err()
        True
    """
    try:
        return result.Ok(msgspec.json.decode(document, type=kind))
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        return result.Err(unreadable(name, str(error)))


def escape_surrogates(document: bytes) -> bytes:
    """Return a JSON document without escapes of lone surrogates.

    The grammar of JSON allows them, but no text in UTF-8 contains one. Each
    is replaced by NUL and its number, so that texts that differ still do.

    Args:
        document: The document, which may contain anything.

    References:
        RFC 8259, "The JavaScript Object Notation (JSON) Data Interchange
        Format", section 8.2.

    Example:
        >>> escape_surrogates(rb'["\\ud800", "\\ud83d\\ude00", "\\\\ud800"]')
        b'["\\\\u0000d800", "\\\\ud83d\\\\ude00", "\\\\\\\\ud800"]'
    """
    if not _SURROGATE_ESCAPE.search(document):
        return document
    return _ESCAPE.sub(_replace_surrogate, document)


def _replace_surrogate(escape: re.Match[bytes]) -> bytes:
    number = escape[1]
    return escape[0] if number is None else rb'\u0000' + number.lower()


def unreadable(name: str, reason: str) -> exceptions.MalformedAnswerError:
    """Return the error for a document that cannot be decoded.

    Args:
        name: What the document is.
        reason: Why it cannot be decoded; cut off if it is long.
    """
    return exceptions.MalformedAnswerError(
        f'{name} cannot be decoded: {reason[:MAX_REASON_CHARACTERS]}',
        'check the program that wrote it',
    )


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the host and port of an ``IP:port`` address, or None.

    A host name is rejected, because looking it up would block.

    Example:
        >>> parse_address('10.0.0.1:80')
        ('10.0.0.1', 80)
        >>> parse_address('10.0.0.1:99999') is None
        True
    """
    host, _, port_text = text.rpartition(':')
    port = parse_digits(port_text)
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    if port is None or not 0 < port <= MAX_PORT:
        return None
    return host, port


def check_address(
    text: str, name: str
) -> result.Result[str, exceptions.MalformedAnswerError]:
    """Return an address unchanged if it is an ``IP:port`` address.

    Args:
        text: The address.
        name: What the document with the address is, for the error.
    """
    if parse_address(text) is None:
        return result.Err(unreadable(name, f'no IP:port address: {text!r}'))
    return result.Ok(text)


def is_http_status(status: int) -> bool:
    """Return whether a number is the status of an HTTP response.

    References:
        RFC 9110, "HTTP Semantics", section 15.

    Example:
        >>> is_http_status(599), is_http_status(0), is_http_status(700)
        (True, False, False)
    """
    return status in HTTP_STATUSES


def parse_digits(text: str) -> int | None:
    """Return a number written with at most 18 ASCII digits, or None.

    Example:
        >>> parse_digits('80'), parse_digits('8_0'), parse_digits('-1')
        (80, None, None)
    """
    if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS:
        return int(text)
    return None
