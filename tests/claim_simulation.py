"""Simulates a keyed call on several VMs with an unreliable store.

Hypothesis chooses when writes take effect, which responses are lost, which
VM crashes, and when the caller repeats its call.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from eelgrassknot import ids
from eelgrassknot.requests import claim as claims
from eelgrassknot.requests import claim_ledger
from eelgrassknot.requests import claim_messages as messages
from eelgrassknot.requests import peers
from eelgrassknot.requests import plain_messages
from eelgrassknot import states

__all__ = ['ClaimHistories']

VMS = ('nadi-1', 'nadi-2', 'savusavu-1')
_PICK = strategies.integers(0, 999)


@dataclasses.dataclass
class _Attempt:
    """One call of the caller to one VM."""

    vm: str
    incarnation: str
    machine: claims.Claim
    actions: list
    dispatched: bool = False
    end: messages.EndClaim | None = None


@dataclasses.dataclass
class _Write:
    """A write sent to the store."""

    attempt: _Attempt
    version: int | None
    row: messages.ClaimRow


class ClaimHistories(stateful.RuleBasedStateMachine):
    """Histories of one key; subclasses set the classes."""

    machine_class = claims.Claim
    ledger_class = claim_ledger.ClaimLedger

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.ledgers = {vm: self.ledger_class(f'{vm}/0') for vm in VMS}
        self.crashes = 0
        self.nonces = 0
        self.attempts = []
        self.row = None
        self.version = 0
        self.delayed = []
        self.ran = []

    @stateful.initialize(
        first=strategies.sampled_from(VMS),
        second=strategies.sampled_from(VMS),
        fault=strategies.sampled_from(['none', 'lost', 'late']),
    )
    def call_twice(self, first, second, fault):
        """The caller repeats its call immediately."""
        self.call(vm=first, other=1)
        self.act_once(pick=0, fault=fault)
        self.call(vm=second, other=1)

    @stateful.rule(vm=strategies.sampled_from(VMS), other=_PICK)
    def call(self, vm, other):
        """The caller sends its call, or another call with the same key."""
        if sum(a.end is None for a in self.attempts) > 3:
            return
        self.nonces += 1
        ledger = self.ledgers[vm]
        machine = self.machine_class(
            'other' if other == 0 else 'same',
            ids.Nonce(f'n{self.nonces}'),
            ledger,
            self.now_ms + 5_000.0,
            self.now_ms,
        )
        attempt = _Attempt(vm, ledger.incarnation, machine, [])
        self.attempts.append(attempt)
        attempt.actions += machine.start()

    def alive(self):
        """Return the attempts whose VM has not crashed."""
        return [
            attempt
            for attempt in self.attempts
            if self.ledgers[attempt.vm].incarnation == attempt.incarnation
        ]

    def handle(self, attempt, event):
        """Pass an event to a claim and queue its actions."""
        attempt.actions += attempt.machine.handle(event, self.now_ms)

    def apply(self, write):
        """Apply a write to the store and return the store's response."""
        present = self.version if self.row is not None else None
        if write.version != present:
            return messages.WriteConflicted()
        self.version += 1
        self.row = write.row
        return messages.WriteCommitted(self.version)

    @stateful.precondition(lambda self: any(a.actions for a in self.alive()))
    @stateful.rule(
        pick=_PICK,
        fault=strategies.sampled_from(
            ['none', 'none', 'none', 'lost', 'late', 'down']
        ),
    )
    def act(self, pick, fault):
        """A VM performs the next action of a claim."""
        self.act_once(pick, fault)

    @stateful.precondition(lambda self: any(a.actions for a in self.alive()))
    @stateful.rule(pick=_PICK, count=strategies.integers(2, 4))
    def act_on(self, pick, count):
        """VMs perform several actions without a fault."""
        for _ in range(count):
            if any(a.actions for a in self.alive()):
                self.act_once(pick, 'none')

    def act_once(self, pick, fault):
        """Perform one action of one claim."""
        ready = [a for a in self.alive() if a.actions]
        attempt = ready[pick % len(ready)]
        action = attempt.actions.pop(0)
        match action:
            case messages.WriteClaim(version):
                row = self.new_row(attempt, messages.ClaimState.CLAIMED)
                self.write(_Write(attempt, version, row), fault)
            case messages.StoreOutcome(version, state, answer):
                row = self.new_row(attempt, state, answer)
                self.write(_Write(attempt, version, row), fault)
            case messages.ReadRow() if fault in ('none', 'late'):
                self.handle(attempt, messages.RowRead(self.row, self.version))
            case messages.ReadRow():
                self.handle(attempt, messages.ReadFailed())
            case messages.AskOwner(row):
                self.handle(attempt, self.query_owner(row, fault))
            case messages.StartCall():
                self.run_call(attempt, pick)
            case messages.EndClaim():
                assert attempt.end is None, 'two outcomes'
                attempt.end = action

    def new_row(self, attempt, state, answer=None):
        """Return a row as written by a VM."""
        return messages.ClaimRow(
            state=state,
            vm=attempt.vm,
            incarnation=attempt.incarnation,
            nonce=attempt.machine.nonce,
            request_hash=attempt.machine.request_hash,
            written_at_ms=self.now_ms,
            answer=answer,
        )

    def write(self, write, fault):
        """Send a write to the store."""
        if fault == 'none':
            self.handle(write.attempt, self.apply(write))
        elif fault == 'down':
            self.handle(write.attempt, messages.WriteUnavailable())
        else:
            if fault == 'late':
                self.delayed.append(write)
            else:
                self.apply(write)
            self.handle(write.attempt, messages.WriteUnknown())

    def query_owner(self, row, fault):
        """Query the VM named in a row."""
        if fault in ('lost', 'down'):
            return messages.OwnerAnswered(peers.OwnerAnswer.UNREACHABLE)
        ledger = self.ledgers[row.vm]
        answer = ledger.answer(row.incarnation, row.nonce)
        return messages.OwnerAnswered(answer)

    def run_call(self, attempt, pick):
        """Dispatch the call; it runs, or no byte of it is sent."""
        assert not attempt.dispatched, 'one claim dispatched twice'
        attempt.dispatched = True
        nonce = attempt.machine.nonce
        if pick % 5 == 0:
            end = plain_messages.EndCall(states.Outcome.NOT_RUN, 'refused')
        elif pick % 5 == 1:
            self.ran.append(nonce)
            end = plain_messages.EndCall(states.Outcome.UNKNOWN, 'no_answer')
        else:
            self.ran.append(nonce)
            answer = plain_messages.Answer(200, 'text/plain', nonce.encode())
            end = plain_messages.EndCall(states.Outcome.DONE, 'ok', answer)
        self.handle(attempt, messages.CallEnded(end))

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule(pick=_PICK)
    def late_write_lands(self, pick):
        """A write whose response timed out takes effect."""
        self.apply(self.delayed.pop(pick % len(self.delayed)))

    @stateful.rule(by_ms=strategies.sampled_from([200.0, 1_500.0, 6_000.0]))
    def pass_time(self, by_ms):
        """Time passes on all VMs, including paused ones."""
        self.now_ms += by_ms
        for attempt in self.alive():
            self.handle(attempt, messages.Tick())

    @stateful.rule(vm=strategies.sampled_from(VMS), rare=_PICK)
    def crash(self, vm, rare):
        """A VM is occasionally replaced."""
        if rare % 2:
            return
        self.crashes += 1
        self.ledgers[vm] = self.ledger_class(f'{vm}/{self.crashes}')

    @stateful.invariant()
    def at_most_once(self):
        """The call ran once or not at all."""
        assert len(self.ran) <= 1, f'the call ran by {self.ran}'

    @stateful.invariant()
    def outcomes_are_true(self):
        """The outcome reported to each attempt is and stays correct."""
        for attempt in self.attempts:
            if attempt.end is None:
                continue
            nonce = attempt.machine.nonce
            match attempt.end.outcome:
                case states.Outcome.NOT_RUN:
                    assert nonce not in self.ran, 'not_run of a call that ran'
                case states.Outcome.DONE:
                    end = attempt.end
                    answer = end.row.answer if end.row else end.answer
                    assert answer.body.decode() in self.ran, answer
