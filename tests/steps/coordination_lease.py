"""Steps for the lease."""

import behave
from hypothesis import stateful
from hypothesis import strategies

from eelgrassknot.coordination import lease as leases
from eelgrassknot.coordination import lease_messages as messages
from tests.coordination import state_machines

VMS = ('a', 'b', 'c')
VM = strategies.sampled_from(VMS)
STEPS_MS = strategies.sampled_from((50, 1_500, 6_600, 8_100))


class FromAnswer(leases.Lease):
    """Faulty variant that measures the lease from the write's answer."""

    def _hold(self, record, sent_ms, now_ms):
        return super()._hold(record, now_ms, now_ms)


class Impatient(leases.Lease):
    """Faulty variant that takes over before the lease has expired."""

    def _takeover_ms(self):
        return super()._takeover_ms() - 0.9 * leases.DURATION_MS


class SameEpoch(leases.Lease):
    """Faulty variant that takes over without incrementing the epoch."""

    def _write(self, record, takes_over, now_ms):
        if takes_over and record.epoch > 1:
            record = type(record)(record.epoch - 1, self.vm, self.vm, 0)
        return super()._write(record, takes_over, now_ms)


def make(vm, lease_class=leases.Lease):
    return lease_class(vm, vm)


class Row:
    """Row of the lease, with conditional writes."""

    def __init__(self):
        self.record = None
        self.version = None

    def perform(self, action):
        if isinstance(action, messages.ReadRow):
            return messages.RowRead(self.record, self.version)
        if action.row_version != self.version:
            return messages.WriteConflicted()
        self.record = action.record
        self.version = (self.version or 0) + 1
        return messages.WriteCommitted(self.version)


class Contenders(stateful.RuleBasedStateMachine):
    """Three VMs that compete for one row.

    Answers are lost or late, and VMs are paused.
    """

    lease_class = leases.Lease

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.row = Row()
        self.leases = {vm: make(vm, self.lease_class) for vm in VMS}
        self.asked = {}
        self.late = []
        self.holders = {}
        self.epoch = 0

    def _tell(self, vm, event):
        for action in self.leases[vm].handle(event, self.now_ms):
            match action:
                case messages.ReadRow() | messages.WriteRow():
                    self.asked[vm] = action
                case messages.Gained(epoch):
                    holder = self.holders.setdefault(epoch, vm)
                    assert holder == vm, f'two holders of epoch {epoch}'
        self.one_may_order()

    def _serve(self, vm):
        while vm in self.asked:
            self._tell(vm, self.row.perform(self.asked.pop(vm)))

    @stateful.rule(vm=VM, step_ms=STEPS_MS)
    def runs(self, vm, step_ms):
        self.now_ms += step_ms
        self._serve(vm)
        self._tell(vm, messages.Tick())
        self._serve(vm)

    @stateful.rule(vm=VM, other=VM, seconds=strategies.integers(1, 10))
    def answer_is_slow(self, vm, other, seconds):
        self._tell(vm, messages.Tick())
        if vm == other or vm not in self.asked:
            return
        answer = self.row.perform(self.asked.pop(vm))
        for _ in range(seconds):
            self.runs(other, 1_000)
        self._tell(vm, answer)

    @stateful.rule(vm=VM, fate=strategies.sampled_from(('took', 'late', '')))
    def answer_is_lost(self, vm, fate):
        self._tell(vm, messages.Tick())
        if vm not in self.asked:
            return
        action = self.asked.pop(vm)
        if fate == 'took':
            self.row.perform(action)
        if fate == 'late':
            self.late.append(action)
        wrote = isinstance(action, messages.WriteRow)
        failed = messages.WriteFailed if wrote else messages.ReadFailed
        self._tell(vm, failed())

    @stateful.rule()
    def late_write_lands(self):
        if self.late:
            self.row.perform(self.late.pop(0))

    @stateful.invariant()
    def one_may_order(self):
        able = [
            vm
            for vm, lease in self.leases.items()
            if lease.is_valid(self.now_ms)
        ]
        assert len(able) <= 1, f'{able} hold the lease at the same time'

    @stateful.invariant()
    def epoch_never_falls(self):
        epoch = self.row.record.epoch if self.row.record else 0
        assert epoch >= self.epoch, 'the epoch decreased'
        self.epoch = epoch


def machine(lease_class):
    return type('Machine', (Contenders,), {'lease_class': lease_class})


@behave.given('VMs that measure a lease from before its write is sent')
def given_leases(context):
    context.machine = machine(leases.Lease)


@behave.given('VMs that measure a lease from the answer to its write')
def given_from_answer(context):
    context.machine = machine(FromAnswer)


@behave.given('VMs that take over before the lease has expired')
def given_impatient(context):
    context.machine = machine(Impatient)


@behave.given('VMs that do not increment the epoch when they take over')
def given_same_epoch(context):
    context.machine = machine(SameEpoch)


@behave.then('at most one of them may give orders at any time')
def one_orders(context):
    state_machines.run(context.machine, 200)


@behave.then('the check on leases fails')
def lease_check_fails(context):
    state_machines.assert_caught(context.machine)


def step(context, name, event):
    lease = context.leases[name]
    pending = lease.handle(event, context.now_ms)
    while pending:
        action = pending.pop(0)
        if isinstance(action, messages.ReadRow | messages.WriteRow):
            answer = context.row.perform(action)
            pending += lease.handle(answer, context.now_ms)


@behave.given('a lease that "{holder}" holds and "{watcher}" watches')
def given_held(context, holder, watcher):
    context.now_ms = 0.0
    context.row = Row()
    context.leases = {name: make(name) for name in (holder, watcher)}
    step(context, holder, messages.Tick())
    step(context, watcher, messages.Tick())
    assert context.leases[holder].is_valid(0.0)


@behave.when('"{name}" releases the lease')
def releases(context, name):
    step(context, name, messages.Release())


@behave.then('"{name}" takes over at its next poll with epoch {epoch:d}')
def takes_over(context, name, epoch):
    context.now_ms += leases.POLL_MS
    step(context, name, messages.Tick())
    assert context.leases[name].epoch == epoch
