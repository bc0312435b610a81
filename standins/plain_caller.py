"""Caller of one plain call, with the retries that its kind allows."""

import concurrent.futures
import enum
import http.client
import random
import typing

import msgspec

from standins import history as histories
from standins import stream_caller

if typing.TYPE_CHECKING:
    from standins import callers as load

__all__ = ['Kind', 'PlainCaller']

REPEATS = 4
REPEAT_PAUSE_S = 0.2
IMPATIENT_TIMEOUT_S = 0.08
MAX_RECORDED_BYTES = 300


class Kind(enum.Enum):
    """How a plain call is made."""

    LOOKUP = 'lookup'
    UNKEYED = 'unkeyed'
    KEYED = 'keyed'
    HASTY = 'hasty'
    RACED = 'raced'


class PlainCaller:
    """Makes one call.

    Lookups and keyed bookings are retried until they are answered;
    bookings without a key are sent once. A hasty caller times out early
    and retries on another VM while the first may still be executing; a
    raced booking is sent to two VMs concurrently.

    Args:
        callers: Entry points, workload and clock.
        name: Name of the call.
        generator: Source of random choices.
    """

    def __init__(
        self, callers: 'load.Callers', name: str, generator: random.Random
    ) -> None:
        self.callers = callers
        self.name = name
        self.generator = generator
        self.kind = generator.choice(list(Kind))

    def run(self, bearer: str) -> None:
        """Make the call and record each attempt."""
        if self.kind is Kind.RACED:
            self._race(bearer)
            return
        repeats = 1 if self.kind is Kind.UNKEYED else REPEATS
        for attempt in range(repeats):
            record = self._attempt(bearer, str(attempt))
            if record.outcome in ('done', 'invalid', 'failed'):
                return
            self.callers.stopped.wait(REPEAT_PAUSE_S)

    def _race(self, bearer: str) -> None:
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            for attempt in ('a', 'b'):
                pool.submit(self._attempt, bearer, attempt)

    def _attempt(self, bearer: str, attempt: str) -> histories.CallRecord:
        is_lookup = self.kind is Kind.LOOKUP
        has_key = self.kind in (Kind.KEYED, Kind.HASTY, Kind.RACED)
        record = histories.CallRecord(
            f'{self.name}-{attempt}',
            f'key-{self.name}' if has_key else None,
            is_lookup,
            '' if is_lookup else f'{{"booking": "{self.name}"}}',
            self.callers.clock.now_ms(),
        )
        self.callers.calls.append(record)
        is_hasty = self.kind is Kind.HASTY and attempt == '0'
        patience_s = self.callers.workload.progress_timeout_s
        self._send(
            record, bearer, IMPATIENT_TIMEOUT_S if is_hasty else patience_s
        )
        if is_hasty and record.outcome == 'cut':
            record.outcome = 'left'
        record.ended_ms = self.callers.clock.now_ms()
        return record

    def _send(
        self, record: histories.CallRecord, bearer: str, timeout_s: float
    ) -> None:
        entry = self.callers.choose_entry_point(self.generator)
        record.vm = entry.vm
        connection = http.client.HTTPConnection(
            entry.address, timeout=timeout_s
        )
        try:
            connection.connect()
        except OSError:
            record.outcome = 'unreached'
            return
        try:
            self._request(connection, record, bearer)
            answer = connection.getresponse()
            _record_answer(record, answer, answer.read())
        except (OSError, http.client.HTTPException) as error:
            record.answer = f'{type(error).__name__}: {error}'
        finally:
            connection.close()

    def _request(
        self,
        connection: http.client.HTTPConnection,
        record: histories.CallRecord,
        bearer: str,
    ) -> None:
        mix = self.callers.workload
        path = mix.lookup if record.idempotent else mix.booking
        headers = stream_caller.headers(bearer, record.request_id)
        if record.key:
            headers['Idempotency-Key'] = record.key
        connection.request(
            'GET' if record.idempotent else 'POST',
            f'/services/{mix.plain}{path}',
            record.body or None,
            headers,
        )


def _record_answer(
    record: histories.CallRecord,
    answer: http.client.HTTPResponse,
    body: bytes,
) -> None:
    record.status = answer.status
    record.answered_id = answer.headers.get('X-Request-Id', '')
    if answer.status == http.client.OK:
        record.outcome = 'done'
        record.answer = _decode_echo(body)
        return
    record.outcome = answer.headers.get('X-Outcome', f'{answer.status}')
    record.answer = body.decode(errors='replace')[:MAX_RECORDED_BYTES]


def _decode_echo(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=dict).get('body', '?')
    except msgspec.MsgspecError:
        return body.decode(errors='replace')[:MAX_RECORDED_BYTES]
