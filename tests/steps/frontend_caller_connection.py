"""Steps for the connection of a caller."""

import socket

import behave

from eelgrassknot.frontend import caller_connection


@behave.given("a caller's connection with a timeout of {seconds:d} second")
def given_connection(context, seconds):
    context.near, context.far = socket.socketpair()
    context.near.settimeout(seconds)
    context.add_cleanup(context.near.close)
    context.add_cleanup(context.far.close)


@behave.when('the caller closes it')
def close(context):
    context.far.close()


@behave.then('the caller is disconnected')
def is_gone(context):
    assert caller_connection.peer_closed(context.near)


@behave.then('the caller is still connected')
def is_not_gone(context):
    assert not caller_connection.peer_closed(context.near)
