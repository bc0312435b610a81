"""A continued stream whose answer is lost runs beside its first run."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from lib import world  # noqa: E402

ZONES = {'nadi-yard': 'viti-levu', 'sigatoka-yard': 'viti-levu'}
PLACES = [
    'nadi-yard',
    'nadi-yard',
    'nadi-yard',
    'sigatoka-yard',
    'sigatoka-yard',
]
# The disruption: share 0.45 of the servers, 0.025 of their runs, 5.5 s.
AFFECTED = ('i-0', 'i-3')
LOST_SHARE = 0.025
WINDOW_S = 5.5
WINDOWS = 3
LONG_STREAMS = 6
EVENTS = 160
EVENT_S = 0.03
SHORT_EVENTS = 3
SHORT_INTERVAL_S = 0.025
PREEMPTED_AFTER = 30
PREEMPTED_S = 1.2
BOUND_S = 0.4

WRITE = world.WRITE
TRIAGE = world.route(
    'triage',
    'streaming',
    'assistant',
    timeoutMs=6_000,
    sloMs=1_500,
    sticky=True,
    resumable=True,
    maxAttempts=2,
    targetGapMs=180,
)


class Disruption:
    """Loses the answer of one run in a window."""

    def __init__(self, record: world.Record) -> None:
        self.record = record
        self.lock = threading.Lock()
        self.is_on = False
        self.runs = 0
        self.lost: list[str] = []
        self.lost_now = 0

    def begin(self) -> None:
        with self.lock:
            self.is_on, self.runs, self.lost_now = True, 0, 0
        self.record.note('disruption begins')

    def end(self) -> bool:
        """End the disruption; return whether it was as planned."""
        with self.lock:
            self.is_on = False
            share = self.lost_now / max(1, self.runs)
        self.record.note(
            f'disruption ends: {self.lost_now} of {self.runs} runs of '
            f'{", ".join(AFFECTED)} lost their answer ({share:.4f})'
        )
        return 0 < share <= LOST_SHARE or not world.trouble()

    def strikes(self, engine: world.Engine, request: str, is_long) -> bool:
        with self.lock:
            if not self.is_on or engine.name not in AFFECTED:
                return False
            self.runs += 1
            if not world.trouble() or self.lost_now or not is_long:
                return False
            self.lost_now += 1
            self.lost.append(request)
        self.record.note(f'{engine.name} loses the answer to {request}')
        return True


def main() -> int:
    folder = sys.argv[1]
    record = world.Record(folder)
    store = world.Store()
    engines: dict[str, world.Engine] = {}
    disruption = Disruption(record)

    def plan(engine, channel, request, headers, first) -> bool | None:
        is_continued = 'kv-from' in headers
        if disruption.strikes(engine, request, is_continued):
            engine.stream(channel, request, headers, first, is_silent=True)
            # No answer comes, and the channel stays open.
            while not channel.is_left():
                time.sleep(0.02)
            return False
        if request.startswith('t'):
            engine.answer_head(channel, request)
            engine.stream(channel, request, headers, 1, last=SHORT_EVENTS)
            channel.stream.sendall(b'0\r\n\r\n')
            return True
        if is_continued:
            return None
        # Preempted in the middle of its stream, and read in again.
        engine.answer_head(channel, request)
        engine.stream(channel, request, headers, 1, last=PREEMPTED_AFTER)
        record.note(f'{engine.name} preempts {request}')
        end_s = time.monotonic() + PREEMPTED_S
        while time.monotonic() < end_s:
            time.sleep(0.01)
            if channel.is_left():
                record.note(f'{engine.name} drops {request}')
                return False
        record.note(f'{engine.name} goes on with {request}')
        return engine.stream(channel, request, headers, PREEMPTED_AFTER + 1)

    for number, zone in enumerate(PLACES):
        world.Engine(
            store, record, f'i-{number}', zone, engines, EVENTS, EVENT_S, plan
        )
    store.put('op', 'config', world.desired_state(1, [WRITE, TRIAGE]))
    entries = [
        world.Entry(f'front-{zone}', zone, ZONES, store.address)
        for zone in ZONES
    ]
    clients: list[threading.Thread] = []

    def send(entry, path, request, counts, deadline) -> None:
        record.note(f'client sends {request} to {entry.name}')
        answer = world.ask(
            entry.port,
            'POST',
            path,
            request,
            {
                'Request-Deadline': str(deadline),
                'Model': 'm',
                'Token-Counts': counts,
                'Prompt-Prefix': f'aa01:60,{request}:240',
            },
            b'prompt',
            timeout_s=deadline / 1_000,
        )
        record.note(f'client gets {request}: {answer}')

    def start(*arguments) -> None:
        clients.append(threading.Thread(target=send, args=arguments))
        clients[-1].start()

    names: list[str] = []
    valid_windows = 0
    try:
        for entry in entries:
            entry.wait_ready()
        time.sleep(world.CONTACT_S + 1.0)
        for window in range(WINDOWS):
            disruption.begin()
            begin_s = time.monotonic()
            count = 0
            started = []
            while time.monotonic() - begin_s < WINDOW_S:
                if count < LONG_STREAMS:
                    started.append(f'w{window}-{count}')
                    start(
                        entries[count % 2],
                        '/write/x',
                        started[-1],
                        '300,640',
                        39_000,
                    )
                start(
                    entries[count % 2],
                    '/triage/x',
                    f't{window}-{count}',
                    '300,12',
                    6_000,
                )
                count += 1
                time.sleep(SHORT_INTERVAL_S)
            if disruption.end():
                valid_windows += 1
                names += started
            for client in clients:
                client.join()
            time.sleep(1.0)
        broken = judge(record, engines, names)
    finally:
        for entry in entries:
            entry.stop()
        record.write()
    if not valid_windows:
        print('the disruption did not take place as planned')
        return 2
    print('broken' if broken else 'held', broken)
    return 1 if broken else 0


def judge(record, engines, names: list[str]) -> list[str]:
    """Return the requests on which two servers worked for over 400 ms."""
    broken = []
    for request in names:
        spans = []
        for engine in engines.values():
            made = [at for name, _, at in engine.work if name == request]
            if made:
                spans.append((min(made), max(made), engine.name))
        spans.sort()
        for before, after in zip(spans, spans[1:]):
            beside_s = before[1] - after[0]
            record.note(
                f'judged: {request} goes on at {after[2]}; '
                f'{before[2]} makes its last event {beside_s:.3f} s later'
            )
            if beside_s > BOUND_S:
                broken.append(request)
    return broken


if __name__ == '__main__':
    try:
        code = main()
    except Exception as error:
        print('cannot run:', repr(error))
        code = 2
    sys.exit(code)
