"""Steps for the claims of keyed calls."""

import behave
import msgspec

from eelgrassknot import ids
from eelgrassknot.requests import claim as claims
from eelgrassknot.requests import claim_expiry
from eelgrassknot.requests import claim_ledger
from eelgrassknot.requests import claim_messages as messages
from eelgrassknot.requests import peers
from eelgrassknot.requests import plain_messages
from eelgrassknot import states
from eelgrassknot.storage import base
from tests import claim_simulation
from tests import histories


class _TakesOver(claims.Claim):
    def _owner_answered(self, answer, now_ms):
        if answer is peers.OwnerAnswer.UNREACHABLE:
            return self._replace(self.found_row.version, now_ms)
        return super()._owner_answered(answer, now_ms)


class _TrustsAbsence(claims.Claim):
    def _row_read(self, row, event, now_ms):
        if row is None and self.write_may_land:
            return self._claim_acquired(1, now_ms)
        return super()._row_read(row, event, now_ms)


class _ContinuesAfterGivingUp(claims.Claim):
    def _give_up(self, reason, now_ms):
        ended = super()._give_up(reason, now_ms)
        self.stage = claims.ClaimStage.HELD
        return [*ended, messages.StartCall()]


class _ReplacesGone(claims.Claim):
    def _owner_answered(self, answer, now_ms):
        if answer is peers.OwnerAnswer.GONE:
            return self._replace(self.found_row.version, now_ms)
        return super()._owner_answered(answer, now_ms)


_FAULTY = {
    'takes over a claim whose owner does not respond': _TakesOver,
    'treats an absent row as proof of no claim': _TrustsAbsence,
    'continues after giving up': _ContinuesAfterGivingUp,
    'replaces a claim whose owner is gone': _ReplacesGone,
}


def _run_histories(kind, examples):
    histories.run_histories(
        claim_simulation.ClaimHistories, kind, examples, step_count=50
    )


@behave.then(
    '{count:d} random histories of a keyed call satisfy all invariants'
)
def histories_hold(context, count):
    _run_histories(claims.Claim, count)


@behave.then(
    'random histories of a keyed call that {fault} violate an invariant'
)
def histories_catch(context, fault):
    try:
        _run_histories(_FAULTY[fault], 3_000)
    except AssertionError:
        return
    raise LookupError(
        f'no invariant was violated by a keyed call that {fault}'
    )


def _begin(context):
    context.ledger = claim_ledger.ClaimLedger(ids.IncarnationId('i1'))
    context.claim = claims.Claim(
        'same', ids.Nonce('n1'), context.ledger, 5_000.0, 0.0
    )
    context.actions = context.claim.start()
    assert context.actions == [messages.WriteClaim(None)]


def _row(nonce, request_hash='same'):
    return messages.ClaimRow(
        messages.ClaimState.CLAIMED,
        ids.VmId('nadi-1'),
        ids.IncarnationId('i0'),
        ids.Nonce(nonce),
        request_hash,
        0.0,
    )


def _find(context, row):
    context.claim.handle(messages.WriteConflicted(), 0.0)
    context.actions = context.claim.handle(messages.RowRead(row, 1), 0.0)


@behave.given('a keyed call whose claim was committed but its response lost')
def given_lost(context):
    _begin(context)
    read = context.claim.handle(messages.WriteUnknown(), 0.0)
    assert read == [messages.ReadRow()]
    found = messages.RowRead(_row('n1'), 1)
    context.actions = context.claim.handle(found, 0.0)


@behave.then('the call is dispatched once')
def dispatched_once(context):
    assert context.actions == [messages.StartCall()]
    again = context.claim.handle(messages.WriteCommitted(1), 0.0)
    assert again == []


@behave.then('its outcome replaces version {version:d} of the row')
def stored_over(context, version):
    answer = plain_messages.Answer(200, 'text/plain', b'yes')
    end = plain_messages.EndCall(states.Outcome.DONE, 'ok', answer)
    response, stored = context.claim.handle(messages.CallEnded(end), 0.0)
    assert response.answer == answer
    assert stored.version == version


@behave.given('a keyed call while the store is unavailable')
def given_down(context):
    _begin(context)


@behave.then('it ends as not_run within {limit_ms:d} ms')
def ends_not_run(context, limit_ms):
    now_ms = 0.0
    while context.claim.stage is not claims.ClaimStage.ENDED:
        unavailable = messages.WriteUnavailable()
        context.actions = context.claim.handle(unavailable, now_ms)
        now_ms += 100.0
        if not context.actions:
            context.claim.handle(messages.Tick(), now_ms)
    (end,) = context.actions
    assert end.outcome is states.Outcome.NOT_RUN
    assert now_ms <= limit_ms, now_ms


@behave.given('a keyed call that finds the claim of another request')
def given_other(context):
    _begin(context)
    _find(context, _row('n0', 'other'))


@behave.then('the keyed call ends as invalid')
def ends_invalid(context):
    (end,) = context.actions
    assert end.outcome is states.Outcome.INVALID


@behave.given('a keyed call that finds a claim whose owner is gone')
def given_gone(context):
    _begin(context)
    _find(context, _row('n0'))
    assert context.actions == [messages.AskOwner(_row('n0'))]


@behave.then('it reads the row again before it ends as unknown')
def reads_again(context):
    absent = messages.OwnerAnswered(peers.OwnerAnswer.GONE)
    assert context.claim.handle(absent, 0.0) == [messages.ReadRow()]
    context.claim.handle(messages.RowRead(_row('n0'), 1), 0.0)
    (end,) = context.claim.handle(absent, 0.0)
    assert end.outcome is states.Outcome.UNKNOWN


@behave.given('a keyed call whose VM is paused until after its deadline')
def given_paused(context):
    _begin(context)
    committed = messages.WriteCommitted(1)
    context.actions = context.claim.handle(committed, 60_000.0)


@behave.then('it is not dispatched and ends as not_run')
def not_dispatched(context):
    stored, end = context.actions
    assert stored.state is messages.ClaimState.NOT_RUN
    assert end.outcome is states.Outcome.NOT_RUN


@behave.given('claims that are 1, 71 and 73 hours old')
def given_old_claims(context):
    context.now_ms = 100 * claim_expiry.MS_PER_HOUR
    context.rows = []
    for hours in (1, 71, 73):
        written_ms = context.now_ms - hours * claim_expiry.MS_PER_HOUR
        claim = msgspec.structs.replace(_row('n0'), written_at_ms=written_ms)
        value = msgspec.to_builtins(claim)
        context.rows.append(base.Row(str(hours), value, 1))


@behave.then(
    'with a retention of {hours:d} hours only the claim of {old} hours '
    'is expired'
)
def only_expired(context, hours, old):
    expired = claim_expiry.expired_claims(
        context.rows, context.now_ms, float(hours)
    )
    assert [row.key for row, _ in expired] == [old], expired
