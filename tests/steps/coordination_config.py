"""Steps for the acceptance of services texts."""

import behave
from hypothesis import stateful
from hypothesis import strategies

from eelgrassknot.coordination import config
from eelgrassknot.coordination import config_store
from eelgrassknot.coordination import rows
from eelgrassknot.coordination import text_diff
from eelgrassknot import exceptions
from tests.coordination import memory_table
from tests.coordination import state_machines

OPERATORS = strategies.integers(0, 2)
FATES = ('answered', 'lost', 'late', 'down')


class TrustsAbsence(config.Acceptance):
    """Faulty variant that treats an absent row as a failed write."""

    def _resolve_outcome(self, record):
        if record is None:
            return config.Finish(exceptions.ConfigConflictError('a', 'b'))
        return super()._resolve_outcome(record)


class Unconditional(config.Acceptance):
    """Faulty variant that writes unconditionally."""

    def _transaction(self, current, row_version):
        write = super()._transaction(current, row_version)
        return config.WriteConfig((), write.writes)


class RacingOperators(stateful.RuleBasedStateMachine):
    """Operators who accept texts concurrently in one table.

    A write commits at once, late or twice, and its answer may be lost.
    """

    acceptance_class = config.Acceptance

    def __init__(self):
        super().__init__()
        self.table = memory_table.MemoryTable()
        self.late = []
        self.running = {}
        self.outcomes = {}
        self.count = 0
        self.highest = 0

    def _begin(self, operator):
        self.count += 1
        change = f'c{self.count}'
        acceptance = self.acceptance_class('{}', f'o{operator}', change, 0)
        self.running[operator] = [acceptance, acceptance.start()]

    @stateful.rule(
        operator=OPERATORS,
        fate=strategies.sampled_from(FATES),
    )
    def step(self, operator, fate):
        if operator not in self.running:
            self._begin(operator)
        acceptance, action = self.running[operator]
        event = self._perform(acceptance.change, action, fate)
        action = acceptance.handle(event)
        self.running[operator][1] = action
        if isinstance(action, config.Finish):
            self.outcomes[acceptance.change] = action.outcome
            del self.running[operator]

    def _perform(self, change, action, fate):
        lost = config.WriteFailed(exceptions.UnknownOutcomeError('l', 'r'))
        if isinstance(action, config.WriteConfig):
            write = (change, action.conditions, action.writes)
            if fate == 'late':
                self.late.append(write)
                return lost
            if fate == 'down':
                return lost
            event = config_store._write(self.table, *write)
            return lost if fate == 'lost' else event
        if fate == 'down':
            return config.ReadFailed(exceptions.UnknownOutcomeError('l', 'r'))
        return config_store._perform(self.table, change, action)

    @stateful.rule()
    def late_write_lands(self):
        if self.late:
            self.table.transact(*self.late.pop(0))

    def _history(self):
        return config_store.read_history(self.table).ok_value

    def _version(self):
        current = config_store.read_current(self.table).ok_value
        return current.version if current else 0

    @stateful.invariant()
    def version_never_falls(self):
        version = self._version()
        assert version >= self.highest, 'the version decreased'
        self.highest = version
        stamp = config_store.read_stamp(self.table).ok_value
        assert version == (stamp.version if stamp else 0)

    @stateful.invariant()
    def outcomes_are_true(self):
        changes = [record.change for record in self._history()]
        assert len(changes) == len(set(changes)), 'a text is recorded twice'
        assert len(changes) == self._version(), 'a version is missing'
        for change, outcome in self.outcomes.items():
            match outcome:
                case config.Accepted(version):
                    stands = changes[version - 1 : version]
                    assert stands == [change], 'a text was lost'
                case exceptions.ConfigConflictError():
                    assert change not in changes, 'a refused text is recorded'


def _machine(acceptance):
    return type(
        'Machine', (RacingOperators,), {'acceptance_class': acceptance}
    )


@behave.given('operators who accept texts by compare-and-swap')
def given_operators(context):
    context.machine = _machine(config.Acceptance)


@behave.given('operators who treat an absent row as a refusal')
def given_trusting(context):
    context.machine = _machine(TrustsAbsence)


@behave.given('operators who write without a condition')
def given_unconditional(context):
    context.machine = _machine(Unconditional)


@behave.then('no accepted text is lost and no refused text is in force')
def holds(context):
    state_machines.run(context.machine)


@behave.then('the check on accepted texts fails')
def check_fails(context):
    state_machines.assert_caught(context.machine)


@behave.given('a table that loses the answer to the next acceptance')
def given_losing_table(context):
    context.store = memory_table.MemoryTable()
    context.store.lose_answers = 1


@behave.given('a table in which "{author}" has accepted a text')
def given_accepted(context, author):
    given_many(context, author, 1)


@behave.given('a table in which "{author}" has accepted {count:d} texts')
def given_many(context, author, count):
    context.store = memory_table.MemoryTable()
    for number in range(count):
        accept(context, author, f'{author}-{number}')


def accept(context, author, change, base_version=None):
    context.answer = config_store.accept(
        context.store, '{}', author, change, base_version, lambda _: None
    )


@behave.when('"{author}" accepts a text')
def when_accepts(context, author):
    accept(context, author, f'{author}-new')
    assert context.answer.ok_value.version == 1, context.answer


@behave.when('"{author}" accepts a text based on version {base:d}')
def when_accepts_from(context, author, base):
    accept(context, author, f'{author}-new', base)


@behave.then('version {version:d} by "{author}" is current with its audit row')
def is_current(context, version, author):
    current = config_store.read_current(context.store).ok_value
    assert (current.version, current.author) == (version, author), current
    audit = context.store.list_rows(rows.AUDIT_TABLE).ok_value
    record = rows.decode(audit[0].value, rows.AuditRecord).ok_value
    assert len(audit) == 1 and record.author == author, audit


@behave.then(
    'the acceptance fails with a conflict with version {version:d} by "{name}"'
)
def told_conflict(context, version, name):
    error = context.answer.err_value
    assert isinstance(error, exceptions.ConfigConflictError), error
    assert f'version {version} by {name}' in error.message, error


@behave.then('the history holds versions {first:d} to {last:d}')
def history_holds(context, first, last):
    records = config_store.read_history(context.store).ok_value
    versions = [record.version for record in records]
    assert versions == list(range(first, last + 1)), versions


@behave.given(
    'a services text in which the timeout of service "{name}" changes'
)
def given_changed(context, name):
    other = {'service': 'other', 'timeout_ms': 1}
    before = {'services': [other, {'service': name, 'timeout_ms': 1}]}
    after = {'services': [{'service': name, 'timeout_ms': 2}, other]}
    context.changes = text_diff.diff(before, after)


@behave.then('the difference is reported at "{path}"')
def difference_at(context, path):
    assert [change.path for change in context.changes] == [path]


@behave.then('the service "{name}" is reported as affected')
def concerns(context, name):
    assert text_diff.changed_services(context.changes) == (name,)
