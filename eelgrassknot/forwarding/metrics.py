"""Counters and histograms of the forwarding path."""

from eelgrassknot.forwarding import instruments

__all__ = [
    'ATTEMPT_FAULTS',
    'BLOCKED_COMBINATIONS',
    'COLD_REQUESTS',
    'COLD_UPSTREAMS',
    'CALLERS_GIVEN_UP',
    'CALLER_BYTES',
    'COPIES',
    'CRASH_REPORTS',
    'EVACUATED_ZONES',
    'HOME_REFUSALS',
    'ENGINE_RUN_LIMIT',
    'ENGINE_SPEED_AGE_SECONDS',
    'ENGINE_SPEED_SAMPLES',
    'ENGINE_STEP_FACTOR',
    'ENGINE_MEMORY_RESERVE',
    'LIMITED_REQUESTS',
    'LIMITED_UPSTREAMS',
    'PAUSES',
    'PERMITS',
    'REQUESTS_IN_PROGRESS',
    'CONNECTIONS_OPENED',
    'REFUSALS',
    'REQUESTS',
    'REQUEST_SECONDS',
    'RESPONSE_TURNS',
    'SENDS_PREVENTED',
    'STATE_VERSION',
    'STORE_CALLS',
    'TAKEOVERS',
    'UNREADABLE_ROWS',
    'STREAMS_WAITING',
    'STREAMS_WAITING_BY_RANK',
]

REQUESTS = instruments.Counter(
    'eelgrassknot_requests',
    'Requests that were forwarded, by kind of route and end',
    ['kind', 'outcome'],
)
REFUSALS = instruments.Counter(
    'eelgrassknot_refusals',
    'Requests that were not forwarded, by reason',
    ['reason'],
)
REQUEST_SECONDS = instruments.Histogram(
    'eelgrassknot_request_seconds',
    'Time to the end of a call, or to the first event of a stream',
    ['kind'],
    (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0),
)
ATTEMPT_FAULTS = instruments.Counter(
    'eelgrassknot_attempt_faults',
    'Attempts without a whole answer, by fault',
    ['fault'],
)
RESPONSE_TURNS = instruments.Counter(
    'eelgrassknot_response_turns',
    'Turns of the event loop taken by responses in many pieces',
)
TAKEOVERS = instruments.Counter(
    'eelgrassknot_takeovers',
    'Streams that went on at another engine',
)
COPIES = instruments.Counter(
    'eelgrassknot_copies',
    'Copies of runs that were made on request, by outcome',
    ['outcome'],
)
CONNECTIONS_OPENED = instruments.Counter(
    'eelgrassknot_upstream_connections_opened',
    'Connections opened to upstreams',
)
PAUSES = instruments.Counter(
    'eelgrassknot_pauses',
    'Pauses that upstreams have stated when they turned a request away',
)
LIMITED_UPSTREAMS = instruments.Gauge(
    'eelgrassknot_limited_upstreams',
    'Upstreams that currently state a request limit',
)
LIMITED_REQUESTS = instruments.Counter(
    'eelgrassknot_limited_requests',
    'Requests sent to upstreams with a request limit, by purpose',
    ['purpose'],
)
PERMITS = instruments.Counter(
    'eelgrassknot_permits',
    'Requested permits to send to limited or cold upstreams, by result and '
    'cause',
    ['result', 'cause'],
)
COLD_UPSTREAMS = instruments.Gauge(
    'eelgrassknot_cold_upstreams',
    'Upstreams that are cold and tolerate a limited rate',
)
COLD_REQUESTS = instruments.Counter(
    'eelgrassknot_cold_requests',
    'Requests sent to cold upstreams, by purpose',
    ['purpose'],
)
STORE_CALLS = instruments.Counter(
    'eelgrassknot_store_calls',
    'Calls to the store, by outcome',
    ['outcome'],
)
UNREADABLE_ROWS = instruments.Counter(
    'eelgrassknot_unreadable_rows',
    'Rows of the store that were left out, by table',
    ['table'],
)
CALLERS_GIVEN_UP = instruments.Counter(
    'eelgrassknot_callers_given_up',
    'Callers that were refused or closed for what they held, by reason',
    ['reason'],
)
CALLER_BYTES = instruments.Gauge(
    'eelgrassknot_caller_bytes', 'Bytes of memory held for callers'
)
CRASH_REPORTS = instruments.Counter(
    'eelgrassknot_crash_reports',
    'Streams whose engine crashed before their first event, by origin of '
    'the report',
    ['origin'],
)
BLOCKED_COMBINATIONS = instruments.Gauge(
    'eelgrassknot_blocked_combinations',
    'Combinations of prompt parts that are blocked',
)
EVACUATED_ZONES = instruments.Gauge(
    'eelgrassknot_evacuated_zones',
    'Availability zones whose upstreams get no new work',
)
HOME_REFUSALS = instruments.Counter(
    'eelgrassknot_home_refusals',
    'Requests refused because no upstream in a home region was usable, by '
    'kind of route',
    ['kind'],
)
SENDS_PREVENTED = instruments.Counter(
    'eelgrassknot_sends_prevented',
    'Requests that were not sent to an upstream that had been chosen, by '
    'reason',
    ['reason'],
)
REQUESTS_IN_PROGRESS = instruments.Gauge(
    'eelgrassknot_requests_in_hand', 'Requests that are being served'
)
STREAMS_WAITING = instruments.Gauge(
    'eelgrassknot_streams_waiting', 'Streams that wait for an engine'
)
STREAMS_WAITING_BY_RANK = instruments.Gauge(
    'eelgrassknot_streams_waiting_by_rank',
    'Streams that wait for an engine, by rank; 0 is the most urgent',
    ['rank'],
)
ENGINE_MEMORY_RESERVE = instruments.Gauge(
    'eelgrassknot_engine_memory_reserve',
    "Share of the engines' memory kept for runs that move, by service",
    ['service'],
)
STATE_VERSION = instruments.Gauge(
    'eelgrassknot_state_version', 'Version of the state in force'
)
ENGINE_STEP_FACTOR = instruments.Gauge(
    'eelgrassknot_engine_step_factor',
    'Duration of a decode step relative to an engine of speed 1, estimated '
    'over all VMs',
    ['upstream'],
)
ENGINE_SPEED_SAMPLES = instruments.Gauge(
    'eelgrassknot_engine_speed_samples',
    'Weight of the samples behind the estimate of an engine',
    ['upstream'],
)
ENGINE_SPEED_AGE_SECONDS = instruments.Gauge(
    'eelgrassknot_engine_speed_age_seconds',
    'Age of the latest sample of an engine',
    ['upstream'],
)
ENGINE_RUN_LIMIT = instruments.Gauge(
    'eelgrassknot_engine_run_limit',
    'Number of runs beyond which an engine produces less',
    ['upstream'],
)
