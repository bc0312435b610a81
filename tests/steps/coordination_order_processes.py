"""Steps for daemons that give orders to engines."""

import json
import signal

import behave
import msgspec

from eelgrassknot.coordination import config_store
from eelgrassknot.coordination import orders
from eelgrassknot.coordination import rows
from eelgrassknot import http_client
from tests.coordination import deployment

MODEL = 'm-quote'
SERVICES = {'quoter': True, 'drafter': False}
FIRST_VERSION = '1'


def _document(version):
    services = [
        {
            'service': service,
            'kind': 'engine',
            'model': {'model': MODEL, 'version': version},
            'engines_check_fencing': checks,
        }
        for service, checks in SERVICES.items()
    ]
    text = json.loads(deployment.document('orders'))
    text['services'] = services
    text['weight_store'] = {'loads_per_minute': 600}
    return json.dumps(text)


def _accept(context, version):
    answer = config_store.accept(
        context.deployment.platform.table,
        _document(version),
        'ana',
        f'orders-{version}',
    )
    assert answer.is_ok(), answer


def _ask(address, path, kind):
    answer = http_client.request('GET', f'http://{address}{path}')
    return msgspec.json.decode(answer.ok_value.body, type=kind)


def _hold(context, version):
    states = [
        _ask(address, '/orders/state', orders.EngineState)
        for address in context.engines.values()
    ]
    return all(state.find_model(MODEL).version == version for state in states)


def _holder(context, excluded=None):
    for daemon in context.deployment.daemons.values():
        if daemon is not excluded and daemon.status()['lease']['held_here']:
            return daemon
    return None


@behave.given(
    'two daemons, an engine that checks fencing numbers and one that'
    ' ignores them'
)
def given_all(context):
    context.deployment = deployment.Deployment()
    context.add_cleanup(context.deployment.close)
    context.engines = {
        service: context.deployment.start_listening(
            'standins.engine',
            '--model',
            MODEL,
            '--version',
            FIRST_VERSION,
            '--check-fencing' if checks else '--no-check-fencing',
        )
        for service, checks in SERVICES.items()
    }
    for vm in ('v0', 'v1'):
        context.deployment.add(vm)
    entries = [
        {
            'vm': f'engine-{service}',
            'address': address.split(':')[0],
            'port': int(address.split(':')[1]),
            'availability_zone': 'z0',
            'region': 'r',
            'kind': 'engine',
            'service': service,
            'state': 'live',
        }
        for service, address in context.engines.items()
    ]
    context.deployment.list_vms('v0', 'v1', others=entries)
    _accept(context, FIRST_VERSION)
    context.deployment.start('v0', 'v1')


@behave.when('the services text specifies version "{version}"')
def ask_for(context, version):
    _accept(context, version)


@behave.then('both engines eventually hold version "{version}"')
def come_to_hold(context, version):
    deployment.wait_for(lambda: _hold(context, version))


@behave.when(
    'the daemon that gives the orders is paused until its lease expires'
)
def stop_holder(context):
    context.stopped = deployment.wait_for(lambda: _holder(context))
    context.stopped.signal(signal.SIGSTOP)
    deployment.wait_for(lambda: _holder(context, excluded=context.stopped))


@behave.when('the daemon that gave the orders resumes')
def go_on(context):
    context.stopped.signal(signal.SIGCONT)


@behave.then(
    'neither engine accepted an order of an earlier holder after one of a'
    ' later holder'
)
def in_order_of_epochs(context):
    for service, address in context.engines.items():
        obeyed = [
            taken['order']['fencing']
            for taken in _taken(address)
            if taken['accepted']
        ]
        assert obeyed == sorted(obeyed), (service, obeyed)
        assert len(set(obeyed)) > 1, (service, obeyed)


@behave.then('the audit trail records each accepted order')
def audited(context):
    table = context.deployment.platform.table

    def told():
        return [
            row.value['summary']
            for row in table.list_rows(rows.AUDIT_TABLE).ok_value
            if row.value['kind'] == rows.AuditKind.ORDER.value
            and row.value['summary'].endswith('taken')
        ]

    count = sum(len(_taken(address)) for address in context.engines.values())
    deployment.wait_for(lambda: len(told()) >= count)


def _taken(address):
    return _ask(address, '/control/history', dict)['orders']
