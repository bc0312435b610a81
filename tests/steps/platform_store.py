"""Steps for the client of the users' metadata store."""

import behave
import result

from eelgrassknot import exceptions
from eelgrassknot.forwarding import row_store
from eelgrassknot.platform import store
from standins import users_platform
from tests import raw_server

WAIT_MS = 10.0


@behave.given('a store that answers {escaped} and closes the connection')
def given_store(context, escaped):
    answer = escaped.replace('\\r', '\r').replace('\\n', '\n').encode()
    server = raw_server.RawServer(answer)
    context.add_cleanup(server.stop)
    context.client = store.Store(server.address)


@behave.then('a write to it has an unknown outcome')
def write_unknown(context):
    row = row_store.RowKey('t', 'k')
    for found in (
        context.client.write_row(row, b'v'),
        context.client.insert_row(row, b'v'),
        context.client.delete_row(row),
    ):
        assert isinstance(found, result.Err), found
        error = found.err_value
        assert isinstance(error, exceptions.UnknownOutcomeError), error


@behave.then('its tables cannot be read')
def read_fails(context):
    for found in (
        context.client.read_table('t'),
        context.client.read_feed('t', 1, WAIT_MS),
    ):
        assert isinstance(found, result.Err), found
        error = found.err_value
        assert isinstance(error, exceptions.PlatformUnavailableError), error


@behave.given(
    'the store of the stand-in with rows whose keys are u1, a lone surrogate '
    'and u2'
)
def given_odd_key(context):
    context.platform = users_platform.Platform()
    context.add_cleanup(context.platform.stop)
    for key in ('u1', '\ud800', 'u2'):
        context.platform.put('servers', key, b'x')


@behave.then(
    'the rows u1 and u2 and another one are read from the table and from its '
    'feed'
)
def rows_read(context):
    client = store.Store(context.platform.address)
    for found in (
        client.read_table('servers'),
        client.read_feed('servers', 0, 0.0),
    ):
        keys = {row.key for row in found.unwrap().rows}
        assert {'u1', 'u2'} < keys and len(keys) == 3, keys
