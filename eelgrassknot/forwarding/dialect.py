"""Interface to the codecs of a platform's requests, responses and rows.

Each platform adapter provides one ``Dialect``; no other module depends on
the names of a platform.
"""

import collections.abc

import h11
import msgspec
import result

from eelgrassknot import exceptions
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import row_store
from eelgrassknot import ids
from eelgrassknot.kernel import registry

__all__ = ['CallerHeaders', 'DIALECTS', 'Dialect', 'ForwardingMetadata']

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


class CallerHeaders(msgspec.Struct, frozen=True):
    """Decoded headers of a caller's request.

    Attributes:
        deadline_ms: How long the caller will wait, or None.
        last_event: Last event that the caller has received, or None.
        generation: Set if the request asks for a generation.
    """

    request: ids.RequestId | None
    key: str | None
    deadline_ms: float | None
    last_event: int | None
    generation: model.GenerationProfile | None

    @property
    def memory_bytes(self) -> int:
        """Memory of what grows with the head."""
        return len(self.generation.part_names) if self.generation else 0


class ForwardingMetadata(msgspec.Struct, frozen=True):
    """Metadata sent to the upstream in addition to the caller's headers.

    Attributes:
        remaining_ms: Time left until the deadline.
        engine_priority: Priority at the engine, or None for the default.
        copy_to: Address of the engine that maintains an incremental copy
            of the run's memory, or None.
        continue_from: Location of the run's memory, or None.
        last_event: Last event that the caller has received, or None.
    """

    upstream: ids.UpstreamId
    remaining_ms: float
    account: ids.ClientAccountId | None = None
    engine_priority: int | None = None
    copy_to: str | None = None
    continue_from: str | None = None
    last_event: int | None = None


class Dialect(msgspec.Struct, frozen=True):
    """Codecs and constants of one platform.

    Attributes:
        open_store: Returns a store client for one thread, given an address.
        config_table: Table of the deployment's state.
        config_key: Key of the state's row.
        upstreams_table: Table of the upstreams.
        readiness_path: Path of the load balancer's readiness probe.
        decode_state: Decodes the deployment's state.
        evacuated_zone: Returns the availability zone that a row of the
            state's table evacuates, given its key, or None for another row.
        decode_upstream: Decodes an entry from its key, its value and the
            regions.
        caller_headers: Decodes the headers of a caller.
        forwarded_headers: Returns the headers sent to the upstream.
        response_headers: Returns the headers of a response that are
            forwarded to the caller.
        echoed_request_id: Returns the request ID that a response echoes.
        is_signed: Whether a response carries an upstream's signature.
        declares_not_executed: Whether a response guarantees that the
            request was not executed.
        stated_limit: Returns the requests per second that the upstream
            takes from all VMs together, or None if a response states no
            limit.
        stated_pause_ms: Returns how long an upstream wants no request from
            this VM, given the status and headers of its response, or None;
            in ms.
        states_leaving: Whether a response says that its upstream is leaving.
        stated_warm_up_ms: Returns how long an upstream stays cold, or None
            if a response does not state it; in ms.
        encode_kv_transfer: Encodes the call that transfers a run's memory.
        decode_kv_transfer: Decodes the response to that call.
    """

    open_store: collections.abc.Callable[[str], row_store.RowStore]
    config_table: str
    config_key: str
    upstreams_table: str
    readiness_path: bytes
    decode_state: collections.abc.Callable[
        [bytes],
        result.Result[model.DeploymentState, exceptions.MalformedAnswerError],
    ]
    evacuated_zone: collections.abc.Callable[
        [str], ids.AvailabilityZoneId | None
    ]
    decode_upstream: collections.abc.Callable[
        [str, bytes, collections.abc.Mapping[str, str]],
        result.Result[model.Upstream, exceptions.MalformedAnswerError],
    ]
    caller_headers: collections.abc.Callable[[Headers], CallerHeaders]
    forwarded_headers: collections.abc.Callable[
        [Headers, ForwardingMetadata], list[tuple[bytes, bytes]]
    ]
    response_headers: collections.abc.Callable[
        [Headers], list[tuple[bytes, bytes]]
    ]
    echoed_request_id: collections.abc.Callable[
        [Headers], ids.RequestId | None
    ]
    is_signed: collections.abc.Callable[[Headers], bool]
    declares_not_executed: collections.abc.Callable[[int, Headers], bool]
    stated_limit: collections.abc.Callable[
        [Headers],
        result.Result[float | None, exceptions.MalformedAnswerError],
    ]
    stated_pause_ms: collections.abc.Callable[
        [int, Headers],
        result.Result[float | None, exceptions.MalformedAnswerError],
    ]
    states_leaving: collections.abc.Callable[[Headers], bool]
    stated_warm_up_ms: collections.abc.Callable[
        [Headers],
        result.Result[float | None, exceptions.MalformedAnswerError],
    ]
    encode_kv_transfer: collections.abc.Callable[
        [str, ids.RequestId, str, bool], tuple[h11.Request, bytes]
    ]
    decode_kv_transfer: collections.abc.Callable[[int, bytes], str | None]


DIALECTS: registry.Registry[Dialect] = registry.Registry('dialect')
