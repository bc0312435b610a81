"""Steps that run the command line in a subprocess."""

import hashlib
import json
import pathlib
import shlex
import stat
import tempfile

import behave

from tests import cli_process


@behave.given('the directory of the example "{name}"')
def given_directory(context, name):
    given_empty_directory(context)
    cli_process.write_example(name, context.directory)


@behave.given('an empty directory')
def given_empty_directory(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = pathlib.Path(directory.name)
    context.platform_url = ''


@behave.given('a platform')
def given_platform(context):
    context.platform = cli_process.PlatformProcess()
    context.add_cleanup(context.platform.stop)
    context.platform_url = context.platform.url


@behave.given('a platform that refuses all requests')
def given_refusing_platform(context):
    given_platform(context)
    context.platform.send('POST', '/control', {'outage': 'refuse'})


@behave.given('the platform loses the next {count:d} answers of a commit')
def loses_answers(context, count):
    fault = {'lose_answers': {'probability': 0.0, 'following': count}}
    context.platform.send('POST', '/control', fault)


@behave.given('the platform answers all commits with status 503')
def refuse_commits(context):
    fault = {'refuse_writes': {'probability': 1.0, 'following': 0}}
    context.platform.send('POST', '/control', fault)


@behave.when('the platform accepts commits again')
def accept_commits(context):
    fault = {'refuse_writes': {'probability': 0.0, 'following': 0}}
    context.platform.send('POST', '/control', fault)


@behave.when('the operator runs "{command}"')
def run_command(context, command):
    context.done = cli_process.run_cli(
        shlex.split(command), context.directory, context.platform_url
    )
    assert 'Traceback' not in context.done.stderr, context.done.stderr


def change_text(context, change):
    path = context.directory / 'text.json'
    document = json.loads(path.read_text())
    change(document)
    path.write_text(json.dumps(document))


@behave.when('the operator breaks the text in three places')
def break_text(context):
    def change(document):
        document['services'][0]['kind'] = 'motor'
        document['client_accounts'][1]['weight'] = 0
        document['client_accounts'][2]['services'] = ['nothing-like-it']

    change_text(context, change)


@behave.when('the operator changes the weight of "{name}" to {weight:d}')
def change_weight(context, name, weight):
    def change(document):
        for account in document['client_accounts']:
            if account['client_account'] == name:
                account['weight'] = weight

    change_text(context, change)


def assert_code(context, code):
    assert context.done.returncode == code, (
        context.done.returncode,
        context.done.stdout,
        context.done.stderr,
    )


@behave.then('the command ends with {code:d} and prints "{text}"')
def ends_printing(context, code, text):
    assert_code(context, code)
    assert text in context.done.stdout, context.done.stdout


@behave.then('the command ends with {code:d} and its errors say "{text}"')
def ends_with_errors(context, code, text):
    assert_code(context, code)
    assert text in context.done.stderr, context.done.stderr


@behave.then('the command ends with {code:d} and its errors name')
def ends_naming(context, code):
    assert_code(context, code)
    lines = context.done.stderr.splitlines()
    for row in context.table:
        assert any(
            line.startswith(row['path'] + ':') and line.endswith(row['remedy'])
            for line in lines
        ), lines


@behave.then(
    'the command ends with {code:d} and prints JSON with {count:d} "{name}"'
)
def ends_with_json_field(context, code, count, name):
    assert_code(context, code)
    assert len(json.loads(context.done.stdout)[name]) == count


@behave.then(
    'the command ends with {code:d} and prints JSON with {count:d} entries'
)
def ends_with_json(context, code, count):
    assert_code(context, code)
    assert len(json.loads(context.done.stdout)) == count


@behave.then('the command ends with {code:d} and prints the text')
def ends_printing_text(context, code):
    assert_code(context, code)
    accepted = (context.directory / 'text.json').read_text()
    assert json.loads(context.done.stdout) == json.loads(accepted)


@behave.then('its files are readable only by their owner')
def private_files(context):
    files = [p for p in context.directory.rglob('*') if p.is_file()]
    assert len(files) == 8
    for path in files:
        assert stat.S_IMODE(path.stat().st_mode) == 0o600, path


@behave.then('each printed key has its hash in the text')
def keys_match(context):
    document = json.loads((context.directory / 'text.json').read_text())
    hashes = {
        account['client_account']: account['key_sha256']
        for account in document['client_accounts']
    }
    assert hashes == {
        name: hashlib.sha256(key.encode()).hexdigest()
        for name, key in json.loads(context.done.stdout).items()
    }
