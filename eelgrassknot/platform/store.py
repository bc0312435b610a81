"""Client of the users' metadata store: rows and their change feed."""

import base64
import io
import urllib.parse

import msgspec
import pycurl
import result

from eelgrassknot import decoding
from eelgrassknot import exceptions
from eelgrassknot.forwarding import row_store
from eelgrassknot import http_client

__all__ = ['Store']

CONNECT_TIMEOUT_MS = 1_000
"""Timeout for a connection to the store; ms. Four of them fit into the
contact bound."""
READ_TIMEOUT_MS = 2_000
"""Timeout for a short call; ms."""
FEED_MARGIN_MS = 1_500
"""Time that a feed call may take beyond its wait; ms."""
PAGE_ROWS = 500
"""Maximum number of rows in one response; a limit of the platform."""

# Rises by one each time the store is restored from a copy.
_TIMELINE = 'store-era'
_OK = 200
_CONDITION_FAILED = 412
_HISTORY_GONE = 410
_REFUSED = frozenset([429, 503])


class _Row(msgspec.Struct):
    table: str
    key: str
    # base64
    value: str | None = ''
    ver: decoding.Int64 = 0
    part: str = ''
    deleted: bool = False


class _Response(msgspec.Struct, rename='camel'):
    # Newest version of the whole store, not of the rows.
    ver: decoding.Int64
    # The store's monotonic clock, not the time of day.
    now_ms: float = 0.0
    rows: list[_Row] = []
    has_more: bool = False


class Store:
    """Client of the store; each thread needs its own instance.

    Args:
        address: ``IP:port`` of the store.

    Attributes:
        timeline: Timeline of the store in its last response.
    """

    def __init__(self, address: str) -> None:
        self.base = f'http://{address}'
        self.handle: pycurl.Curl | None = None
        self.calls = 0
        self.timeline = 0

    def read_table(
        self, table: str
    ) -> result.Result[row_store.RowPage, row_store.StoreError]:
        """Read all rows of a table; the version is that of the first page.

        Args:
            table: Name of the table.
        """
        rows: list[row_store.StoreRow] = []
        start = ''
        first: _Response | None = None
        while True:
            query = {'table': table, 'part': '', 'limit': PAGE_ROWS}
            if start:
                query['from'] = start
            found = self._query('/api/rows-get', query, READ_TIMEOUT_MS)
            if isinstance(found, result.Err):
                return found
            answer = found.ok_value
            if first is None:
                first, timeline = answer, self.timeline
            elif self.timeline != timeline:
                return result.Err(
                    exceptions.PlatformUnavailableError(
                        'the store was restored while a table was read',
                        'read the table again',
                    )
                )
            rows += [_decode_row(row) for row in answer.rows]
            if not answer.has_more or not answer.rows:
                break
            # The next key in byte order.
            start = answer.rows[-1].key + '\0'
        return result.Ok(
            row_store.RowPage(tuple(rows), first.ver, first.now_ms, timeline)
        )

    def read_feed(
        self, table: str, after: int, wait_ms: float
    ) -> result.Result[row_store.RowPage, row_store.StoreError]:
        """Wait for changes of a table and return them in order.

        Args:
            table: Name of the table.
            after: Version up to which changes are known.
            wait_ms: How long the store may wait for a change.
        """
        query = {
            'table': table,
            'afterRev': after,
            'waitMs': int(wait_ms),
        }
        found = self._query(
            '/api/rows-feed', query, int(wait_ms) + FEED_MARGIN_MS
        )
        return found.map(
            lambda answer: row_store.RowPage(
                tuple(_decode_row(row) for row in answer.rows),
                answer.ver,
                answer.now_ms,
                self.timeline,
            )
        )

    def write_row(
        self, row: row_store.RowKey, value: bytes
    ) -> result.Result[None, row_store.StoreError]:
        """Write a row unconditionally; idempotent."""
        found = self._write_conditionally(row, value, [])
        return found.map(lambda _: None)

    def insert_row(
        self, row: row_store.RowKey, value: bytes
    ) -> result.Result[bool, row_store.StoreError]:
        """Write a row if it is absent; return whether it was written.

        After an unknown outcome the caller must read the row.
        """
        absent = {'table': row.table, 'part': '', 'key': row.key, 'ver': 0}
        found = self._write_conditionally(row, value, [absent])
        if isinstance(found, result.Err) and isinstance(
            found.err_value, row_store.ConditionFailedError
        ):
            return result.Ok(False)
        return found.map(lambda _: True)

    def delete_row(
        self, row: row_store.RowKey
    ) -> result.Result[None, row_store.StoreError]:
        """Delete a row; idempotent."""
        entry = {'table': row.table, 'part': '', 'key': row.key}
        body = {'expectedRev': [], 'writes': [], 'deletes': [entry]}
        found = self._run_transaction(body)
        return found.map(lambda _: None)

    def _write_conditionally(
        self,
        row: row_store.RowKey,
        value: bytes,
        conditions: list[dict[str, object]],
    ) -> result.Result[bytes, row_store.StoreError]:
        entry = {
            'table': row.table,
            'part': '',
            'key': row.key,
            'value': base64.b64encode(value).decode('ascii'),
        }
        return self._run_transaction(
            {'expectedRev': conditions, 'writes': [entry], 'deletes': []}
        )

    def _run_transaction(
        self, body: dict[str, object]
    ) -> result.Result[bytes, row_store.StoreError]:
        return self._call(
            'POST',
            '/api/rows-tx',
            msgspec.json.encode(body),
            READ_TIMEOUT_MS,
        )

    def _query(
        self, path: str, query: dict[str, object], timeout_ms: int
    ) -> result.Result[_Response, row_store.StoreError]:
        target = f'{path}?{urllib.parse.urlencode(query)}'
        found = self._call('GET', target, None, timeout_ms)
        return found.and_then(_decode_response)

    def _call(
        self,
        method: str,
        target: str,
        body: bytes | None,
        timeout_ms: int,
    ) -> result.Result[bytes, row_store.StoreError]:
        self.calls += 1
        if self.handle is None:
            self.handle = pycurl.Curl()
        handle = self.handle
        received = io.BytesIO()
        header_lines: list[bytes] = []
        handle.setopt(pycurl.URL, self.base + target)
        handle.setopt(pycurl.CUSTOMREQUEST, method)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        handle.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        handle.setopt(pycurl.WRITEFUNCTION, received.write)
        handle.setopt(pycurl.HEADERFUNCTION, header_lines.append)
        handle.setopt(pycurl.HTTPHEADER, ['Content-Type: application/json'])
        if body is not None:
            handle.setopt(pycurl.POSTFIELDS, body)
        else:
            handle.setopt(pycurl.HTTPGET, 1)
        try:
            handle.perform()
        except pycurl.error as error:
            self._discard_handle()
            return result.Err(_transport_error(*error.args, body is not None))
        if not http_client.is_head_complete(header_lines):
            self._discard_handle()
            return result.Err(
                _transport_error(
                    pycurl.E_RECV_ERROR,
                    'the response ended within its head',
                    body is not None,
                )
            )
        self._record_timeline(header_lines)
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        return _check_status(status, received.getvalue())

    def _record_timeline(self, header_lines: list[bytes]) -> None:
        stated = http_client.parse_headers(header_lines).get(_TIMELINE, '')
        timeline = decoding.parse_digits(stated)
        if timeline is not None:
            self.timeline = timeline

    def _discard_handle(self) -> None:
        # A connection on which a response was lost must not be reused.
        self.handle.close()
        self.handle = None


def _transport_error(
    code: int, reason: str, is_write: bool
) -> row_store.StoreError:
    if is_write and code != pycurl.E_COULDNT_CONNECT:
        return exceptions.UnknownOutcomeError(
            f'no response to a write: {reason}',
            'read the row back before relying on it',
        )
    return exceptions.PlatformUnavailableError(
        f'the store is unreachable: {reason}',
        'wait for the store; the known state remains in use',
    )


def _check_status(
    status: int, body: bytes
) -> result.Result[bytes, row_store.StoreError]:
    if status == _OK:
        return result.Ok(body)
    if status == _HISTORY_GONE:
        return result.Err(
            row_store.HistoryGoneError(
                'the store no longer has the requested changes',
                'read the whole table again',
            )
        )
    if status == _CONDITION_FAILED:
        return result.Err(
            row_store.ConditionFailedError(
                'the condition of a write was not met; nothing was written',
                'read the row again and retry',
            )
        )
    if status in _REFUSED:
        return result.Err(
            exceptions.PlatformUnavailableError(
                f'the store rejected the call with status {status}',
                'call again later and less often',
            )
        )
    return result.Err(
        exceptions.MalformedAnswerError(
            f'unexpected status {status} from the store: {body[:80]!r}',
            'check that the address is the store of this deployment',
        )
    )


def _decode_response(
    body: bytes,
) -> result.Result[_Response, row_store.StoreError]:
    # A key that another program wrote may contain a lone surrogate.
    document = decoding.escape_surrogates(body)
    return decoding.decode_json(document, _Response, "the store's response")


def _decode_row(row: _Row) -> row_store.StoreRow:
    try:
        value = base64.b64decode(row.value or '', validate=True)
    except ValueError:
        # Written by another program. The empty value is rejected by the
        # decoder of the table.
        value = b''
    return row_store.StoreRow(row.key, value, row.ver, row.deleted)
