"""Entry VMs that ask for permits to send to one limited upstream."""

import random

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.policy import send_permits

__all__ = ['FAULTS', 'PermitWorld', 'UPSTREAM']

UPSTREAM = 'u1'
STARTED_AT_MS = 7
WINDOW_MS = 4_000.0
TOLERATED_SHARE = 1.5
TOLERATED_EXTRA = 5
CONTACT_MS = 4_000.0
"""Time after the first statement from which a limit must be kept; ms."""
FAULTS = ('stop', 'partition', 'heal', 'pause', 'change', 'lose')


class PermitWorld:
    """Asks for permits in a cluster and records what is sent.

    Attributes:
        sent_ms: Time of each send.
        results: Results of the requests for permits.
        asked: Receivers of the requests for permits.
        limits: Limits stated so far, with the time of each.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.sent_ms = []
        self.results = []
        self.asked = []
        self.limits = []
        self.parted = set()
        self.lost = 0.0
        self.generator = random.Random(1)
        self.deliver = cluster.deliver
        cluster.deliver = self._deliver

    def _deliver(self, sender, vm, message):
        if isinstance(message, messages.PermitRequest):
            self.asked.append(vm)
        if (sender.zone in self.parted) != (
            self.cluster.vms[vm].zone in self.parted
        ):
            return
        if self.generator.random() >= self.lost:
            self.deliver(sender, vm, message)

    def state(self, per_s, vm=None):
        """Have the upstream state a limit, or None, to one VM."""
        vms = self.cluster.vms
        alive = [name for name, peer in vms.items() if peer.alive]
        vms[vm or alive[0]].limits.response_started(
            _Upstream(), 200, _headers(per_s)
        )
        self.limits.append((self.cluster.loop.now_ms(), per_s))

    def ask_all(self, per_s, duration_ms, vms=None):
        """Have VMs ask at a rate, each from a time of its own."""
        loop = self.cluster.loop
        names = vms or list(self.cluster.vms)
        end_ms = loop.now_ms() + duration_ms
        for name in names:
            start_ms = self.generator.uniform(0.0, 1_000.0 / per_s)
            peer = self.cluster.vms[name]
            peer.loop.call_later(start_ms, self._asker(peer, per_s, end_ms))
        loop.run_until(end_ms)

    def _asker(self, peer, per_s, end_ms):
        def ask():
            if peer.loop.now_ms() < end_ms:
                self.ask(peer)
                peer.loop.call_later(1_000.0 / per_s, ask)

        return ask

    def ask(self, peer, max_wait_ms=250.0):
        """Have a VM ask for a permit and send when it has one."""
        if peer.permits.wait_ms(UPSTREAM) > max_wait_ms:
            return
        if not peer.permits.is_limited(UPSTREAM):
            # The bound counts the VMs that know of the limit.
            return
        peer.permits.acquire(
            UPSTREAM, 'q', max_wait_ms, False, self._on_result
        )

    def _on_result(self, found):
        self.results.append(found)
        if isinstance(found, send_permits.Grant):
            self.sent_ms.append(self.cluster.loop.now_ms())

    def excess(self):
        """Return the worst window beyond the limit, or None.

        Returns:
            Its begin, the number of requests and how many are tolerated.
        """
        begin_ms = self.limits[0][0] + CONTACT_MS
        for start in sorted(t for t in self.sent_ms if t >= begin_ms):
            sent = sum(start <= t < start + WINDOW_MS for t in self.sent_ms)
            highest = self._highest_limit(start, start + WINDOW_MS)
            tolerated = (
                TOLERATED_SHARE * highest * WINDOW_MS / 1_000 + TOLERATED_EXTRA
            )
            if sent > tolerated:
                return start, sent, tolerated
        return None

    def _highest_limit(self, from_ms, to_ms):
        before = [per_s for at_ms, per_s in self.limits if at_ms <= from_ms]
        within = [
            per_s for at_ms, per_s in self.limits if from_ms < at_ms < to_ms
        ]
        return max([before[-1], *within])

    def issuer(self):
        """Return the VM that most VMs ask."""
        asked = [
            peer.permits.issuer_of(UPSTREAM)
            for peer in self.cluster.vms.values()
            if peer.alive
        ]
        return max(asked, key=asked.count)

    def knowledge(self):
        """Return the limits that the VMs know."""
        return {
            peer.limits.table.per_s(UPSTREAM)
            for peer in self.cluster.vms.values()
        }

    def apply_fault(self, fault, generator):
        """Apply a random fault.

        Args:
            fault: One of ``FAULTS``.
            generator: Random number generator.
        """
        vms = self.cluster.vms
        match fault:
            case 'stop':
                alive = [vm for vm, peer in vms.items() if peer.alive]
                if len(alive) > 3:
                    vms[generator.choice(alive)].alive = False
            case 'partition':
                self.parted = {generator.choice(list(self.cluster.regions))}
            case 'heal':
                self.parted = set()
                self.lost = 0.0
            case 'lose':
                self.lost = 0.3
            case 'pause':
                peer = generator.choice(list(vms.values()))
                peer.paused_until_ms = (
                    self.cluster.loop.now_ms()
                    + generator.uniform(200.0, 4_000.0)
                )
            case 'change':
                factor = generator.choice((0.7, 1.3))
                self.state(max(1.0, self.limits[-1][1] * factor))


class _Upstream:
    upstream = UPSTREAM
    started_at_ms = STARTED_AT_MS


def _headers(per_s):
    headers = [(b'Server-Stamp', b's')]
    if per_s is not None:
        headers.append((b'Server-Limit', str(per_s).encode()))
    return headers
