"""Entry VMs that tell each other their sums, in simulated time."""

import collections
import heapq
import itertools
import random
import types

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import engine_scheduler
from eelgrassknot.forwarding import load_publisher
from eelgrassknot.forwarding import peer_load
from eelgrassknot.forwarding import peer_membership
from eelgrassknot.forwarding import zone_digests
from eelgrassknot.policy import commitments
from eelgrassknot.policy import health
from eelgrassknot.policy import plain

ZONE_DELAY_MS = 1.0
REGION_DELAY_MS = 30.0
PLAN_MS = 1_000.0


class SimulatedLoop:
    """Timers in simulated time."""

    def __init__(self):
        self.time_ms = 0.0
        self.timers = []
        self.order = itertools.count()

    @property
    def clock(self):
        return self

    def now_ms(self):
        return self.time_ms

    def call_later(self, delay_ms, callback):
        due_ms = self.time_ms + delay_ms
        heapq.heappush(self.timers, (due_ms, next(self.order), callback))

    def call_soon(self, callback):
        self.call_later(0.0, callback)

    def run_until(self, end_ms):
        while self.timers and self.timers[0][0] <= end_ms:
            self.time_ms, _, callback = heapq.heappop(self.timers)
            callback()
        self.time_ms = end_ms


class PeerVm:
    """One VM: its roster, tally and what it tells."""

    def __init__(self, world, vm, zone):
        self.world = world
        self.vm = vm
        self.zone = zone
        self.alive = True
        self.sent = collections.Counter()
        self.roster = peer_membership.PeerRoster(vm, zone)
        loop = world.loop
        book = health.HealthTracker()
        region = world.regions[zone]
        self.desk = engine_scheduler.EngineDesk(loop, region, book)
        pool = plain.PlainPool(region, random.Random(1), book)
        self.pool = pool
        knowledge = types.SimpleNamespace(
            settings=types.SimpleNamespace(
                availability_zone=zone, regions=world.regions
            ),
            board=self,
            marks=tuple,
            newest=tuple,
        )
        self.tally = peer_load.PeerTally(self.desk, pool, loop)
        self.news = load_publisher.PeerNews(knowledge, self.tally, loop)
        self.zone_digests = zone_digests.ZoneDigests(
            knowledge, self.tally, loop
        )

    def start(self):
        """Begin to tell."""
        self.news.start()
        self.zone_digests.start()
        self.plan()

    def plan(self):
        """Follow the roster's plan, again and again."""
        if not self.alive:
            return
        self.roster.plan(self.world.loop.now_ms())
        self.world.loop.call_later(PLAN_MS, self.plan)

    def place(self, run, engine, tokens):
        """Count a run of this VM."""
        commitment = commitments.Commitment(engine, None, tokens, 0)
        self.desk.queue.commitments.commit(run, commitment)

    def runs_known(self):
        """Return how many runs it knows at each engine."""
        now_ms = self.world.loop.now_ms()
        sums = self.desk.queue.commitments.all_sums(now_ms)
        return {engine: each.runs for engine, each in sums.items()}

    # What the news ask of a board

    def live(self):
        return self.roster.live(self.world.loop.now_ms())

    def zone_members(self):
        return self.roster.zone_members(self.world.loop.now_ms())

    def broadcast(self, message):
        self.send_far(list(self.roster.links.zone_peers), message)

    def send_far(self, vms, message):
        if self.alive:
            for vm in vms:
                self.sent[type(message).__name__] += 1
                self.world.deliver(self, vm, message)

    def take(self, vm, message):
        """Take in a message."""
        if not self.alive:
            return
        self.roster.heard(vm, self.world.loop.now_ms())
        match message:
            case messages.EntryNews():
                self.zone_digests.heard_directly(message.availability_zone)
                self.tally.take(('vm', vm), message)
            case messages.ZoneNews():
                self.zone_digests.take(vm, message)


class PeerWorld:
    """Zones of VMs, the first half of the zones in one region."""

    def __init__(self, zones, size):
        self.loop = SimulatedLoop()
        names = [f'z{number}' for number in range(zones)]
        self.regions = {
            zone: 'r0' if number < zones / 2 else 'r1'
            for number, zone in enumerate(names)
        }
        self.vms = {
            f'{zone}-{number}': PeerVm(self, f'{zone}-{number}', zone)
            for zone in names
            for number in range(size)
        }
        rows = {
            vm: peer_membership.VmRow(f'at-{vm}', peer.zone)
            for vm, peer in self.vms.items()
        }
        for peer in self.vms.values():
            peer.roster.take_rows(rows, 0.0)
            peer.start()

    def deliver(self, sender, vm, message):
        """Bring a message to a VM after the links' delay."""
        receiver = self.vms[vm]
        is_near = self.regions[sender.zone] == self.regions[receiver.zone]
        delay_ms = ZONE_DELAY_MS if is_near else REGION_DELAY_MS
        self.loop.call_later(
            delay_ms, lambda: receiver.take(sender.vm, message)
        )

    def gateways(self):
        """Return the live VMs that are linked to other zones, by zone."""
        found = collections.defaultdict(list)
        for vm, peer in self.vms.items():
            if peer.alive and peer.roster.links.remote_gateways:
                found[peer.zone].append(vm)
        return found
