"""No request of a tenant whose name is not Latin is ever served."""

import collections
import itertools
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib3'))

import rig  # noqa: E402

CALM_S = 5.0
APPLY_S = 3.0
"""``configApplyMs`` of the site."""
AFTER_S = 15.0
INTERVAL_S = 0.5
NAME = '화성시'
PLAIN_NAME = 'hwaseong'
NEW_KEY = 'key-three'
SERVED_SHARE = 0.25
KINDS = (
    ('POST', '/booking/x', b'x', 4.0),
    ('GET', '/lookup/x', None, 4.0),
    ('POST', '/triage/x', b'x', 8.0),
)
numbers = itertools.count(1)


def send(record, vm, key, kind, counts):
    """Send one request, and count whether it is served."""
    method, path, body, timeout_s = kind
    headers = {
        'Request-Id': f'request-{next(numbers)}',
        'Credential': key,
        'Request-Deadline': int(timeout_s * 1_000) - 1_000,
    }
    if 'triage' in path:
        headers['Token-Counts'] = '2200,40'
    answer = rig.ask(vm.port, method, path, headers, timeout_s, body)
    record.line(
        f'{vm.name} {key} {path} {headers["Request-Id"]} -> '
        f'{answer.status} whole={answer.whole} {answer.why}'
    )
    counts[key, answer.is_success] += 1


def traffic(record, vms, keys, duration_s):
    """Send requests of all kinds with all keys; return the counts."""
    counts = collections.Counter()
    threads = []
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        for vm, key, kind in itertools.product(vms, keys, KINDS):
            thread = threading.Thread(
                target=send, args=(record, vm, key, kind, counts), daemon=True
            )
            thread.start()
            threads.append(thread)
        time.sleep(INTERVAL_S)
    for thread in threads:
        thread.join()
    record.line(f'{dict(counts)}')
    return counts


def play(record, trouble):
    """Return whether the tenant of a new desired state is starved."""
    with rig.Deployment(record, zones=('z', 'y')) as deployment:
        deployment.wait_ready()
        calm = traffic(record, deployment.vms, [rig.KEY], CALM_S)
        if calm[rig.KEY, False]:
            raise rig.CannotRunError('requests fail without trouble')
        state = rig.desired_state()
        name = NAME if trouble else PLAIN_NAME
        state['version'] = 2
        state['tenants'].append({'name': name, 'apiKeys': [NEW_KEY]})
        deployment.platform.put_state(state)
        record.line(f'version 2 adds the tenant {name}')
        time.sleep(APPLY_S + 1.0)
        keys = [rig.KEY, NEW_KEY]
        after = traffic(record, deployment.vms, keys, AFTER_S)
        for vm in deployment.vms:
            for text in vm.log_lines('_failed why')[:2]:
                record.line(f'log of {vm.name}: {text}')
    new_share = after[NEW_KEY, True] / (
        after[NEW_KEY, True] + after[NEW_KEY, False]
    )
    served = after[NEW_KEY, True] + after[rig.KEY, True]
    all_share = served / sum(after.values())
    record.line(f'served: the new tenant {new_share:.3f}, all {all_share:.3f}')
    return new_share < SERVED_SHARE * all_share


if __name__ == '__main__':
    rig.run(FOLDER, play)
