"""Calls to the engines of the users' platform."""

import h11
import msgspec

from eelgrassknot import ids

__all__ = ['decode_kv_transfer', 'encode_kv_transfer']

_OK = 200


class _TransferRequest(msgspec.Struct):
    # Request-Id of the run.
    id: str
    # IP:port of the engine that takes the memory.
    to: str
    # Whether the run stops first; its stream is then closed.
    last: bool


class _TransferResponse(msgspec.Struct):
    handle: str | int
    # Events generated so far, not a time.
    created: int = 0


def encode_kv_transfer(
    address: str, request: ids.RequestId, target: str, stop: bool
) -> tuple[h11.Request, bytes]:
    """Return the call that copies a run's memory to another engine.

    Args:
        address: Engine that runs the request, ``IP:port``.
        request: Identifier of the request.
        target: Engine that takes the copy, ``IP:port``.
        stop: Whether the run stops first.
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
    """Return the name of the copy, or None if there is none.

    A refusal for want of room also names the copy that the source keeps,
    but nothing is at the target then.
    """
    if status != _OK:
        return None
    try:
        return str(msgspec.json.decode(body, type=_TransferResponse).handle)
    except msgspec.MsgspecError:
        return None
