"""Steps for the names of upstreams in the headers of requests."""

import io
import json

import behave

from eelgrassknot import logs
from tests import entry_world

PREFIXES = {
    'plain': 'p',
    'Latin-1': 'é',
    'Hangul': '한',
    'emoji': '😀',
    'line feed': 'a\nb',
    'trailing tab': 'a\t',
    'leading blank': ' a',
    'NUL': 'a\0',
}
REQUESTS = 6


def _list(context, letters):
    prefix = PREFIXES[letters]
    head = prefix if prefix[0] == ' ' else ''
    tail = '' if head else prefix
    for kind, service in (('d', 'desk'), ('w', 'writer')):
        context.world.list_upstream(f'{head}{kind}{tail}', service, 'a')


@behave.given(
    'a VM in simulated time with a server and an engine with {letters} names'
)
def given_world(context, letters):
    context.log = io.StringIO()
    logs.configure('info', context.log)
    context.world = entry_world.EntryWorld()
    context.world.put_state()
    _list(context, letters)


@behave.given('another server and engine whose names have a {letters}')
def given_odd_names(context, letters):
    _list(context, letters)
    context.odd = letters


@behave.when('requests of each kind are sent to them')
def send_all(context):
    for number in range(REQUESTS):
        context.world.send('/book/x', f'b-{number}')
        context.world.send('/look/x', f'l-{number}', 'GET')
        context.world.send(
            '/write/x', f's-{number}', **{'Token-Counts': '100,20'}
        )


@behave.then('each is sent its own name in UTF-8')
def own_names(context):
    assert len(context.world.sent) == 3 * REQUESTS
    for sent in context.world.sent:
        expected = b'\r\nExpect-Instance: %s\r\n' % sent.upstream.encode()
        assert expected in sent.connection.data, sent.connection.data


@behave.then('all are sent to those with plain names')
def sent_to_plain(context):
    assert len(context.world.sent) == 3 * REQUESTS
    for sent in context.world.sent:
        assert sent.upstream in ('dp', 'wp'), sent.upstream


@behave.then('the log says which entries cannot be used')
def logged(context):
    lines = context.log.getvalue().splitlines()
    found = [line for line in lines if 'event=entry_unreadable' in line]
    assert len(found) == 2, found
    odd = set(context.world.names.values()) - {'dp', 'wp'}
    for name in odd:
        assert any(f'key={json.dumps(name)}' in each for each in found), found
