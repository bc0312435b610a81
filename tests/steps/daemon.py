"""Steps for the daemon as a process."""

import socket

import behave

from tests.coordination import deployment


@behave.given('a daemon whose address for callers is in use')
def given_taken(context):
    context.deployment = deployment.Deployment()
    context.add_cleanup(context.deployment.close)
    daemon = context.deployment.add('v0')
    address = daemon.settings['listen']['callers']
    host, port = address.split(':')
    taken = socket.create_server((host, int(port)))
    context.add_cleanup(taken.close)


@behave.when('that daemon is started')
def start(context):
    context.deployment.start('v0')


@behave.then('it exits with code {code:d}')
def ends(context, code):
    process = context.deployment.daemons['v0'].process
    assert process.wait(deployment.TIMEOUT_S) == code


@behave.then('its log names the part "{part}" and a remedy')
def names(context, part):
    log = context.deployment.log('v0')
    assert f'event=start_failed part={part}' in log, log
    assert 'remedy' in log
