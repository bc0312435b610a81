"""Decoder of the operators' desired state."""

import msgspec
import result

from eelgrassknot import decoding
from eelgrassknot import exceptions
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import routing
from eelgrassknot import ids
from eelgrassknot.platform import warm_up
from eelgrassknot.settings import faults

__all__ = ['CONFIG_KEY', 'CONFIG_TABLE', 'decode_state']

CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'


class _Struct(msgspec.Struct, rename='camel'):
    """Base class; unknown fields are ignored."""


_NO_REGIONS = msgspec.Raw(b'[]')


class _Split(_Struct):
    service: str
    weight: float


class _Route(_Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    # Latency objective of a response. It is the only one of the objectives
    # that the platform calls a service level objective.
    slo_ms: float = 0.0
    priority: decoding.SmallInt = 0
    service: str | None = None
    split: list[_Split] = []
    max_attempts: decoding.SmallInt = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: float | None = None
    # Decoded apart: another type must not make the state unreadable.
    allowed_regions: msgspec.Raw = _NO_REGIONS


class _Engine(_Struct):
    batch_slots: decoding.SmallInt
    kv_capacity: decoding.SmallInt
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    moves: bool = False
    backups: bool = False
    # Number of tokens in one event of a stream.
    stride: decoding.SmallInt = 1
    # In seconds, unlike the other durations.
    handle_s: float = 0.0


class _Service(_Struct):
    name: str
    health_path: str
    max_conns: decoding.SmallInt = 0
    engine: _Engine | None = None
    # How long an upstream is cold after a start, and the requests per second
    # that it tolerates then. Of any type: a mistake in them must not make
    # the whole state unreadable.
    warmup_s: msgspec.Raw = msgspec.Raw(b'0')
    warmup_per_s: msgspec.Raw = msgspec.Raw(b'0')


class _Tenant(_Struct):
    name: str
    api_keys: list[str]
    priority: int | None = None
    allowed_regions: msgspec.Raw = _NO_REGIONS


class _Limits(_Struct):
    max_header_bytes: decoding.SmallInt
    max_body_bytes: decoding.SmallInt
    header_timeout_ms: float
    idle_timeout_ms: float


class _DesiredState(_Struct):
    version: decoding.Int64
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


def decode_state(
    document: bytes,
) -> result.Result[model.DeploymentState, exceptions.MalformedAnswerError]:
    """Decode a desired state.

    Args:
        document: The JSON document from the store.

    Returns:
        The state, or an error with the JSON path of the invalid field.
    """
    try:
        return decoding.decode_json(
            decoding.escape_surrogates(document),
            _DesiredState,
            'the desired state',
        ).map(_convert_state)
    except ValueError as error:
        # A value that is not in an enumeration.
        return result.Err(decoding.unreadable('the desired state', str(error)))


def _convert_state(found: _DesiredState) -> model.DeploymentState:
    unreadable: list[str] = []
    return model.DeploymentState(
        version=ids.ConfigVersion(found.version),
        routes=tuple(
            _convert_route(route, unreadable) for route in found.routes
        ),
        services={
            ids.ServiceName(service.name): _convert_service(service)
            for service in found.services
        },
        accounts=tuple(
            model.Account(
                ids.ClientAccountId(tenant.name),
                tuple(tenant.api_keys),
                tenant.priority,
                _convert_regions(
                    tenant.allowed_regions,
                    f'$.accounts[{faults.quote(tenant.name)}].home_regions',
                    unreadable,
                ),
            )
            for tenant in found.tenants or ()
        ),
        limits=model.CallerLimits(
            header_bytes=found.limits.max_header_bytes,
            body_bytes=found.limits.max_body_bytes,
            header_timeout_ms=found.limits.header_timeout_ms,
            idle_timeout_ms=found.limits.idle_timeout_ms,
        ),
        has_accounts=found.tenants is not None,
        unreadable_homes=tuple(unreadable),
    )


def _convert_regions(
    found: msgspec.Raw, path: str, unreadable: list[str]
) -> tuple[ids.RegionId, ...]:
    """Return the regions of a list; what is no region is left out.

    Args:
        found: The list, which may be any document.
        path: Where it is.
        unreadable: Receives the path if something was left out.
    """
    entries = decoding.decode_json(bytes(found), list[msgspec.Raw], path)
    names = [
        decoding.decode_json(bytes(entry), str, path)
        for entry in entries.unwrap_or([])
    ]
    if entries.is_err() or any(name.is_err() for name in names):
        unreadable.append(path)
    return tuple(ids.RegionId(name.ok_value) for name in names if name.is_ok())


def _convert_route(found: _Route, unreadable: list[str]) -> model.Route:
    shares = tuple(
        model.WeightedService(ids.ServiceName(part.service), part.weight)
        for part in found.split
    )
    if not shares and found.service is not None:
        shares = (model.WeightedService(ids.ServiceName(found.service), 1.0),)
    return model.Route(
        name=found.name,
        host=routing.normalize_host(found.host),
        prefix=routing.normalize_path(found.prefix),
        kind=model.RouteKind(found.kind),
        shares=shares,
        timeout_ms=found.timeout_ms,
        objective_ms=found.slo_ms,
        priority=found.priority,
        max_attempts=max(1, found.max_attempts),
        public=found.public,
        resumable=found.resumable,
        gap_objective_ms=found.target_gap_ms,
        home_regions=_convert_regions(
            found.allowed_regions,
            f'$.routes[{faults.quote(found.name)}].home_regions',
            unreadable,
        ),
    )


def _convert_service(found: _Service) -> model.Service:
    engine = None
    if found.engine is not None:
        engine = model.EngineProfile(
            slots=found.engine.batch_slots,
            memory_tokens=found.engine.kv_capacity,
            token_bytes=found.engine.kv_token_bytes,
            link_mbps=found.engine.link_mbps,
            can_move=found.engine.moves,
            can_copy=found.engine.backups,
            handle_ttl_ms=found.engine.handle_s * 1_000.0,
            event_tokens=max(1, found.engine.stride),
        )
    return model.Service(
        ids.ServiceName(found.name),
        found.health_path,
        found.max_conns,
        engine,
        warm_up.read_number(found.warmup_s, f'{found.name}.warmupS') * 1_000.0,
        warm_up.read_number(found.warmup_per_s, f'{found.name}.warmupPerS'),
    )
