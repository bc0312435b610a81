"""Composition of the clusters in tests, rounds and the demo."""

import dataclasses

from eelgrassknot.settings import examples

__all__ = ['ClusterShape', 'DAEMON_MODULE', 'minimal', 'shape_of']

DAEMON_MODULE = 'eelgrassknot.daemon'
LINK_BITS_PER_SECOND = 15_000_000.0
REGION_DELAY_MS = 30.0


@dataclasses.dataclass(frozen=True)
class ClusterShape:
    """Composition of a cluster.

    Attributes:
        entry_vms: Number of daemons by availability zone.
        engines: Number of engines by availability zone.
        plains: Number of plain services by availability zone.
        zone_delay_ms: One-way delay between zones of a region.
        region_delay_ms: One-way delay between regions.
        link_bits_per_second: Rate of the link between regions.
        kv_tokens: KV memory of each engine, in tokens.
        step_ms: Duration of an engine's decode step.
        daemon_module: Module that is run as the daemon; tests use it to
            run a defective variant.
    """

    deployment: examples.Deployment
    entry_vms: dict[str, int]
    engines: dict[str, int]
    plains: dict[str, int]
    zone_delay_ms: float = 1.5
    region_delay_ms: float = REGION_DELAY_MS
    link_bits_per_second: float = LINK_BITS_PER_SECOND
    kv_tokens: int = 6_000
    step_ms: float = 15.0
    daemon_module: str = DAEMON_MODULE
    services_text_changes: dict[str, object] = dataclasses.field(
        default_factory=dict
    )


def shape_of(name: str, daemon_module: str = DAEMON_MODULE) -> ClusterShape:
    """Return the shape of a deployment at its specified size.

    Args:
        name: Name of an example deployment.
        daemon_module: Module that is run as the daemon.
    """
    deployment = examples.DEPLOYMENTS.lookup(name)
    zones = [group.availability_zone for group in deployment.entry_vms]
    engine_counts = (2, 2, 1) if name == 'nadroga' else (2, 2, 2)
    delays = {'nadroga': 1.5, 'lagotermica': 0.5}
    return ClusterShape(
        deployment,
        {g.availability_zone: g.count for g in deployment.entry_vms},
        dict(zip(zones, engine_counts, strict=True)),
        dict.fromkeys(zones, 1),
        zone_delay_ms=delays[name],
        daemon_module=daemon_module,
    )


def minimal(shape: ClusterShape) -> ClusterShape:
    """Return a shape with one VM of each kind in each zone."""
    one = dict.fromkeys(shape.entry_vms, 1)
    return dataclasses.replace(shape, entry_vms=one, engines=one, plains=one)
