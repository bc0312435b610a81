"""Steps for hosts and prefixes of routes beyond ASCII."""

import json

import behave

from eelgrassknot.forwarding import state_check
from eelgrassknot.platform import desired_state
from standins import users_documents
from tests import entry_world


@behave.given(
    'a VM in simulated time with a route of the host {host} with the prefix '
    '{prefix}'
)
def given_route(context, host, prefix):
    def change(state):
        state['routes'][0].update(host=host, prefix=prefix)

    context.world = entry_world.EntryWorld()
    context.world.put_state(change)
    context.world.list_upstream('d1', 'desk', 'a')


@behave.when('a booking is sent to the host bytes {sent} and the path {path}')
def send_booking(context, sent, path):
    kind, _, digits = sent.partition('HEX:')
    host = sent.encode('utf-8') if kind else bytes.fromhex(digits)
    exchange = entry_world.Exchange(context.world, 'POST', path, 'r', {})
    exchange.request.headers = [
        (name, host if name == b'host' else value)
        for name, value in exchange.request.headers
    ]
    exchange.request.raw_headers = exchange.request.headers
    context.world.daemon.forwarder.handle(exchange)
    context.exchange = exchange


@behave.then('that route is {outcome}')
def route_is(context, outcome):
    if outcome == 'found':
        assert len(context.world.sent) == 1
    else:
        assert not context.world.sent
        assert context.exchange.status == 404, context.exchange.status


@behave.given('a state with the prefixes {first:S} and {second:S} of one host')
def given_prefixes(context, first, second):
    state = users_documents.desired_state(1)
    state['routes'][0]['prefix'] = first
    state['routes'][1]['prefix'] = second
    decoded = desired_state.decode_state(json.dumps(state).encode())
    context.faults = state_check.check_state(decoded.unwrap())


@behave.then('a fault says that both have the same host and prefix')
def same_place(context):
    (fault,) = context.faults
    assert 'same host and prefix' in fault.reason, fault
