"""Decodes the store's entries of servers into upstreams."""

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
    # Of one server, although services of engines carry the same name for
    # all of theirs.
    batch_slots: int = 1
    warmup_left_ms: float = 0.0
    # Unix ms of the start: an incarnation, not an age.
    born: int = 0


def decode_upstream(
    key: str,
    value: bytes,
    regions: collections.abc.Mapping[str, str],
) -> result.Result[model.Upstream, exceptions.MalformedAnswerError]:
    """Decode one entry of a server.

    Args:
        key: The entry's key, which is the server's id.
        value: The entry's JSON document.
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
                f'entry {key} names no server to use: {error!r}',
                'see which program wrote it; the other entries are used',
            )
        )
