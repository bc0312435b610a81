"""Decoder of the store's server entries."""

import collections.abc

import msgspec
import result

from eelgrassknot import exceptions
from eelgrassknot.forwarding import model
from eelgrassknot import ids
from eelgrassknot import states

__all__ = ['SERVERS_TABLE', 'decode_upstream']

SERVERS_TABLE = 'servers'

_STATES = {
    'ready': states.UpstreamState.LIVE,
    'draining': states.UpstreamState.LEAVING,
}


class _Server(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    state: str
    # Slots of this server. In the desired state, the field of the same name
    # applies to each engine of a service.
    batch_slots: int = 1
    warmup_left_ms: float = 0.0
    # Start time in Unix ms, which identifies the incarnation; not an age.
    born: int = 0


def decode_upstream(
    key: str,
    value: bytes,
    regions: collections.abc.Mapping[str, str],
) -> result.Result[model.Upstream, exceptions.MalformedAnswerError]:
    """Decode the entry of a server.

    Args:
        key: Key of the entry, which is the ID of the server.
        value: JSON document of the entry.
        regions: Region of each availability zone.
    """
    try:
        found = msgspec.json.decode(value, type=_Server)
        _, port = found.address.rsplit(':', 1)
        int(port)
        return result.Ok(
            model.Upstream(
                upstream=ids.UpstreamId(key),
                service=ids.ServiceName(found.service),
                kind=states.ServiceKind.PLAIN,
                address=found.address,
                availability_zone=ids.AvailabilityZoneId(found.zone),
                region=ids.RegionId(regions.get(found.zone, found.zone)),
                state=_STATES[found.state],
                slots=max(1, found.batch_slots),
                warm_up_ms=found.warmup_left_ms,
                started_at_ms=found.born,
            )
        )
    except (msgspec.MsgspecError, ValueError, KeyError) as error:
        return result.Err(
            exceptions.MalformedAnswerError(
                f'the server entry {key} cannot be decoded: {error!r}',
                'check the program that wrote it; the other entries are used',
            )
        )
