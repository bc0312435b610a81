"""Steps that run a daemon and read its report with the command line."""

import hashlib
import json
import signal

import behave

from eelgrassknot import http_client
from tests import cli_process
from tests.coordination import deployment

SECRETS = {
    'bearer': 'bearer-key-that-nobody-else-may-ever-see',
    'bad': 'bad-bearer-key-that-is-not-in-the-text',
    'cursor': 'cursor-secret-of-more-than-thirty-two-bytes',
    'peer': 'peer-secret-of-more-than-thirty-two-bytes',
}
GENERATIONS = 3
CALLS = 2


def services_text():
    key_hash = hashlib.sha256(SECRETS['bearer'].encode()).hexdigest()
    return {
        'deployment': 'd',
        'regions': [{'region': 'r', 'availability_zones': ['z0']}],
        'services': [
            {
                'service': 'shop-assistant',
                'kind': 'engine',
                'model': {'model': 'm-writeup', 'version': '3'},
            },
            {'service': 'desk-app', 'kind': 'plain', 'timeout_ms': 10000},
        ],
        'client_accounts': [
            {
                'client_account': 'coral-resort',
                'key_sha256': key_hash,
                'services': ['shop-assistant', 'desk-app'],
            }
        ],
    }


def upstream(vm, kind, service, address):
    host, port = address.split(':')
    return {
        'vm': vm,
        'address': host,
        'port': int(port),
        'availability_zone': 'z0',
        'region': 'r',
        'kind': kind,
        'service': service,
        'state': 'live',
    }


@behave.given('a daemon with an engine, a plain service and known secrets')
def given_daemon(context):
    context.deployment = deployment.Deployment()
    context.add_cleanup(context.deployment.close)
    start = context.deployment.start_listening
    others = [
        upstream('e1', 'engine', 'shop-assistant', start('standins.engine')),
        upstream('p1', 'plain', 'desk-app', start('standins.plain')),
    ]
    context.daemon = context.deployment.add('nadi-1')
    settings = context.daemon.settings
    settings['report_interval_ms'] = 500
    settings['cursor_keys'][0]['secret'] = SECRETS['cursor']
    settings['peer_keys'][0]['secret'] = SECRETS['peer']
    context.deployment.list_vms('nadi-1', others=others)
    text = context.deployment.path / 'text.json'
    text.write_text(json.dumps(services_text()))
    run(context, 'config', 'accept', '--author', 'ana', str(text))
    context.deployment.start('nadi-1')
    deployment.wait_for(context.daemon.is_ready)


def run(context, *arguments):
    done = cli_process.run_cli(
        arguments, context.deployment.path, context.deployment.url
    )
    assert done.returncode == 0, done.stderr
    return done.stdout


def call(context, path, key, body=None):
    listener = context.daemon.settings['listen']['callers']
    answer = http_client.request(
        'POST' if body else 'GET',
        f'http://{listener}{path}',
        json.dumps(body).encode() if body else None,
        {'Authorization': f'Bearer {key}'},
        timeout_ms=30_000,
    )
    return answer.ok_value


def generate(context, key):
    body = {'model': 'shop-assistant', 'prompt': 'tokens=5', 'max_tokens': 5}
    return call(context, '/v1/completions', key, body).status


@behave.when('callers with good and bad keys use both services')
def use_services(context):
    key = SECRETS['bearer']
    deployment.wait_for(lambda: generate(context, key) == 200)
    for _ in range(GENERATIONS):
        assert generate(context, key) == 200
    for _ in range(CALLS):
        answer = call(context, '/services/desk-app/availability', key)
        assert answer.status == 200, answer
    assert generate(context, SECRETS['bad']) == 401


def operators(context, path):
    listener = context.daemon.settings['listen']['operators']
    answer = http_client.request('GET', f'http://{listener}{path}')
    assert answer.ok_value.status == 200, (path, answer)
    return answer.ok_value.body.decode()


@behave.when('the daemon leaves')
def daemon_leaves(context):
    context.shown = [
        operators(context, path) for path in ('/metrics', '/status', '/report')
    ]
    metrics, _, report = context.shown
    for service in ('shop-assistant', 'desk-app'):
        labels = f'{{outcome="done",service="{service}"}}'
        assert f'eelgrassknot_requests_total{labels}' in metrics, metrics
    served = {row['service'] for row in json.loads(report)['operations']}
    assert served == {'shop-assistant', 'desk-app'}, served
    context.status = run(context, 'status', '--json')
    context.daemon.signal(signal.SIGTERM)
    assert context.daemon.process.wait(deployment.LIMIT_S) == 0


@behave.then('the report counts all requests and misses no interval')
def report_counts(context):
    context.shown += [
        run(context, 'report', option) for option in ('--csv', '--html')
    ]
    context.shown.append(run(context, 'report', '--since', '1h', '--json'))
    report = json.loads(context.shown[-1])
    done = {
        row['service']: row['outcomes'].get('done', 0)
        for row in report['operations']
        if row['client_account'] == 'coral-resort'
    }
    assert done['shop-assistant'] >= GENERATIONS + 1, done
    assert done['desk-app'] == CALLS, done
    assert report['coverage']['missing'] == [], report['coverage']


@behave.then('the audit trail names the author of the accepted services text')
def audit_names(context):
    context.shown.append(run(context, 'audit', '--json'))
    authors = [row['author'] for row in json.loads(context.shown[-1])]
    assert 'ana' in authors, authors
    context.shown.append(run(context, 'audit'))


@behave.then('the status command shows the VM at the current version')
def status_shows(context):
    (vm,) = json.loads(context.status)['vms']
    assert (vm['vm'], vm['config_version'], vm['behind']) == ('nadi-1', 1, 0)
    context.shown.append(context.status)


@behave.then(
    'no secret is in the logs, the metrics, the status, the report'
    ' or the audit'
)
def no_secret(context):
    context.shown.append(context.deployment.log('nadi-1'))
    assert all(context.shown)
    for text in context.shown:
        for name, secret in SECRETS.items():
            assert secret not in text, (name, text[:500])
