"""Decoder of the store's server entries."""

import collections.abc

import msgspec
import result

from eelgrassknot import decoding
from eelgrassknot import exceptions
from eelgrassknot import field_values
from eelgrassknot.forwarding import model
from eelgrassknot import ids
from eelgrassknot.platform import warm_up
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
    batch_slots: decoding.SmallInt = 1
    # Of any type: a mistake in it must not make the entry unreadable.
    warmup_left_ms: float | str | bool | list | dict | None = 0.0
    # Start time in Unix ms, which identifies the incarnation; not an age.
    born: decoding.Int64 = 0


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
    name = f'the server entry {key}'
    if not field_values.is_valid(key):
        # Requests name the server in a header.
        return result.Err(
            decoding.unreadable(name, 'no HTTP header can carry its key')
        )
    document = decoding.escape_surrogates(value)
    match decoding.decode_json(document, _Server, name):
        case result.Err() as error:
            return error
        case result.Ok(found):
            pass
    if found.state not in _STATES:
        reason = f'unknown state {found.state!r}'
        return result.Err(decoding.unreadable(name, reason))
    return decoding.check_address(found.address, name).map(
        lambda address: model.Upstream(
            upstream=ids.UpstreamId(key),
            service=ids.ServiceName(found.service),
            kind=states.ServiceKind.PLAIN,
            address=address,
            availability_zone=ids.AvailabilityZoneId(found.zone),
            region=ids.RegionId(regions.get(found.zone, found.zone)),
            state=_STATES[found.state],
            slots=max(1, found.batch_slots),
            warm_up_ms=warm_up.read_number(
                found.warmup_left_ms, f'{key}.warmupLeftMs'
            ),
            started_at_ms=found.born,
        )
    )
