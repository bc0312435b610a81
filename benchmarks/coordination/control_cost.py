"""What the control of one VM costs: slopes over peers and upstreams.

A real daemon runs against the stand-in of the platform, beside simulated
peers that send it as much as real ones would, and upstreams that answer
its polls. All bytes of the daemon pass a counting relay or are counted by
its peer link.

Run with ``python -m benchmarks.coordination.control_cost``; it writes
``benchmarks/coordination/control_cost.json`` for the capacity page.
"""

import collections
import dataclasses
import http.server
import json
import pathlib
import sys
import threading
import time
import typing

import psutil
import typer
import zmq

from benchmarks.coordination import counting_relay
from eelgrassknot import clock as clocks
from eelgrassknot.coordination import digest
from eelgrassknot.coordination import membership_part
from eelgrassknot.coordination import peer_codec
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.coordination import rendezvous
from eelgrassknot.coordination import rows
from eelgrassknot.storage import base
from tests.coordination import deployment

__all__ = ['Cost', 'main', 'measure']

RESULTS = pathlib.Path(__file__).with_name('control_cost.json')
WARM_UP_S = 8.0
MEASURE_S = 20.0
GRID = ((8, 100), (16, 100), (32, 100), (64, 100), (16, 10), (16, 450))
# Targets of the capacity plan, for one VM's control.
MAX_CPU_SHARE = 0.012
MAX_BYTES_PER_S = 15_000.0
MAX_MEMORY_BYTES = 256 * 1024 * 1024
# The target's zone: 400 VMs and 4,000 servers in 9 zones.
TARGET_PEERS = 44
TARGET_UPSTREAMS = 445


@dataclasses.dataclass(frozen=True)
class Cost:
    """What one VM's control cost.

    Attributes:
        cpu_share: Processor time as a share of one core.
        peer_messages_per_s: Messages to and from peers.
        peer_bytes_per_s: Bytes of them, both ways.
        http_bytes_per_s: Bytes to and from platform and upstreams.
    """

    peers: int
    upstreams: int
    cpu_share: float
    memory_bytes: int
    peer_messages_per_s: float
    peer_bytes_per_s: float
    http_bytes_per_s: float


class _Load(http.server.BaseHTTPRequestHandler):
    """Answers as an upstream would, always with new figures."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        """Answer a question for load or cache events."""
        if self.path.startswith('/load'):
            now_ms = int(time.monotonic() * 1_000)
            answer = {
                'at_ms': now_ms,
                'kv_tokens_used': now_ms % 400_000,
                'kv_tokens_total': 400_000,
                'running': now_ms % 60,
                'waiting': now_ms % 7,
                'preemptions': now_ms // 10_000,
                'state': 'live',
                'models': [{'model': 'm', 'version': '3', 'adapters': []}],
                'role': None,
            }
        else:
            answer = {'events': [], 'next': 0}
        body = json.dumps(answer).encode()
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Log nothing."""


class Peers:
    """Simulated peers: each sends what a real one would."""

    def __init__(self, count: int, keys: dict[str, int]) -> None:
        self.count = count
        self.keys = list(keys.values())
        self.context = zmq.Context()
        self.puller = self.context.socket(zmq.PULL)
        port = self.puller.bind_to_random_port('tcp://127.0.0.1')
        self.address = f'127.0.0.1:{port}'
        self.names = [f'peer-{number:02d}' for number in range(count)]
        self.own = _first_observers(keys, [*self.names, 'subject'])
        self.stopped = threading.Event()
        self.threads = []

    def start(self, subject: str) -> None:
        """Begin to send to the daemon that is measured."""
        self.threads = [
            threading.Thread(target=self._send, args=(subject,)),
            threading.Thread(target=self._drain),
        ]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Send no more."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        self.context.destroy(linger=0)

    def _drain(self) -> None:
        while not self.stopped.is_set():
            if self.puller.poll(100):
                self.puller.recv()

    def _send(self, subject: str) -> None:
        secret = deployment.SECRET.encode()
        codecs = [
            peer_codec.PeerCodec(name, f'{name}-i', 1, [secret])
            for name in self.names
        ]
        sockets = []
        for _ in codecs:
            sockets.append(self.context.socket(zmq.PUSH))
            sockets[-1].connect(f'tcp://{subject}')
        for codec, socket in zip(codecs, sockets, strict=True):
            place = messages.Introduction(self.address, 'z0', 'r', False)
            socket.send(codec.encode(place))
        interval_s = _heartbeat_interval_ms(self.count) / 1_000
        at_ms = 0
        while not self.stopped.is_set():
            at_ms += 1
            for number, codec in enumerate(codecs):
                sockets[number].send(codec.encode(self._beat(number, at_ms)))
                self.stopped.wait(interval_s / self.count)

    def _beat(self, number: int, at_ms: int) -> messages.Heartbeat:
        interval_s = _heartbeat_interval_ms(self.count) / 1_000
        share = membership_part.DIGEST_BYTES_PER_S * interval_s / self.count
        budget = max(membership_part.MIN_DIGEST_BYTES, share)
        own = self.own[self.names[number]]
        most = int(budget * digest.LOAD_SHARE // digest.LOAD_BYTES)
        # Each in its turn, as under a budget.
        own.rotate(most)
        loads = [
            messages.LoadEntry(key, at_ms, 200_000, 400_000, 30, 3, 9)
            for key in list(own)[:most]
        ]
        left = budget - len(loads) * digest.LOAD_BYTES
        most = min(60, int(left // digest.IN_FLIGHT_BYTES))
        held = [
            messages.InFlightEntry(key, 1 + at_ms % 3, 5_000)
            for key in self.keys[:most]
        ]
        return messages.Heartbeat(1, loads=tuple(loads), held=tuple(held))


class LeaseKeeper:
    """Holds the region's lease, so that the daemon only watches it."""

    def __init__(self, table: base.Table) -> None:
        self.table = table
        self.stopped = threading.Event()
        self.version: int | None = None
        self.renewals = 0
        self.renew()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def renew(self) -> None:
        """Write the row once more."""
        self.renewals += 1
        record = rows.LeaseRecord(1, 'peer-00', 'peer-00-i', self.renewals)
        condition = base.Condition(rows.LEASE_TABLE, 'r', self.version)
        write = base.Write(rows.LEASE_TABLE, 'r', rows.encode(record))
        answer = self.table.transact('bench', [condition], [write])
        self.version = answer.ok_value.versions[f'{rows.LEASE_TABLE}/r']

    def _run(self) -> None:
        while not self.stopped.wait(2.0):
            self.renew()

    def stop(self) -> None:
        """Renew no more."""
        self.stopped.set()
        self.thread.join()


def measure(peers: int, upstreams: int) -> Cost:
    """Return what the control of a VM with so many peers costs."""
    server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), _Load)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    relays = [
        counting_relay.CountingRelay('127.0.0.1:%d' % server.server_port)
    ]
    names = [f'engine-{number:03d}' for number in range(upstreams)]
    keys = {
        name: rendezvous.name_hash(f'{name}@{relays[0].address}')
        for name in names
    }
    simulated = Peers(peers, keys)
    placed = deployment.Deployment()
    keeper = None
    try:
        platform = placed.url.removeprefix('http://')
        relays.append(counting_relay.CountingRelay(platform))
        subject = placed.add('subject', url=f'http://{relays[1].address}')
        entries = [
            _entry(name, simulated.address, 'entry')
            for name in simulated.names
        ]
        entries += [
            _entry(name, relays[0].address, 'engine') for name in names
        ]
        placed.list_vms('subject', others=entries)
        placed.accept('first')
        keeper = LeaseKeeper(placed.platform.table)
        placed.start('subject')
        deployment.wait_for(subject.is_ready)
        simulated.start(subject.settings['listen']['peers'])
        time.sleep(WARM_UP_S)
        return _cost(subject, relays, peers, upstreams)
    finally:
        if keeper is not None:
            keeper.stop()
        simulated.stop()
        placed.close()
        server.shutdown()
        for relay in relays:
            relay.close()


def _cost(subject, relays, peers: int, upstreams: int) -> Cost:
    process = psutil.Process(subject.process.pid)
    live = [p for p in subject.status()['peers'] if p['state'] == 'live']
    assert len(live) == peers, f'{len(live)} of {peers} peers are live'
    before = _counts(process, subject, relays)
    time.sleep(MEASURE_S)
    after = _counts(process, subject, relays)
    cpu, sent, sent_bytes, http_bytes, at_s = (
        b - a for a, b in zip(before, after, strict=True)
    )
    return Cost(
        peers,
        upstreams,
        cpu / at_s,
        process.memory_info().rss,
        sent / at_s,
        sent_bytes / at_s,
        http_bytes / at_s,
    )


def _counts(process, subject, relays) -> tuple[float, ...]:
    link = subject.status()['peer_link']
    times = process.cpu_times()
    return (
        times.user + times.system,
        sum(link['sent'].values()) + sum(link['received'].values()),
        sum(link['sent_bytes'].values())
        + sum(link['received_bytes'].values()),
        sum(relay.bytes for relay in relays),
        time.monotonic(),
    )


def _first_observers(
    keys: dict[str, int], members: list[str]
) -> dict[str, collections.deque]:
    own: dict[str, collections.deque] = {
        member: collections.deque() for member in members
    }
    for name, key in keys.items():
        own[rendezvous.ranked(name, members, 1)[0]].append(key)
    return own


def _heartbeat_interval_ms(peers: int) -> float:
    interval_ms = (
        peers * clocks.MS_PER_SECOND / membership_part.MAX_HEARTBEATS_PER_S
    )
    return min(
        membership_part.MAX_HEARTBEAT_MS,
        max(membership_part.MIN_HEARTBEAT_MS, interval_ms),
    )


def _entry(name: str, address: str, kind: str) -> dict:
    host, port = address.split(':')
    return {
        'vm': name,
        'address': host,
        'port': int(port),
        'availability_zone': 'z0',
        'region': 'r',
        'kind': kind,
        'service': None if kind == 'entry' else 'chat',
        'state': 'live',
    }


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    under = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = over / under
    return gradient, mean_y - gradient * mean_x


def main(
    quick: typing.Annotated[bool, typer.Option()] = False,
) -> None:
    """Measure the grid, print it, and write it for the capacity page."""
    grid = GRID[:1] if quick else GRID
    print('peers upstreams  cpu%  memory MB  msg/s  peer B/s  http B/s')
    costs = []
    for peers, upstreams in grid:
        cost = measure(peers, upstreams)
        costs.append(cost)
        print(
            f'{peers:5d} {upstreams:9d} {cost.cpu_share * 100:5.2f}'
            f' {cost.memory_bytes / 1e6:10.1f}'
            f' {cost.peer_messages_per_s:6.1f} {cost.peer_bytes_per_s:9.0f}'
            f' {cost.http_bytes_per_s:9.0f}',
            flush=True,
        )
    if quick:
        return
    RESULTS.write_text(
        json.dumps([dataclasses.asdict(cost) for cost in costs], indent=2)
        + '\n'
    )
    broken = [
        cost
        for cost in costs
        if cost.memory_bytes > MAX_MEMORY_BYTES
        or cost.peer_bytes_per_s + cost.http_bytes_per_s > MAX_BYTES_PER_S
        or cost.cpu_share > MAX_CPU_SHARE
    ]
    for cost in broken:
        print(f'over the target: {cost}')
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    typer.run(main)
