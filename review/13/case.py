"""A VM that starts after a restoration accepts a revoked key."""

import collections
import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib3'))

import rig  # noqa: E402

REVOKE_S = 5.0
"""``revokeMs`` of the site."""
KILL_S = 5.2
RESTART_S = 0.3
AWAY_S = 0.5
"""How long the store is away before it comes back from its copy."""
AGAIN_S = 2.0
"""When the operator's state is written again, after the return."""
END_S = 10.0
PAUSE_S = 0.05
REVOKED_KEY = 'key-two'


class Clients:
    """Clients that go on with a key after it has been revoked.

    Attributes:
        sent_s: When each request was sent, after the revocation.
    """

    def __init__(self, record, vms):
        self.record = record
        self.vms = vms
        self.acked_s = time.monotonic()
        self.sent_s = {}
        self.answers = collections.Counter()

    def now_s(self):
        """Return the time since the revocation was acknowledged."""
        return time.monotonic() - self.acked_s

    def send(self, vm, request):
        """Send a booking with the revoked key."""
        headers = {
            'Request-Id': request,
            'Credential': REVOKED_KEY,
            'Request-Deadline': '3000',
        }
        self.sent_s[request] = self.now_s()
        answer = rig.ask(vm.port, 'POST', '/booking/x', headers, 3.0, b'x')
        self.answers[vm.name, answer.status] += 1
        self.record.line(
            f'{request} sent to {vm.name} {self.sent_s[request]:.3f} s after '
            f'the ack -> {answer.status} {answer.why}'
        )

    def run(self):
        """Send bookings to all VMs until the end."""
        number = 0
        while self.now_s() < END_S:
            number += 1
            for vm in self.vms:
                threading.Thread(
                    target=self.send,
                    args=(vm, f'booking-{vm.name}-{number}'),
                    daemon=True,
                ).start()
            time.sleep(PAUSE_S)


def play(record, trouble):
    """Return whether a request with a revoked key runs after its bound."""
    zones = ('z', 'y', 'x')
    with rig.Deployment(record, zones=zones, engines=2) as deployment:
        deployment.wait_ready()
        platform = deployment.platform
        state = rig.desired_state()
        state['version'] = 2
        state['tenants'][0]['apiKeys'].remove(REVOKED_KEY)
        copy = platform.version
        platform.put_state(state)
        clients = Clients(record, deployment.vms)
        record.line(f'version 2 is acknowledged; it revokes {REVOKED_KEY}')
        sender = threading.Thread(target=clients.run, daemon=True)
        sender.start()
        time.sleep(KILL_S - clients.now_s())
        if trouble:
            vm = deployment.vms[1]
            platform.is_down = True
            vm.process.kill()
            vm.process.wait()
            record.line(f'the store is away; {vm.name} is killed')
            time.sleep(RESTART_S)
            vm.start()
            time.sleep(AWAY_S - RESTART_S)
            platform.restore(copy, ('servers',))
            platform.is_down = False
            record.line(
                'the store is back from a copy made before version 2; '
                'the servers write their entries again'
            )
            time.sleep(AGAIN_S)
            platform.put('op', 'config', json.dumps(state).encode())
            record.line('the operator has written version 2 again')
        sender.join()
        time.sleep(3.0)
        ran = {
            request: clients.sent_s[request]
            for request in platform.runs
            if clients.sent_s.get(request, 0.0) > REVOKE_S
        }
    for (name, status), count in sorted(clients.answers.items()):
        record.line(f'{name}: {count} answers with status {status}')
    for request, sent_s in sorted(ran.items(), key=lambda each: each[1]):
        record.line(f'{request} has run; sent {sent_s:.3f} s after the ack')
    record.line(
        f'{len(ran)} requests with the revoked key have run that were sent '
        f'later than {REVOKE_S} s after the ack'
    )
    return bool(ran)


if __name__ == '__main__':
    rig.run(FOLDER, play)
