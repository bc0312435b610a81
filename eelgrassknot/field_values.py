"""Texts as values of HTTP header fields.

A text is sent as UTF-8, as JSON documents spell it, and a received value is
read as UTF-8. Both directions use the functions of this module, so that a
name from a document and the same name in a header compare equal.

References:
    RFC 9110, "HTTP Semantics", section 5.5 (field values).
"""

import re

__all__ = [
    'decode',
    'decode_opaque',
    'encode',
    'encode_opaque',
    'is_valid',
]

# No control character but the tab, and no white space at either end.
# Characters beyond ASCII are obs-text.
_VALID = re.compile(
    r'(?:[^\x00-\x20\x7f](?:[^\x00-\x08\x0a-\x1f\x7f]*[^\x00-\x20\x7f])?)?'
)
_SURROGATES = re.compile(r'[\ud800-\udfff]')
_NOT_UTF8 = '\0'
"""Precedes the Latin-1 reading of a value that is not UTF-8. No field value
contains it."""


def is_valid(text: str) -> bool:
    """Return whether a text can be sent as the value of a header field.

    Args:
        text: The text.

    Example:
        >>> is_valid('a b'), is_valid('화성시'), is_valid('a\\r\\nb')
        (True, True, False)
        >>> is_valid(' a'), is_valid('\\ud800')
        (False, False)
    """
    return bool(_VALID.fullmatch(text)) and not _SURROGATES.search(text)


def encode(text: str) -> bytes:
    """Return the bytes that carry a text.

    Args:
        text: The text.

    Raises:
        ValueError: If no field value can carry the text.

    Example:
        >>> encode('é')
        b'\\xc3\\xa9'
    """
    if not is_valid(text):
        raise ValueError(f'no value of a header field: {ascii(text)}')
    return text.encode('utf-8')


def decode(value: bytes) -> str | None:
    """Return the text that a value carries, or None if it is not UTF-8.

    Args:
        value: The value, without the white space around it.

    Example:
        >>> decode(b'\\xc3\\xa9'), decode(b'\\xe9')
        ('é', None)
    """
    try:
        return value.decode('utf-8')
    except UnicodeDecodeError:
        return None


def decode_opaque(value: bytes) -> str:
    """Return a text that identifies a value of any bytes.

    It is the text that the value carries, unless the value is not UTF-8. No
    two values give the same text, and it can be encoded in any document.

    Args:
        value: The value.

    Example:
        >>> decode_opaque(b'\\xc3\\xa9'), decode_opaque(b'\\xe9')
        ('é', '\\x00é')
    """
    text = decode(value)
    return _NOT_UTF8 + value.decode('latin-1') if text is None else text


def encode_opaque(text: str) -> bytes:
    """Return the value that a text from ``decode_opaque`` identifies.

    Args:
        text: The text.

    Example:
        >>> encode_opaque('é'), encode_opaque('\\x00é')
        (b'\\xc3\\xa9', b'\\xe9')
    """
    if text.startswith(_NOT_UTF8):
        return text.removeprefix(_NOT_UTF8).encode('latin-1')
    return text.encode('utf-8')
