"""Caller of one stream, which it resumes after connection losses."""

import http.client
import random
import time
import typing

import msgspec

from standins import history as histories

if typing.TYPE_CHECKING:
    from standins import callers as load

__all__ = ['Stream', 'headers', 'new_record']

FIRST_TOKEN_TIMEOUT_S = 30.0
READ_TIMEOUT_S = 10.0
RESUME_PAUSE_S = 0.2
LONG_PROMPT_BYTES = 4_000
MAX_RECORDED_BYTES = 300
DATA = 'data: '
EVENT_ID = 'id: '
DONE = '[DONE]'


def new_record(
    request_id: str, wanted_tokens: int, now_ms: float
) -> histories.StreamRecord:
    """Return an empty record of a stream."""
    return histories.StreamRecord(
        request_id, wanted_tokens, now_ms, tokens=[], vms=[], cuts=[]
    )


def headers(bearer: str, request_id: str) -> dict[str, str]:
    """Return the headers of every request of a caller."""
    return {'Authorization': f'Bearer {bearer}', 'X-Request-Id': request_id}


class Stream:
    """One request for a generation.

    Args:
        callers: Entry points, workload and clock.
        record: Record to fill.
        generator: Source of random choices.

    Attributes:
        abandon_after: Number of tokens after which the caller
            disconnects, or None.
    """

    def __init__(
        self,
        callers: 'load.Callers',
        record: histories.StreamRecord,
        generator: random.Random,
    ) -> None:
        self.callers = callers
        self.record = record
        self.generator = generator
        self.cursor = ''
        self.resumed = 0
        self.abandon_after: int | None = None

    def run(self, bearer: str) -> None:
        """Send the request and resume it as long as it makes progress."""
        common = headers(bearer, self.record.request_id)
        progress = -1
        until_s = 0.0
        while not self._exchange(common):
            if not self.cursor:
                # Without a cursor the stream cannot be resumed.
                return
            if len(self.record.tokens) > progress:
                progress = len(self.record.tokens)
                until_s = (
                    time.monotonic() + self.callers.workload.progress_timeout_s
                )
            if time.monotonic() > until_s:
                return
            self.resumed += 1
            time.sleep(RESUME_PAUSE_S)

    def _exchange(self, common: dict[str, str]) -> bool:
        """Send or resume the request; return whether it has ended."""
        entry = self.callers.choose_entry_point(self.generator)
        self.record.vms.append(entry.vm)
        connection = http.client.HTTPConnection(
            entry.address, timeout=FIRST_TOKEN_TIMEOUT_S
        )
        try:
            self._send(connection, common)
            answer = connection.getresponse()
            if connection.sock is not None:
                connection.sock.settimeout(READ_TIMEOUT_S)
            if answer.status != http.client.OK:
                return self._record_refusal(answer)
            return self._read_events(answer)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self._record_loss(f'{type(error).__name__}: {error}')
            return False
        finally:
            connection.close()

    def _send(
        self, connection: http.client.HTTPConnection, common: dict[str, str]
    ) -> None:
        if self.cursor:
            connection.request(
                'GET',
                f'/v1/generations/{self.cursor}',
                headers={**common, 'Last-Event-ID': self.cursor},
            )
            return
        self._post(connection, common, stream=True)

    def _post(
        self,
        connection: http.client.HTTPConnection,
        common: dict[str, str],
        stream: bool,
    ) -> None:
        filler = 'log ' * self.generator.randrange(LONG_PROMPT_BYTES // 4)
        body = {
            'model': self.callers.workload.model,
            'prompt': f'tokens={self.record.wanted_tokens} {filler}',
            'stream': stream,
        }
        connection.request(
            'POST',
            '/v1/completions',
            msgspec.json.encode(body),
            {**common, 'Content-Type': 'application/json'},
        )

    def run_unstreamed(self, bearer: str) -> None:
        """Send the request without streaming; it is not retried."""
        common = headers(bearer, self.record.request_id)
        entry = self.callers.choose_entry_point(self.generator)
        self.record.vms.append(entry.vm)
        connection = http.client.HTTPConnection(
            entry.address, timeout=FIRST_TOKEN_TIMEOUT_S
        )
        try:
            self._post(connection, common, stream=False)
            answer = connection.getresponse()
            if answer.status != http.client.OK:
                self._record_refusal(answer)
                return
            self._record_tokens(answer.read())
            self.record.outcome = 'done'
        except (OSError, http.client.HTTPException) as error:
            self._record_loss(f'{type(error).__name__}: {error}')
        finally:
            connection.close()

    def _record_refusal(self, answer: http.client.HTTPResponse) -> bool:
        body = answer.read()
        outcome = answer.headers.get('X-Outcome', f'{answer.status}')
        self.record.note = body.decode(errors='replace')[:MAX_RECORDED_BYTES]
        if self.cursor and answer.status == http.client.SERVICE_UNAVAILABLE:
            return False
        # Tokens were delivered, so a refused resumption leaves the
        # request incomplete rather than refused.
        self.record.outcome = 'incomplete' if self.cursor else outcome
        return True

    def _read_events(self, answer: http.client.HTTPResponse) -> bool:
        is_error = False
        for raw in answer:
            line = raw.decode().rstrip('\r\n')
            if line.startswith('event: error'):
                is_error = True
            elif line.startswith(EVENT_ID):
                self.cursor = line.removeprefix(EVENT_ID)
            elif line.startswith(DATA):
                data = line.removeprefix(DATA)
                if is_error:
                    self._record_error(data)
                    return True
                if data == DONE:
                    self.record.outcome = 'done'
                    return True
                self._record_tokens(data)
                if self._should_abandon():
                    return True
        self._record_loss('the stream ended without a final event')
        return False

    def _record_loss(self, reason: str) -> None:
        self.record.note = reason
        now_ms = self.callers.clock.now_ms()
        vm = self.record.vms[-1]
        self.record.cuts.append(histories.ConnectionLoss(vm, now_ms, reason))

    def _record_error(self, data: str) -> None:
        error = msgspec.json.decode(data)
        error = error.get('error', error)
        self.record.outcome = error.get('outcome', 'incomplete')
        self.record.note = data[:MAX_RECORDED_BYTES]

    def _should_abandon(self) -> bool:
        if self.abandon_after is None:
            return False
        if len(self.record.tokens) < self.abandon_after:
            return False
        self.record.outcome = 'left'
        return True

    def _record_tokens(self, data: str | bytes) -> None:
        chunk = msgspec.json.decode(data)
        text = chunk['choices'][0].get('text') or ''
        now_ms = self.callers.clock.now_ms()
        for word in text.split():
            self.record.tokens.append(
                histories.ReceivedToken(word, now_ms, self.resumed)
            )
