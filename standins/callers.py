"""Load tool: callers of streams and of plain calls with their records."""

import dataclasses
import http.client
import random
import threading
import time

import msgspec

from eelgrassknot import clock as clocks
from standins import history as histories

__all__ = ['Callers', 'EntryPoint', 'Mix', 'Stream']

FIRST_TOKEN_TIMEOUT_S = 30.0
READ_TIMEOUT_S = 10.0
RESUME_PAUSE_S = 0.2
REPEATS = 4
LONG_PROMPT_BYTES = 4_000
DATA = 'data: '
EVENT_ID = 'id: '
DONE = '[DONE]'


@dataclasses.dataclass(frozen=True)
class EntryPoint:
    """An entry VM as the balancer reaches it."""

    vm: str
    address: str


@dataclasses.dataclass(frozen=True)
class Mix:
    """What the callers ask for.

    Attributes:
        model: Service of the streams.
        plain: Service of the plain calls.
        lookup: Path of an idempotent GET.
        booking: Path of a non-idempotent POST.
        keys: Bearer keys of the accounts.
        mean_tokens: Mean length of the answers.
        pause_s: Mean time that a caller waits between requests.
        patience_s: How long a caller tries to resume an answer.
    """

    model: str
    plain: str
    lookup: str
    booking: str
    keys: tuple[str, ...]
    mean_tokens: int = 60
    pause_s: float = 0.2
    patience_s: float = 20.0


class Callers:
    """Runs callers in threads until they are told to stop.

    Args:
        mix: What they ask for.
        entry_points: Where the balancer sends them.
        seed: Seed of all choices.
    """

    def __init__(
        self, mix: Mix, entry_points: list[EntryPoint], seed: int
    ) -> None:
        self.mix = mix
        self.entry_points = list(entry_points)
        self.seed = seed
        self.clock = clocks.MonotonicClock()
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.streams: list[histories.StreamRecord] = []
        self.calls: list[histories.CallRecord] = []
        self.threads: list[threading.Thread] = []

    def start(self, streams: int, calls: int) -> None:
        """Start callers of streams and callers of plain calls."""
        kinds = [('s', self._stream_once)] * streams
        kinds += [('c', self._call_once)] * calls
        for number, (letter, ask) in enumerate(kinds):
            name = f'{letter}{self.seed}-{number}'
            thread = threading.Thread(
                target=self._run, args=(name, ask), daemon=True
            )
            self.threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Let every caller finish what it is at, then end."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def set_entry_points(self, entry_points: list[EntryPoint]) -> None:
        """Tell the balancer which entry VMs are ready."""
        self.entry_points = list(entry_points)

    def _run(self, name: str, ask) -> None:
        generator = random.Random(name)
        number = 0
        while not self.stopped.is_set():
            number += 1
            ask(f'{name}-{number}', generator)
            pause_s = generator.expovariate(1 / self.mix.pause_s)
            self.stopped.wait(pause_s)

    def _stream_once(self, name: str, generator: random.Random) -> None:
        wanted = 1 + round(generator.expovariate(1 / self.mix.mean_tokens))
        record = histories.StreamRecord(
            name, wanted, self.clock.now_ms(), tokens=[], vms=[], cuts=[]
        )
        with self.lock:
            self.streams.append(record)
        stream = Stream(self, record, generator)
        stream.run(generator.choice(self.mix.keys))
        record.ended_ms = self.clock.now_ms()

    def _call_once(self, name: str, generator: random.Random) -> None:
        kind = generator.choice(('lookup', 'booking', 'keyed'))
        bearer = generator.choice(self.mix.keys)
        key = f'key-{name}' if kind == 'keyed' else None
        repeats = 1 if kind == 'booking' else REPEATS
        for attempt in range(repeats):
            record = histories.CallRecord(
                f'{name}-{attempt}',
                key,
                kind == 'lookup',
                '' if kind == 'lookup' else f'{{"booking": "{name}"}}',
                self.clock.now_ms(),
            )
            with self.lock:
                self.calls.append(record)
            self._send_call(record, bearer, generator)
            record.ended_ms = self.clock.now_ms()
            if record.outcome in ('done', 'invalid', 'failed'):
                return
            # A caller asks again now and then although it was answered.
            self.stopped.wait(RESUME_PAUSE_S)

    def _send_call(
        self,
        record: histories.CallRecord,
        bearer: str,
        generator: random.Random,
    ) -> None:
        entry = generator.choice(self.entry_points)
        record.vm = entry.vm
        mix = self.mix
        path = mix.lookup if record.idempotent else mix.booking
        headers = _headers(bearer, record.request_id)
        if record.key:
            headers['Idempotency-Key'] = record.key
        method = 'GET' if record.idempotent else 'POST'
        connection = http.client.HTTPConnection(
            entry.address, timeout=mix.patience_s
        )
        try:
            connection.connect()
        except OSError:
            record.outcome = 'unreached'
            return
        try:
            connection.request(
                method,
                f'/services/{mix.plain}{path}',
                record.body or None,
                headers,
            )
            answer = connection.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException) as error:
            record.answer = f'{type(error).__name__}: {error}'
            return
        finally:
            connection.close()
        _note_answer(record, answer, body)


class Stream:
    """One streamed request, resumed as often as its connection is cut."""

    def __init__(
        self,
        callers: Callers,
        record: histories.StreamRecord,
        generator: random.Random,
    ) -> None:
        self.callers = callers
        self.record = record
        self.generator = generator
        self.cursor = ''
        self.resumed = 0

    def run(self, bearer: str) -> None:
        """Send the request and resume it for as long as it progresses."""
        headers = _headers(bearer, self.record.request_id)
        progress = -1
        until_s = 0.0
        while not self._exchange(headers):
            if not self.cursor:
                # Nothing was received: only a new request could help.
                return
            if len(self.record.tokens) > progress:
                progress = len(self.record.tokens)
                until_s = time.monotonic() + self.callers.mix.patience_s
            if time.monotonic() > until_s:
                return
            self.resumed += 1
            time.sleep(RESUME_PAUSE_S)

    def _exchange(self, headers: dict[str, str]) -> bool:
        """Send the request or resume it; return whether it is over."""
        entry = self.generator.choice(self.callers.entry_points)
        self.record.vms.append(entry.vm)
        connection = http.client.HTTPConnection(
            entry.address, timeout=FIRST_TOKEN_TIMEOUT_S
        )
        try:
            self._send(connection, headers)
            answer = connection.getresponse()
            if connection.sock is not None:
                connection.sock.settimeout(READ_TIMEOUT_S)
            if answer.status != http.client.OK:
                return self._refused(answer)
            return self._read(answer)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self._note_cut(f'{type(error).__name__}: {error}')
            return False
        finally:
            connection.close()

    def _send(
        self, connection: http.client.HTTPConnection, headers: dict[str, str]
    ) -> None:
        if self.cursor:
            connection.request(
                'GET',
                f'/v1/generations/{self.cursor}',
                headers={**headers, 'Last-Event-ID': self.cursor},
            )
            return
        filler = 'log ' * self.generator.randrange(LONG_PROMPT_BYTES // 4)
        body = {
            'model': self.callers.mix.model,
            'prompt': f'tokens={self.record.wanted_tokens} {filler}',
            'stream': True,
        }
        connection.request(
            'POST',
            '/v1/completions',
            msgspec.json.encode(body),
            {**headers, 'Content-Type': 'application/json'},
        )

    def _refused(self, answer: http.client.HTTPResponse) -> bool:
        body = answer.read()
        outcome = answer.headers.get('X-Outcome', f'{answer.status}')
        self.record.note = body.decode(errors='replace')[:300]
        if self.cursor and answer.status == http.client.SERVICE_UNAVAILABLE:
            return False
        # Delivered tokens stand, so a refused resume is no refusal.
        self.record.outcome = 'incomplete' if self.cursor else outcome
        return True

    def _read(self, answer: http.client.HTTPResponse) -> bool:
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
                    self._note_error(data)
                    return True
                if data == DONE:
                    self.record.outcome = 'done'
                    return True
                self._take(data)
        self._note_cut('the stream ended without an end')
        return False

    def _note_cut(self, reason: str) -> None:
        self.record.note = reason
        now_ms = self.callers.clock.now_ms()
        vm = self.record.vms[-1]
        self.record.cuts.append(histories.Cut(vm, now_ms, reason))

    def _note_error(self, data: str) -> None:
        error = msgspec.json.decode(data)
        error = error.get('error', error)
        self.record.outcome = error.get('outcome', 'incomplete')
        self.record.note = data[:300]

    def _take(self, data: str) -> None:
        chunk = msgspec.json.decode(data)
        text = chunk['choices'][0].get('text') or ''
        now_ms = self.callers.clock.now_ms()
        for word in text.split():
            self.record.tokens.append(
                histories.Received(word, now_ms, self.resumed)
            )


def _headers(bearer: str, request_id: str) -> dict[str, str]:
    return {'Authorization': f'Bearer {bearer}', 'X-Request-Id': request_id}


def _note_answer(
    record: histories.CallRecord,
    answer: http.client.HTTPResponse,
    body: bytes,
) -> None:
    record.status = answer.status
    record.answered_id = answer.headers.get('X-Request-Id', '')
    if answer.status == http.client.OK:
        record.outcome = 'done'
        record.answer = _echoed(body)
        return
    record.outcome = answer.headers.get('X-Outcome', f'{answer.status}')
    record.answer = body.decode(errors='replace')[:300]


def _echoed(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=dict).get('body', '?')
    except msgspec.MsgspecError:
        return body.decode(errors='replace')[:300]
