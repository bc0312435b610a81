"""A part of prompts crashes servers before the head of their answer leaves.

``TROUBLE=head`` plays the same with the head sent before the crash.
"""

import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from lib import world  # noqa: E402

ZONES = {'nadi-yard': 'viti-levu', 'sigatoka-yard': 'viti-levu'}
PLACES = ['nadi-yard'] * 5 + ['sigatoka-yard'] * 4
DEADLY = 'dead01'
BACK_S = 3.0
ENTRY_LAPSE_S = 3.6
EVENTS = 25
EVENT_S = 0.03
READ_S = 0.15
LENGTH_S = 40.0
SOUND_INTERVAL_S = 0.25
DEADLY_INTERVAL_S = 1.0
CRASHES = 5
ALLOWED = 3


def main() -> int:
    folder = sys.argv[1]
    record = world.Record(folder)
    store = world.Store()
    engines: dict[str, world.Engine] = {}
    crashes: list[float] = []
    arrivals: list[float] = []
    lock = threading.Lock()

    def start(name: str, zone: str) -> None:
        world.Engine(store, record, name, zone, engines, EVENTS, EVENT_S, plan)

    def crash(engine: world.Engine, request: str) -> None:
        with lock:
            if not engine.is_up:
                return
            crashes.append(record.note(f'{engine.name} crashes on {request}'))
            number = len(crashes)
        engine.crash()

        def lapse() -> None:
            store.put('servers', engine.name, None)

        base = engine.name.split('.')[0]
        for delay_s, act in (
            (BACK_S, lambda: start(f'{base}.{number}', engine.zone)),
            (ENTRY_LAPSE_S, lapse),
        ):
            timer = threading.Timer(delay_s, act)
            timer.daemon = True
            timer.start()

    def plan(engine, channel, request, headers, first) -> bool | None:
        if 'kv-from' in headers:
            return None
        is_deadly = DEADLY in headers['prompt-prefix']
        if is_deadly:
            with lock:
                arrivals.append(time.monotonic())
        time.sleep(READ_S)
        if is_deadly and world.trouble():
            if os.environ.get('TROUBLE') == 'head':
                engine.answer_head(channel, request)
                time.sleep(0.02)
            crash(engine, request)
            return False
        return None

    for number, zone in enumerate(PLACES):
        start(f'i-{number}', zone)
    store.put('op', 'config', world.desired_state(1, [world.WRITE]))
    entries = [
        world.Entry(f'front-{zone}', zone, ZONES, store.address)
        for zone in ZONES
    ]
    clients: list[threading.Thread] = []
    sound: list[tuple[float, world.Answer]] = []

    def send(entry, request, middle) -> None:
        sent_s = record.note(f'client sends {request} to {entry.name}')
        answer = world.ask(
            entry.port,
            'POST',
            '/write/x',
            request,
            {
                'Request-Deadline': '39000',
                'Model': 'm',
                'Token-Counts': '400,100',
                'Prompt-Prefix': f'aa01:60,{middle}:100,{request}:240',
            },
            b'prompt',
            timeout_s=8.0,
        )
        record.note(f'client gets {request}: {answer}')
        if middle != DEADLY:
            sound.append((sent_s, answer))

    try:
        for entry in entries:
            entry.wait_ready()
        time.sleep(world.CONTACT_S + 1.0)
        begin_s = time.monotonic()
        sent = [0, 0]
        while (now_s := time.monotonic() - begin_s) < LENGTH_S:
            if now_s >= sent[0] * SOUND_INTERVAL_S:
                sent[0] += 1
                arguments = (entries[sent[0] % 2], f's{sent[0]}', 'cc02')
            elif now_s >= sent[1] * DEADLY_INTERVAL_S:
                sent[1] += 1
                arguments = (entries[sent[1] % 2], f'd{sent[1]}', DEADLY)
            else:
                time.sleep(0.01)
                continue
            clients.append(threading.Thread(target=send, args=arguments))
            clients[-1].start()
        for client in clients:
            client.join()
    finally:
        for entry in entries:
            entry.stop()
    late = []
    if len(crashes) >= CRASHES:
        bound_s = crashes[CRASHES - 1] + world.CONTACT_S
        late = [at for at in arrivals if at > bound_s]
        cut = [a for at, a in sound if at > bound_s and not a.is_whole]
        record.note(
            f'judged: {len(crashes)} crashes; {len(late)} requests with '
            f'{DEADLY} reached servers later than {world.CONTACT_S} s after '
            f'crash {CRASHES}; {len(cut)} sound ones sent then were not '
            'answered in full'
        )
    record.write()
    if world.trouble() and len(crashes) < 3:
        print('too few crashes')
        return 2
    is_broken = len(late) > ALLOWED
    print('broken' if is_broken else 'held', len(crashes), len(late))
    return 1 if is_broken else 0


if __name__ == '__main__':
    try:
        code = main()
    except Exception as error:
        print('cannot run:', repr(error))
        code = 2
    sys.exit(code)
