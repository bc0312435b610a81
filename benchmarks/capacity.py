"""Computes the figures of docs/CAPACITY.md from measurements.

Reads the results of ``benchmarks.coordination.control_cost``, extrapolates
them to the target size, and writes the figures between the markers in the
page. Run as ``python -m benchmarks.capacity``.
"""

import dataclasses
import hashlib
import json
import pathlib
import zlib

import msgspec

from benchmarks.coordination import control_cost
from eelgrassknot.coordination import adoption
from eelgrassknot.coordination import digest
from eelgrassknot.coordination import lease
from eelgrassknot.coordination import links
from eelgrassknot.coordination import membership_part
from eelgrassknot.coordination import peer_codec
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.coordination import poll_schedule
from eelgrassknot.coordination import vm_list_part

__all__ = ['main', 'plane', 'Target']

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
BEGIN = '<!-- figures: written by python -m benchmarks.capacity -->\n'
END = '<!-- end of figures -->\n'
SECONDS_PER_DAY = 86_400
MS = 1_000.0


@dataclasses.dataclass(frozen=True)
class Target:
    """Deployment size that the users expect in two years."""

    nodes: int = 400
    servers: int = 4_000
    zones: int = 9
    regions: int = 4
    requests_per_s: int = 3_600
    tokens_per_s: int = 810_000
    accounts: int = 4_600
    services: int = 5
    changes_per_day: int = 2_200
    failures_per_day: int = 56
    replacements_per_day: int = 460
    table_reads_per_s: int = 2_000
    table_writes_per_s: int = 300

    @property
    def zone_peers(self) -> float:
        """Number of peers of a VM in its zone."""
        return self.nodes / self.zones - 1

    @property
    def zone_upstreams(self) -> float:
        """Number of upstreams in a zone."""
        return self.servers / self.zones


def plane(
    costs: list[control_cost.Cost], name: str
) -> tuple[float, float, float]:
    """Fit a figure by a least-squares plane over the measured points.

    Returns:
        The value at zero, the slope per peer and the slope per upstream.
    """
    matrix = [[0.0] * 4 for _ in range(3)]
    for cost in costs:
        factors = (1.0, float(cost.peers), float(cost.upstreams))
        value = getattr(cost, name)
        for i, left in enumerate(factors):
            for j, right in enumerate(factors):
                matrix[i][j] += left * right
            matrix[i][3] += left * value
    for i in range(3):
        for j in range(3):
            if i != j:
                factor = matrix[j][i] / matrix[i][i]
                matrix[j] = [
                    b - factor * a
                    for a, b in zip(matrix[i], matrix[j], strict=True)
                ]
    floor, by_peer, by_upstream = (
        matrix[i][3] / matrix[i][i] for i in range(3)
    )
    return floor, by_peer, by_upstream


def slopes(costs: list[control_cost.Cost], target: Target) -> list[str]:
    """Return the table of measured points and slopes."""
    lines = [
        '### Control of one VM, measured',
        '',
        '| peers | upstreams | core % | memory MB | messages/s |'
        ' peer bytes/s | HTTP bytes/s |',
        '| --- | --- | --- | --- | --- | --- | --- |',
    ]
    for cost in costs:
        lines.append(
            f'| {cost.peers} | {cost.upstreams} |'
            f' {cost.cpu_share * 100:.2f} | {cost.memory_bytes / 1e6:.0f} |'
            f' {cost.peer_messages_per_s:.0f} |'
            f' {cost.peer_bytes_per_s:.0f} | {cost.http_bytes_per_s:.0f} |'
        )
    lines += [
        '',
        f'At {target.zone_peers:.0f} peers and {target.zone_upstreams:.0f}'
        ' upstreams, by the plane through these points:',
        '',
        '| figure | floor | a peer | an upstream | at the target | limit |'
        ' verdict |',
        '| --- | --- | --- | --- | --- | --- | --- |',
    ]
    fields = (
        ('core %', 'cpu_share', 100.0, 1.2),
        ('memory MB', 'memory_bytes', 1e-6, 256.0),
        ('peer kB/s', 'peer_bytes_per_s', 1e-3, None),
        ('HTTP kB/s', 'http_bytes_per_s', 1e-3, None),
    )
    total = 0.0
    for label, name, scale, limit in fields:
        floor, by_peer, by_upstream = plane(costs, name)
        value = floor + by_peer * target.zone_peers
        value = (value + by_upstream * target.zone_upstreams) * scale
        if name.endswith('bytes_per_s'):
            total += value
        lines.append(
            f'| {label} | {floor * scale:.2f} | {by_peer * scale:.4f} |'
            f' {by_upstream * scale:.4f} | {value:.2f} |'
            f' {limit or ""} | {_verdict(value, limit)} |'
        )
    lines += [
        f'| all kB/s | | | | {total:.2f} | 15 | {_verdict(total, 15.0)} |',
        '',
    ]
    return lines


def configuration(target: Target) -> list[str]:
    """Return the cost of changes to the services text."""
    packed = len(zlib.compress(_document(target)))
    plain = len(_document(target))
    per_s = packed * target.changes_per_day / SECONDS_PER_DAY
    return [
        '### Changes of the text',
        '',
        f'A text of {target.accounts} accounts and {target.services} services'
        f' is {plain / 1e3:.0f} kB, compressed {packed / 1e3:.0f} kB.'
        f' {target.changes_per_day} changes a day bring each VM'
        f' {per_s / 1e3:.1f} kB/s, and as much again for those that it passes'
        f' on: {_verdict(2 * per_s / 1e3, 3.0)} beside the rest of the'
        ' 15 kB/s.',
        '',
    ]


def digests(target: Target) -> list[str]:
    """Return the age of digests at the target size."""
    peers = target.zone_peers
    interval_ms = min(
        membership_part.MAX_HEARTBEAT_MS,
        peers * MS / membership_part.MAX_HEARTBEATS_PER_S,
    )
    share = membership_part.DIGEST_BYTES_PER_S * interval_ms / MS / peers
    budget = max(membership_part.MIN_DIGEST_BYTES, share)
    loads = int(budget * digest.LOAD_SHARE // digest.LOAD_BYTES)
    left = budget - loads * digest.LOAD_BYTES
    held = int(left * digest.IN_FLIGHT_SHARE // digest.IN_FLIGHT_BYTES)
    observed = target.zone_upstreams / (peers + 1)
    streams = target.tokens_per_s / target.nodes * 0.029
    poll_ms = min(
        poll_schedule.MAX_INTERVAL_MS,
        max(
            poll_schedule.MIN_INTERVAL_MS,
            observed * MS / poll_schedule.MAX_POLLS_PER_S,
        ),
    )
    load_age_s = (poll_ms + observed / loads * interval_ms) / MS
    held_age_s = streams / held * interval_ms / MS
    return [
        '### Age of digests in a zone',
        '',
        f'A heartbeat each {interval_ms / MS:.1f} s with {budget:.0f} bytes of'
        f' digest: {loads} loads and {held} entries of what the VM holds.'
        f' A VM observes {observed:.0f} upstreams, polls each every'
        f' {poll_ms / MS:.1f} s, and has {streams:.0f} live streams. A load is'
        f' up to {load_age_s:.0f} s old at a peer'
        f' ({_verdict(load_age_s, 3.0)} at 3 s), what a VM holds up to'
        f' {held_age_s:.0f} s ({_verdict(held_age_s, 3.0)}).',
        '',
    ]


def table(target: Target) -> list[str]:
    """Return the rates of reads and writes of the platform's table."""
    region_nodes = target.nodes // target.regions
    watchers = sum(
        MS
        / min(
            lease.MAX_POLL_MS,
            lease.POLL_MS * (1 + rank // lease.RANKS_PER_POLL_STEP),
        )
        for rank in range(1, region_nodes)
    )
    entries = target.nodes + target.servers
    list_s = (
        entries * vm_list_part.LIST_ENTRY_BYTES / vm_list_part.LIST_BYTES_PER_S
    )
    changes = target.changes_per_day / SECONDS_PER_DAY
    reads = (
        ('text: version row', target.nodes * MS / adoption.POLL_MS),
        (
            'text: document, at worst all from the store',
            target.nodes * changes,
        ),
        ('lease: watchers', watchers * target.regions),
        (
            'VM list (not the table, but the same service)',
            target.nodes / list_s,
        ),
    )
    writes = (
        ('text: acceptance, 4 rows in one', changes),
        ('lease: renewals', target.regions * MS / lease.RENEW_MS),
        (
            'lease: takeovers at each failure at worst',
            target.failures_per_day / SECONDS_PER_DAY,
        ),
    )
    lines = ['### The platform', '', '| reads | a second |', '| --- | --- |']
    lines += [f'| {name} | {rate:.2f} |' for name, rate in reads]
    total = sum(rate for _, rate in reads)
    lines += [
        f'| all, of {target.table_reads_per_s} | {total:.0f} |',
        '',
        '| writes | a second |',
        '| --- | --- |',
    ]
    lines += [f'| {name} | {rate:.3f} |' for name, rate in writes]
    left = target.table_writes_per_s - sum(rate for _, rate in writes)
    lines += [
        f'| left of {target.table_writes_per_s} | {left:.0f} |',
        '',
        f'A claim of a non-idempotent call takes two writes: {left / 2:.0f}'
        ' such calls a second at most, before report and audit.',
        f' The VM list has {entries} entries; a VM reads it each'
        f' {list_s:.0f} s, a zone of {target.zone_peers + 1:.0f} VMs every'
        f' {list_s / (target.zone_peers + 1):.1f} s.',
        '',
    ]
    return lines


def between_zones(target: Target) -> list[str]:
    """Return the traffic from gateways to other zones."""
    codec = peer_codec.PeerCodec('vm-0000', 'i' * 24, 1, [b'k' * 32])
    loads = tuple(
        messages.ZoneLoad('zone-00', f'service-{n:03d}', 90, *[10**6] * 5)
        for n in range(target.services)
    )
    size = len(codec.encode(messages.Heartbeat(10**6, zones=loads)))
    per_pair = links.GATEWAYS**2 * MS / membership_part.REMOTE_INTERVAL_MS
    out = (target.zones - 1) * links.GATEWAYS * size
    out *= MS / membership_part.REMOTE_INTERVAL_MS
    pairs = target.zones**2 * (1 - 1 / target.regions) / 2
    bits = pairs * per_pair * size * 8
    return [
        '### Between zones',
        '',
        f'A gateway sends {size} bytes to {links.GATEWAYS} gateways of each'
        f' of {target.zones - 1} zones each 2 s: {out / 1e3:.1f} kB/s out and'
        f' as much in ({_verdict(2 * out / 1e3, 5.0)} at 5 kB/s of the 15).'
        f' All links between regions together carry {bits / 1e3:.0f} kbit/s'
        ' each way, against 15,000.',
        '',
    ]


def growth(target: Target) -> list[str]:
    """Return the load on an ordinary day and after losses."""
    tokens = target.tokens_per_s / target.nodes
    streams = tokens * 0.029
    zone = target.zones / (target.zones - 1)
    region = target.regions / (target.regions - 1)
    moved = target.failures_per_day + target.replacements_per_day
    # A VM that joins or leaves changes the observers of the upstreams that
    # it observes.
    observed = poll_schedule.OBSERVERS * target.zone_upstreams
    observed /= target.zone_peers + 1
    return [
        '### Losses, and an ordinary day',
        '',
        '| | tokens/s a VM | live streams a VM |',
        '| --- | --- | --- |',
        f'| all well | {tokens:.0f} | {streams:.0f} |',
        f'| a zone lost | {tokens * zone:.0f} | {streams * zone:.0f} |',
        f'| a region lost | {tokens * region:.0f} | {streams * region:.0f} |',
        '',
        f'{target.failures_per_day} failures and'
        f' {target.replacements_per_day} replacements a day: one each'
        f' {SECONDS_PER_DAY / moved:.0f} s. Each moves the observers of about'
        f' {observed:.0f} upstreams and opens or closes'
        f' {2 * target.zone_peers:.0f} connections in its zone.',
        '',
    ]


def _document(target: Target) -> bytes:
    accounts = [
        {
            'client_account': f'account-{number:05d}',
            'key_sha256': hashlib.sha256(str(number).encode()).hexdigest(),
            'weight': 1 + number % 4,
            'requests_per_second': 5 + number % 20,
            'tokens_per_minute': 10_000 + 100 * (number % 90),
            'services': [f'service-{number % target.services}'],
        }
        for number in range(target.accounts)
    ]
    return msgspec.json.encode({'client_accounts': accounts})


def _verdict(value: float, limit: float | None) -> str:
    if limit is None:
        return ''
    return 'holds' if value <= limit else '**does not hold**'


def main() -> None:
    """Write the figures to the page."""
    results = json.loads(control_cost.RESULTS.read_text(encoding='utf-8'))
    costs = [control_cost.Cost(**result) for result in results]
    target = Target()
    lines = [
        *slopes(costs, target),
        *configuration(target),
        *digests(target),
        *between_zones(target),
        *table(target),
        *growth(target),
    ]
    page = PAGE.read_text(encoding='utf-8')
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    figures = '\n'.join(lines)
    PAGE.write_text(before + BEGIN + '\n' + figures + END + after)
    print(f'wrote {PAGE}')


if __name__ == '__main__':
    main()
