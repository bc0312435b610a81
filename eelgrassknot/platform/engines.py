"""Codec of the calls to the engines of the users' platform."""

import h11
import msgspec

from eelgrassknot import decoding
from eelgrassknot import field_values
from eelgrassknot import ids

__all__ = ['decode_kv_transfer', 'encode_kv_transfer']

_OK = 200


class _TransferRequest(msgspec.Struct):
    # Request-Id of the run.
    id: str
    # IP:port of the engine that receives the KV cache.
    to: str
    # Whether the run is stopped first, which closes its stream.
    last: bool


class _TransferResponse(msgspec.Struct):
    handle: str | decoding.Int64
    # Number of events generated so far, not a timestamp.
    created: decoding.Int64 = 0


def encode_kv_transfer(
    address: str, request: ids.RequestId, target: str, stop: bool
) -> tuple[h11.Request, bytes]:
    """Encode the call that copies a run's KV cache to another engine.

    Args:
        address: Engine that runs the request, ``IP:port``.
        request: Identifier of the request.
        target: Engine that receives the copy, ``IP:port``.
        stop: Whether the run is stopped first.
    """
    body = msgspec.json.encode(_TransferRequest(request, target, stop))
    head = h11.Request(
        method='POST',
        target='/api/kv-move',
        headers=[
            ('Host', address),
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ],
    )
    return head, body


def decode_kv_transfer(status: int, body: bytes) -> str | None:
    """Return the handle of the copy, or None if the transfer failed.

    A refusal for lack of memory also contains the handle of the source's
    own copy, but then there is no copy at the target. A copy whose handle no
    header can carry cannot be used.
    """
    if status != _OK:
        return None
    handle = (
        decoding.decode_json(body, _TransferResponse, 'the response')
        .map(lambda found: str(found.handle))
        .unwrap_or('')
    )
    return handle if handle and field_values.is_valid(handle) else None
