"""Steps for daemons that run as processes."""

import concurrent.futures
import signal

import behave

from eelgrassknot.coordination import config_store
from eelgrassknot.coordination import rows
from eelgrassknot import exceptions
from tests.coordination import deployment
from tests.coordination import silent_relay


def at_version(context, vms, version):
    return all(
        context.deployment.daemons[vm].version() == version for vm in vms
    )


@behave.given(
    'a platform with an accepted text and the daemons "{one}" and "{two}"'
)
def given_daemons(context, one, two):
    context.deployment = deployment.Deployment()
    context.add_cleanup(context.deployment.close)
    for vm in (one, two):
        context.deployment.add(vm)
    context.deployment.list_vms(one, two)
    context.deployment.accept('first')
    context.deployment.start(one, two)
    daemons = context.deployment.daemons.values()
    deployment.wait_for(lambda: all(d.is_ready() for d in daemons))


@behave.when('two operators race while answers of the store are lost')
def operators_race(context):
    faults = {'lose_answers': {'probability': 0.3, 'following': 1}}
    context.deployment.control('POST', '/control', faults)
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        futures = {
            f'{author}-{number}': executor.submit(
                config_store.accept,
                context.deployment.platform.table,
                deployment.document(f'{author}-{number}'),
                author,
                f'{author}-{number}',
            )
            for number in range(4)
            for author in ('ana', 'ben')
        }
    context.answers = {
        change: future.result() for change, future in futures.items()
    }
    faults = {'lose_answers': {'probability': 0.0, 'following': 0}}
    context.deployment.control('POST', '/control', faults)


@behave.then(
    'each text is accepted once or refused, and all daemons converge to one'
)
def each_is_settled(context):
    table = context.deployment.platform.table
    history = config_store.read_history(table).ok_value
    stands = [record.change for record in history]
    assert len(stands) == len(set(stands)), stands
    assert [r.version for r in history] == list(range(1, len(stands) + 1))
    for change, answer in context.answers.items():
        if answer.is_ok():
            assert stands[answer.ok_value.version - 1] == change
        else:
            error = answer.err_value
            assert isinstance(error, exceptions.ConfigConflictError), error
            assert change not in stands, change
    deployment.wait_for(lambda: at_version(context, ('v0', 'v1'), len(stands)))
    context.version = len(stands)


@behave.when(
    'the store is down and the daemon "{vm}" starts with a known peer'
)
def starts_in_outage(context, vm):
    context.deployment.control('POST', '/control', {'outage': 'refuse'})
    peer = context.deployment.daemons['v0'].settings['listen']['peers']
    context.deployment.add(vm, known_peers=[peer])
    context.deployment.start(vm)


@behave.then('"{vm}" is ready with the text of a peer')
def ready_by_peers(context, vm):
    daemon = context.deployment.daemons[vm]
    deployment.wait_for(daemon.is_ready)
    assert daemon.version() == context.version


@behave.when('the daemon "{vm}" starts and knows no peer')
def starts_alone(context, vm):
    context.deployment.add(vm)
    context.deployment.start(vm)


@behave.then(
    '"{vm}" is not ready because neither the store nor a peer has provided'
    ' the text'
)
def says_not_ready(context, vm):
    daemon = context.deployment.daemons[vm]
    status = deployment.wait_for(daemon.status)
    assert status['config_version'] == 0, status
    assert not daemon.is_ready()


@behave.when('the store recovers and another text is accepted')
def store_is_back(context):
    context.deployment.control('POST', '/control', {'outage': 'none'})
    context.version = context.deployment.accept('after the outage')


@behave.then('that text is in force at "{vms}"')
def in_force(context, vms):
    deployment.wait_for(
        lambda: at_version(context, vms.split(), context.version)
    )


@behave.given(
    'a daemon "{vm}" in zone "{zone}" that accesses the store through a relay'
)
def given_far(context, vm, zone):
    address = context.deployment.url.removeprefix('http://')
    context.relay = silent_relay.SilentRelay(address)
    context.add_cleanup(context.relay.close)
    url = f'http://{context.relay.address}'
    context.deployment.add(vm, zone, url)
    context.deployment.list_vms('v0', 'v1', vm)
    context.deployment.start(vm)
    deployment.wait_for(context.deployment.daemons[vm].is_ready)


@behave.when('the relay fails and another text is accepted')
def intermediary_fails(context):
    context.relay.silence()
    context.relay.close()
    context.version = context.deployment.accept('while cut off')


@behave.then('"{vm}" is ready and reports that its store has failed')
def says_failed(context, vm):
    daemon = context.deployment.daemons[vm]
    deployment.wait_for(lambda: daemon.status()['config_store_failed'])
    assert daemon.is_ready()


def holder(context):
    for daemon in context.deployment.daemons.values():
        status = daemon.status()
        if status and status['lease']['held_here']:
            return daemon, status['lease']['epoch']
    return None


@behave.when('the holder of the lease is paused until its lease expires')
def holder_stopped(context):
    context.former, context.epoch = deployment.wait_for(
        lambda: holder(context)
    )
    context.other = next(
        daemon
        for daemon in context.deployment.daemons.values()
        if daemon is not context.former
    )
    context.former.signal(signal.SIGSTOP)


@behave.then('the other daemon takes over the lease with a higher epoch')
def takes_lease_over(context):
    def taken():
        lease = context.other.status()['lease']
        return lease['held_here'] and lease['epoch'] > context.epoch

    deployment.wait_for(taken)


@behave.when('the paused daemon resumes')
def runs_again(context):
    context.former.signal(signal.SIGCONT)


@behave.then('it logs the loss of the lease and the other daemon holds it')
def has_lost(context):
    deployment.wait_for(
        lambda: 'event=lease_lost' in context.deployment.log(context.former.vm)
    )
    assert not context.former.status()['lease']['held_here']
    assert context.other.status()['lease']['held_here']


def peer(context, vm, of):
    for entry in context.deployment.daemons[vm].status()['peers']:
        if entry['vm'] == of:
            return entry
    return None


@behave.when('"{vm}" is killed and replaced by a daemon of the same name')
def killed_and_replaced(context, vm):
    daemon = context.deployment.daemons[vm]
    daemon.signal(signal.SIGKILL)
    daemon.process.wait()
    context.deployment.add(vm)
    context.deployment.list_vms('v0', 'v1')
    context.deployment.start(vm)


@behave.then('"{vm}" considers the new incarnation of "{other}" live')
def knows_new(context, vm, other):
    daemon = context.deployment.daemons[other]
    deployment.wait_for(daemon.is_ready)
    incarnation = daemon.status()['incarnation']

    def known():
        entry = peer(context, vm, other)
        return (entry['incarnation'], entry['state']) == (incarnation, 'live')

    deployment.wait_for(known)


@behave.then('the audit trail records a change of "{vm}"')
def audit_tells(context, vm):
    table = context.deployment.platform.table

    def told():
        listed = table.list_rows(rows.AUDIT_TABLE).ok_value
        return any(
            row.value['kind'] == rows.AuditKind.VM.value
            and row.value['detail']['vm'] == vm
            for row in listed
        )

    deployment.wait_for(told)


@behave.when('the list of VMs marks the daemon "{vm}" as leaving')
def list_says_leave(context, vm):
    context.deployment.list_vms('v0', 'v1', leaving=vm)


@behave.then('"{vm}" considers "{other}" leaving before its process has ended')
def knows_leaving(context, vm, other):
    process = context.deployment.daemons[other].process

    def leaving():
        alive = process.poll() is None
        return peer(context, vm, other)['state'] == 'leaving' and alive

    deployment.wait_for(leaving)
    assert process.wait(deployment.LIMIT_S) == 0
