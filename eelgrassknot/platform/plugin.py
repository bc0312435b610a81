"""Enters the adapter of the users' platform as a dialect."""

from eelgrassknot.forwarding import dialect
from eelgrassknot.platform import desired_state
from eelgrassknot.platform import engines
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
    decode_upstream=servers.decode_upstream,
    caller_headers=wire.caller_headers,
    forwarded_headers=wire.forwarded_headers,
    answer_headers=wire.answer_headers,
    answered_request=wire.answered_request,
    is_genuine=wire.is_genuine,
    says_not_run=wire.says_not_run,
    encode_move=engines.encode_move,
    decode_move=engines.decode_move,
)

dialect.DIALECTS.register(NAME)(DIALECT)
