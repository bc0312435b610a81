"""Codec of the rows of a table that a peer hands over."""

import collections.abc
import zlib

import msgspec
import result

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot import decoding
from eelgrassknot import exceptions
from eelgrassknot.forwarding import row_store

__all__ = ['decode', 'encode']

MAX_TABLE_BYTES = 33_554_432
"""Size beyond which a table is rejected; a quarter of the memory of the
smallest VMs."""


def encode(rows: collections.abc.Iterable[row_store.StoreRow]) -> bytes:
    """Encode rows."""
    entries = [
        messages.RowEntry(row.key, row.value, row.version, row.deleted)
        for row in rows
    ]
    return zlib.compress(msgspec.msgpack.encode(entries))


def decode(
    packed: bytes,
) -> result.Result[
    tuple[row_store.StoreRow, ...], exceptions.MalformedAnswerError
]:
    """Decode rows.

    Args:
        packed: The bytes from a peer, which may be incomplete.
    """
    decompressor = zlib.decompressobj()
    try:
        unpacked = decompressor.decompress(packed, MAX_TABLE_BYTES)
        if not decompressor.eof:
            reason = 'it is incomplete or too large'
            return result.Err(decoding.unreadable('the table', reason))
        entries = msgspec.msgpack.decode(
            unpacked, type=list[messages.RowEntry]
        )
    except (zlib.error, msgspec.MsgspecError, RecursionError) as error:
        return result.Err(decoding.unreadable('the table', str(error)))
    return result.Ok(
        tuple(
            row_store.StoreRow(
                each.key, each.value, each.version, each.deleted
            )
            for each in entries
        )
    )
