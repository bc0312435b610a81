"""How a platform's requests, answers and rows are read and written.

A platform's adapter fills in one ``Dialect``; the rest of the program
knows no name of the platform.
"""

import collections.abc
import dataclasses

import h11
import result

from eelgrassknot import exceptions
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import row_store
from eelgrassknot import ids
from eelgrassknot.kernel import registry

__all__ = ['CallerHeaders', 'DIALECTS', 'Dialect', 'ForwardingMetadata']

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class CallerHeaders:
    """What a caller's headers say.

    Attributes:
        deadline_ms: Time that the caller will wait, or None.
        last_event: Last event that the caller has, or None.
        generation: Set where the request asks for a generation.
    """

    request: ids.RequestId | None
    key: str | None
    deadline_ms: float | None
    last_event: int | None
    generation: model.GenerationProfile | None


@dataclasses.dataclass(frozen=True)
class ForwardingMetadata:
    """What the upstream is told beside the caller's own headers.

    Attributes:
        remaining_ms: Time that is left for the answer.
        engine_priority: Urgency at the engine, or None for the default.
        copy_to: Address of the engine that keeps a growing copy.
        continue_from: Where the run's memory is, or None.
        last_event: Last event that the caller has, or None.
    """

    upstream: ids.UpstreamId
    remaining_ms: float
    account: ids.ClientAccountId | None = None
    engine_priority: int | None = None
    copy_to: str | None = None
    continue_from: str | None = None
    last_event: int | None = None


@dataclasses.dataclass(frozen=True)
class Dialect:
    """The functions of one platform's adapter.

    Attributes:
        open_store: Returns a client for one thread, by address.
        config_table: Table of the deployment's state.
        config_key: Key of its row.
        upstreams_table: Table of the upstreams.
        readiness_path: Path at which the balancer asks.
        decode_state: Reads the deployment's state.
        decode_upstream: Reads an entry by key, value and the regions.
        caller_headers: Reads the headers of a caller.
        forwarded_headers: Headers with which a request goes on.
        answer_headers: Headers of an answer that the caller gets.
        answered_request: Request that an answer says it belongs to.
        is_genuine: Whether an answer bears an upstream's signature.
        says_not_run: Whether an answer promises that it was not run.
        encode_move: Builds the call that moves a run's memory.
        decode_move: Reads its answer.
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
    encode_kv_transfer: collections.abc.Callable[
        [str, ids.RequestId, str, bool], tuple[h11.Request, bytes]
    ]
    decode_kv_transfer: collections.abc.Callable[[int, bytes], str | None]


DIALECTS: registry.Registry[Dialect] = registry.Registry('dialect')
