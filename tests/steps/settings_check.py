"""Steps for the validation of services texts and VM settings."""

import ast
import json

import behave
import hypothesis
from hypothesis import strategies
import msgspec

from eelgrassknot import exceptions
from eelgrassknot.settings import check
from eelgrassknot.settings import examples
from eelgrassknot.settings import text as services_text

URL = 'http://127.0.0.1:9000'
HOST = '127.0.0.1'
FIRST_PORT = 18100
DERANDOMIZED = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None, database=None
)

SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.sampled_from(['engine', 'plain', 'desk-app', '127.0.0.1:1'])
)
FIELDS = strategies.text(max_size=4) | strategies.sampled_from(
    [
        *services_text.ServicesText.__struct_fields__,
        *services_text.Service.__struct_fields__,
        *services_text.ClientAccount.__struct_fields__,
        'listen',
        'cursor_keys',
        'secret',
        'file',
    ]
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(FIELDS, inner, max_size=6)
    ),
)


def example(name):
    deployment = examples.DEPLOYMENTS.lookup(name)
    return examples.create(deployment, URL, HOST, FIRST_PORT)


def as_json(value):
    return json.loads(msgspec.json.encode(value))


def set_at(document, path, value):
    *steps, last = path.split('.')
    for step in steps:
        document = document[int(step) if step.isdigit() else step]
    document[int(last) if last.isdigit() else last] = value


def checked(document):
    """Validate a document as both kinds; a valid text must also decode."""
    found = check.check_text(document)
    for fault in found:
        assert fault.path.startswith('$') and fault.reason and fault.remedy
        str(fault).encode('ascii')
    if not found:
        services_text.decode(document)
    check.check_vm(document)
    return found


def paths_in(value, path=()):
    """Yield the path of each value inside a document."""
    yield path
    if isinstance(value, dict):
        for name in value:
            yield from paths_in(value[name], path + (name,))
    elif isinstance(value, list):
        for index, entry in enumerate(value):
            yield from paths_in(entry, path + (index,))


@behave.given('the example text of "{deployment}"')
def given_text(context, deployment):
    context.example = example(deployment)
    context.document = as_json(context.example.text)
    context.check = check.check_text


@behave.given('the example VM settings of "{deployment}"')
def given_vm_settings(context, deployment):
    context.document = as_json(example(deployment).settings[0])
    context.check = check.check_vm


@behave.when('its "{path}" is set to {value}')
@behave.when('their "{path}" is set to {value}')
def set_value(context, path, value):
    value = float('inf') if value == 'inf' else json.loads(value)
    set_at(context.document, path, value)


def faults_of(context):
    text = json.dumps(context.document).replace('Infinity', '1e999')
    return context.check(text)


@behave.then('the settings check finds nothing')
def finds_nothing(context):
    assert faults_of(context) == []


@behave.then('the settings of all its VMs have no fault')
def all_vm_settings(context):
    for settings in context.example.settings:
        assert check.check_vm(msgspec.json.encode(settings)) == []


@behave.then('the settings check names "{path}" with the remedy "{remedy}"')
def names_fault(context, path, remedy):
    found = [(fault.path, fault.remedy) for fault in faults_of(context)]
    assert (path, remedy) in found, found


@behave.then('the settings check finds {count:d} faults')
def finds_faults(context, count):
    found = faults_of(context)
    assert len(found) == count, '\n'.join(map(str, found))


@behave.then('the settings check of the bytes {source} names "{path}"')
def names_path_of_bytes(context, source, path):
    literal, _, times = source.partition(' * ')
    document = ast.literal_eval(literal) * int(times or 1)
    assert path in [fault.path for fault in checked(document)]


@behave.then('the settings check handles any JSON value')
def accepts_values(context):
    @DERANDOMIZED
    @hypothesis.given(VALUES)
    def check_one(value):
        checked(json.dumps(value))

    check_one()


@behave.then('the settings check handles any mutation of the example texts')
def accepts_mutations(context):
    text = msgspec.json.encode(example('nadroga').text)
    settings = msgspec.json.encode(example('nadroga').settings[0])

    @DERANDOMIZED
    @hypothesis.given(strategies.data())
    def check_one(data):
        source = data.draw(strategies.sampled_from([text, settings]))
        document = json.loads(source)
        listed = [path for path in paths_in(document) if path]
        path = data.draw(strategies.sampled_from(listed))
        value = data.draw(VALUES)
        target = document
        for step in path[:-1]:
            target = target[step]
        target[path[-1]] = value
        checked(json.dumps(document))

    check_one()


@behave.then('the settings check handles any bytes')
def accepts_bytes(context):
    @DERANDOMIZED
    @hypothesis.given(strategies.binary(max_size=64))
    def check_one(document):
        checked(document)

    check_one()


@behave.then('no fault of the settings shows "{secret}"')
def hides_secret(context, secret):
    found = faults_of(context)
    assert found
    assert all(secret not in str(fault) for fault in found)
    try:
        check.require_no_faults(found, 'the settings')
    except exceptions.SettingsError as error:
        assert secret not in str(error)
        return
    raise AssertionError('the settings were accepted')
