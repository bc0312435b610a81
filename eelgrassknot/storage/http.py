"""Clients of a platform that offers its services as JSON over HTTP."""

import collections.abc
import typing
import urllib.parse

import msgspec
import result

from eelgrassknot import exceptions
from eelgrassknot import http_client
from eelgrassknot import ids
from eelgrassknot.storage import base

__all__ = ['HttpObjects', 'HttpTable', 'HttpVmList', 'create']

READ_TIMEOUT_MS = 2_000
MAX_READ_BYTES = 134_217_728
"""Maximum size of what is read at once, such as a whole document."""
WRITE_TIMEOUT_MS = 3_000

_CONFLICT_STATUSES = (409, 412)


class _Transaction(msgspec.Struct):
    id: str
    conditions: collections.abc.Sequence[base.Condition]
    writes: collections.abc.Sequence[base.Write]


class _RowResponse(msgspec.Struct):
    value: typing.Any
    version: int


class _RowsResponse(msgspec.Struct):
    rows: list[base.Row]


class _ConflictingRow(msgspec.Struct):
    table: str
    key: str
    version: int | None


class _ConflictResponse(msgspec.Struct):
    failed: _ConflictingRow


class _KeysResponse(msgspec.Struct):
    keys: list[str]


class _VmsResponse(msgspec.Struct):
    vms: list[base.VmEntry]


Response = typing.TypeVar('Response')


def _quote(text: str) -> str:
    # Servers treat an encoded slash differently; all accept a plain one.
    return urllib.parse.quote(text, safe='/')


def _decode(
    body: bytes, kind: type[Response]
) -> result.Result[Response, exceptions.MalformedAnswerError]:
    try:
        return result.Ok(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError as error:
        return result.Err(
            exceptions.MalformedAnswerError(
                f'the response of the platform cannot be decoded: {error}',
                'check that the platform URL is right',
            )
        )


def _unavailable(reason: object) -> exceptions.PlatformUnavailableError:
    return exceptions.PlatformUnavailableError(
        f'the platform did not serve the request: {reason}',
        'check the platform and its address, then retry',
    )


def _unknown_outcome(reason: object) -> exceptions.UnknownOutcomeError:
    return exceptions.UnknownOutcomeError(
        f'the outcome of a write to the platform is unknown: {reason}',
        'read the written data back before relying on it',
    )


class _Client:
    """Base class with the requests common to all services.

    Args:
        url: Base URL of the platform.
    """

    def __init__(self, url: str) -> None:
        self.url = url.rstrip('/')

    def _read(
        self, path: str, kind: type[Response]
    ) -> result.Result[Response | None, base.PlatformError]:
        match self._get(path):
            case result.Ok(None):
                return result.Ok(None)
            case result.Ok(body):
                return _decode(body, kind)
            case error:
                return error

    def _get(
        self, path: str
    ) -> result.Result[bytes | None, base.PlatformError]:
        answer = http_client.request(
            'GET',
            self.url + path,
            timeout_ms=READ_TIMEOUT_MS,
            max_body_bytes=MAX_READ_BYTES,
        )
        match answer:
            case result.Ok(http_client.HttpResponse(status=200, body=body)):
                return result.Ok(body)
            case result.Ok(http_client.HttpResponse(status=404)):
                return result.Ok(None)
            case result.Ok(other):
                return result.Err(_unavailable(f'status {other.status}'))
            case result.Err(error):
                return result.Err(_unavailable(error.message))

    def _write(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> result.Result[http_client.HttpResponse, base.PlatformError]:
        answer = http_client.request(
            method,
            self.url + path,
            body,
            headers,
            timeout_ms=WRITE_TIMEOUT_MS,
        )
        match answer:
            case result.Err(error) if not error.bytes_left:
                return result.Err(_unavailable(error.message))
            case result.Err(error):
                return result.Err(_unknown_outcome(error.message))
            case result.Ok(done) if done.status >= 500:
                return result.Err(_unknown_outcome(f'status {done.status}'))
            case _:
                return answer


class HttpTable(_Client):
    """Client of the platform's transactional table."""

    def transact(
        self,
        change: ids.ChangeId,
        conditions: collections.abc.Sequence[base.Condition],
        writes: collections.abc.Sequence[base.Write],
    ) -> result.Result[base.Versions, base.TransactionError]:
        """Write all rows atomically if all conditions are met."""
        body = msgspec.json.encode(_Transaction(change, conditions, writes))
        headers = {'Content-Type': 'application/json'}
        answer = self._write('POST', '/transactions', body, headers)
        match answer:
            case result.Ok(http_client.HttpResponse(status=200, body=body)):
                return _decode(body, base.Versions)
            case result.Ok(http_client.HttpResponse(status=409, body=body)):
                return _decode(body, _ConflictResponse).and_then(_conflict)
            case result.Ok(other):
                return result.Err(_unavailable(f'status {other.status}'))
            case _:
                return answer

    def read_row(
        self, table: str, key: str
    ) -> result.Result[base.Row | None, base.PlatformError]:
        """Return a row, or None if it is absent."""
        path = f'/rows/{_quote(table)}/{_quote(key)}'
        return self._read(path, _RowResponse).map(
            lambda row: row and base.Row(key, row.value, row.version)
        )

    def list_rows(
        self, table: str, prefix: str = '', after: str = '', limit: int = 1000
    ) -> result.Result[list[base.Row], base.PlatformError]:
        """Return rows ordered by key."""
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit}
        )
        path = f'/rows/{_quote(table)}?{query}'
        return self._read(path, _RowsResponse).map(
            lambda answer: answer.rows if answer else []
        )


class HttpObjects(_Client):
    """Client of the platform's object store."""

    def put(
        self, key: str, body: bytes, only_if_absent: bool = False
    ) -> result.Result[None, base.TransactionError]:
        """Store an object."""
        headers = {'If-None-Match': '*'} if only_if_absent else {}
        answer = self._write('PUT', f'/objects/{_quote(key)}', body, headers)
        match answer:
            case result.Ok(done) if done.status in _CONFLICT_STATUSES:
                error = exceptions.RowConflictError('objects', key, None)
                return result.Err(error)
            case result.Ok(done) if done.status >= 300:
                return result.Err(_unavailable(f'status {done.status}'))
            case _:
                return answer.map(lambda _: None)

    def get(self, key: str) -> result.Result[bytes | None, base.PlatformError]:
        """Return an object, or None if it is absent."""
        return self._get(f'/objects/{_quote(key)}')

    def delete(self, key: str) -> result.Result[None, base.PlatformError]:
        """Delete an object if it exists."""
        answer = self._write('DELETE', f'/objects/{_quote(key)}', None, {})
        return answer.map(lambda _: None)

    def list_keys(
        self, prefix: str
    ) -> result.Result[list[str], base.PlatformError]:
        """Return the keys with a prefix."""
        path = f'/objects?prefix={_quote(prefix)}'
        return self._read(path, _KeysResponse).map(
            lambda answer: answer.keys if answer else []
        )


class HttpVmList(_Client):
    """Client of the platform's list of VMs."""

    def list_vms(
        self,
    ) -> result.Result[list[base.VmEntry], base.PlatformError]:
        """Return the platform's current list."""
        return self._read('/vms', _VmsResponse).map(
            lambda answer: answer.vms if answer else []
        )


def _conflict(
    answer: _ConflictResponse,
) -> result.Result[base.Versions, exceptions.RowConflictError]:
    row = answer.failed
    error = exceptions.RowConflictError(row.table, row.key, row.version)
    return result.Err(error)


@base.PLATFORMS.register('http')
def create(url: str) -> base.Platform:
    """Return the clients of the platform at a base URL."""
    return base.Platform(HttpTable(url), HttpObjects(url), HttpVmList(url))
