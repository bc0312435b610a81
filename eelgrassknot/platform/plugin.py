"""Registration of the users' platform as a dialect."""

from eelgrassknot.forwarding import dialect
from eelgrassknot.platform import desired_state
from eelgrassknot.platform import engines
from eelgrassknot.platform import evacuations
from eelgrassknot.platform import servers
from eelgrassknot.platform import store
from eelgrassknot.platform import wire

__all__ = ['DIALECT', 'NAME']

NAME = 'users'

DIALECT = dialect.Dialect(
    open_store=store.Store,
    config_table=desired_state.CONFIG_TABLE,
    config_key=desired_state.CONFIG_KEY,
    upstreams_table=servers.SERVERS_TABLE,
    readiness_path=wire.READINESS_PATH,
    decode_state=desired_state.decode_state,
    evacuated_zone=evacuations.evacuated_zone,
    decode_upstream=servers.decode_upstream,
    caller_headers=wire.caller_headers,
    forwarded_headers=wire.forwarded_headers,
    response_headers=wire.response_headers,
    echoed_request_id=wire.echoed_request_id,
    is_signed=wire.is_signed,
    declares_not_executed=wire.declares_not_executed,
    stated_limit=wire.stated_limit,
    stated_pause_ms=wire.stated_pause_ms,
    states_leaving=wire.states_leaving,
    stated_warm_up_ms=wire.stated_warm_up_ms,
    encode_kv_transfer=engines.encode_kv_transfer,
    decode_kv_transfer=engines.decode_kv_transfer,
)

dialect.DIALECTS.register(NAME)(DIALECT)
