"""Steps for the adapter of the users' platform."""

import json
import pathlib
import re
import tempfile
from unittest import mock

import behave
import result

from eelgrassknot import exceptions
from eelgrassknot.forwarding import dialect
from eelgrassknot import logs
from eelgrassknot.platform import desired_state
from eelgrassknot.platform import engines
from eelgrassknot.platform import servers
from eelgrassknot.platform import wire
from eelgrassknot.settings import entry as entry_settings
from standins import users_documents

TEMPLATE = (
    pathlib.Path(__file__).resolve().parents[2]
    / 'deploy'
    / 'entry-settings.json.template'
)


def _forward(raw):
    facts = dialect.ForwardingMetadata('u1', 1234.7, 'acme')
    return wire.forwarded_headers(raw, facts)


@behave.then('a request with these headers is forwarded without them')
def without_them(context):
    raw = [(row['header'].encode(), b'theirs') for row in context.table]
    raw.append((b'Connection', b'x-named'))
    sent = _forward(raw)
    assert b'theirs' not in [value for _, value in sent], sent


@behave.then('a request is forwarded with these headers')
def with_them(context):
    raw = [(b'Request-Id', b'q1'), (b'X-Other', b'kept')]
    sent = dict(_forward(raw))
    for row in context.table:
        assert sent[row['header'].encode()].decode() == row['value'], sent


@behave.then(
    'the counts {counts} with the parts {parts} are decoded as {meaning}'
)
def counts_read(context, counts, parts, meaning):
    headers = [(b'Token-Counts', counts.encode())]
    if parts != 'none':
        headers.append((b'Prompt-Prefix', parts.encode()))
    found = wire.caller_headers(headers).generation
    decoded = 'no generation'
    if found is not None:
        decoded = (
            f'{found.prompt_tokens} {found.max_output_tokens} '
            f'{len(found.parts)} parts'
        )
    assert decoded == meaning, decoded


@behave.then('the entry {entry} is {outcome:w}')
def entry_is(context, entry, outcome):
    found = servers.decode_upstream('u1', entry.encode(), {'z': 'r'})
    assert isinstance(found, result.Ok) == (outcome == 'used'), found


@behave.given('the desired state of the stand-in')
def state_of_standin(context):
    context.state = users_documents.desired_state(3)


def _decode(context):
    return desired_state.decode_state(json.dumps(context.state).encode())


@behave.then('its version, routes, services, accounts and limits are decoded')
def state_read(context):
    state = _decode(context).ok_value
    assert state.version == 3
    assert {r.prefix for r in state.routes} == {'/book/', '/look/', '/write/'}
    assert state.has_accounts
    assert state.accounts[0].keys == ('key-one', 'key-two')
    engine = state.services['writer'].engine
    assert engine.can_copy and engine.handle_ttl_ms == 5_000.0
    assert state.limits.idle_timeout_ms == 15_000.0


@behave.when('the field "{field}" of its first route is "{value}"')
def field_is(context, field, value):
    context.state['routes'][0][field] = value


@behave.then('decoding fails with an error that names "{word}"')
def reading_fails(context, word):
    assert word in str(_decode(context).err_value)


def _settings(change):
    document = users_documents.entry_settings(
        'vm-1',
        'z',
        {'callers': 1, 'readiness': 2, 'peers': 3, 'metrics': 4},
        '127.0.0.1:5',
    )
    change(document)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'settings.json'
        path.write_text(json.dumps(document))
        try:
            entry_settings.load(str(path))
        except exceptions.SettingsError as error:
            return str(error)
    return ''


@behave.then(
    'settings with the unknown field "{name}" are rejected with an error '
    'naming it'
)
def unknown_field(context, name):
    message = _settings(lambda document: document.update({name: 1}))
    assert name in message and 'remedy' in message, message


@behave.then('settings without "{name}" are rejected with an error naming it')
def missing_field(context, name):
    message = _settings(lambda document: document.pop(name))
    assert name in message and 'remedy' in message, message


@behave.then(
    'settings with the address "{address}" are rejected with an error '
    'naming it'
)
def wrong_address(context, address):
    message = _settings(
        lambda document: document['listen'].update(callers=address)
    )
    assert address in message and 'callers' in message, message


@behave.then(
    'settings with "{name}" {value:d} are rejected with an error naming it'
)
def wrong_bound(context, name, value):
    message = _settings(lambda document: document.update({name: value}))
    assert name in message and 'remedy' in message, message


@behave.then('the request limit {header} is decoded as {meaning}')
def limit_read(context, header, meaning):
    headers = [(b'Server-Limit', header.encode())] if header != 'none' else []
    match wire.stated_limit(headers):
        case result.Ok(None):
            decoded = 'no limit'
        case result.Ok(per_s):
            decoded = str(per_s)
        case result.Err():
            decoded = 'invalid'
    assert decoded == meaning, decoded


@behave.then('the remaining warm-up {header} is decoded as {meaning}')
def warm_up_header(context, header, meaning):
    text = '9' * 400 if header == '400 digits' else header
    headers = (
        [] if header == 'none' else [(b'Warmup-Remaining', text.encode())]
    )
    found = wire.stated_warm_up_ms(headers)
    if meaning == 'invalid':
        assert isinstance(found, result.Err), found
        return
    expected = None if meaning == 'nothing' else float(meaning)
    assert found == result.Ok(expected), found


@behave.when(
    'its first service states the warm-up {warm_up} and the rate {rate}'
)
def states_warm_up(context, warm_up, rate):
    text = json.dumps(context.state)
    members = ''
    for name, value in (('warmupS', warm_up), ('warmupPerS', rate)):
        if value != 'none':
            value = '1' + '0' * 400 if value == '10**400' else value
            members += f'"{name}": {value}, '
    context.raw = text.replace(
        '{"name": "desk"', '{' + members + '"name": "desk"'
    ).encode()


@behave.then(
    'that service is cold for {duration:d} ms and tolerates {per_s:d} '
    'requests a second'
)
def service_warm_up(context, duration, per_s):
    state = desired_state.decode_state(context.raw).unwrap()
    found = state.services['desk']
    assert (found.warm_up_ms, found.warm_up_per_s) == (duration, per_s), found
    assert len(state.services) == len(context.state['services'])


@behave.then('decoding it twice logs one warning that names {field}')
def one_warning(context, field):
    with mock.patch.object(logs, 'warning', autospec=True) as warning:
        desired_state.decode_state(context.raw).unwrap()
        desired_state.decode_state(context.raw).unwrap()
    (call,) = warning.call_args_list
    assert call.kwargs['field'] == field, call


@behave.then('the warm-up {left} in an entry is decoded as {meaning:d}')
def entry_warm_up(context, left, meaning):
    entry = (
        '{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",'
        f'"warmupLeftMs":{left}}}'
    )
    found = servers.decode_upstream('u', entry.encode(), {}).unwrap()
    assert found.warm_up_ms == meaning, found


@behave.then(
    'the template of the settings with {values} gives the rules {rules}'
)
def template_gives(context, values, rules):
    stated = {}
    if values != 'nothing optional':
        stated = dict(pair.split() for pair in values.split(', '))
    text = TEMPLATE.read_text()
    for mark, is_stated in (('#', True), ('^', False)):
        text = re.sub(
            r'\{\{\%s([\w.]+)\}\}(.*?)\{\{/\1\}\}' % mark,
            lambda found, wanted=is_stated: (
                found[2]
                if (found[1].split('.')[-1] in stated) == wanted
                else ''
            ),
            text,
        )
    rendered = re.sub(
        r'\{\{([\w.]+)\|json\}\}',
        lambda found: _template_value(found[1], stated),
        text,
    )
    rendered = re.sub(r'\{\{[\w.]+\}\}', '10.0.0.1', rendered)
    rendered = rendered.replace('10.0.0.1:10.0.0.1', '10.0.0.1:80')
    with tempfile.NamedTemporaryFile(suffix='.json') as file:
        pathlib.Path(file.name).write_text(rendered)
        found = entry_settings.load(file.name).rules
    assert rules == (
        f'{found.warm_up_excess}, {found.warm_up_slack}, {found.evacuate_ms}'
    ), found


def _template_value(name, stated):
    last = name.split('.')[-1]
    if last in stated:
        return stated[last]
    if last in ('zones',):
        return '{"z": "r"}'
    if last in ('nodeName', 'zone', 'region'):
        return '"z"'
    if last in ('front', 'ready', 'address'):
        return '"10.0.0.1:80"'
    return '7'


def _kept_name(name):
    headers = [
        (b'Token-Counts', b'100,20'),
        (b'Prompt-Prefix', f'{name}:80,b2:20'.encode()),
    ]
    (kept,) = wire.caller_headers(headers).generation.shared_parts
    return kept


@behave.then('a part name of {length:d} characters is kept as it is')
def name_kept(context, length):
    assert _kept_name('a' * length) == 'a' * length


@behave.then(
    'a part name of {length:d} characters is kept as {kept:d} others, '
    'always the same'
)
def name_hashed(context, length, kept):
    found = _kept_name('a' * length)
    assert len(found) == kept, found
    assert found == _kept_name('a' * length)
    assert found != _kept_name('b' * length)


@behave.then('the response to a move with the handle {handle} gives {outcome}')
def handle_decoded(context, handle, outcome):
    body = f'{{"handle": {handle}, "created": 3}}'.encode()
    found = engines.decode_kv_transfer(200, body)
    if outcome == 'no handle':
        assert found is None, found
    else:
        assert found == str(json.loads(handle)), found
