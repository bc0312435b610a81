"""State machine of a claim, which runs a keyed call at most once."""

import enum

from eelgrassknot import ids
from eelgrassknot.requests import claim_ledger
from eelgrassknot.requests import claim_messages as messages
from eelgrassknot.requests import peers
from eelgrassknot.requests import plain_messages
from eelgrassknot import states

__all__ = ['Claim', 'ClaimStage']

NEVER_MS = float('inf')
STORE_TIMEOUT_MS = 3_000.0
STORE_RETRY_MS = 100.0
POLL_MS = 150.0
MAX_POLL_MS = 1_000.0
OUTCOME_RETRY_MS = 250.0
MAX_OUTCOME_RETRY_MS = 10_000.0
OUTCOME_TIMEOUT_MS = 600_000.0

_POSSIBLY_RUNNING = (
    peers.OwnerAnswer.RUNNING,
    peers.OwnerAnswer.UNREACHABLE,
)


class ClaimStage(enum.Enum):
    """Stages of a claim."""

    WRITING = 'writing'
    READING = 'reading'
    ASKING = 'asking'
    WAITING = 'waiting'
    HELD = 'held'
    STORING = 'storing'
    ENDED = 'ended'


class Claim:
    """Decides whether this VM may dispatch a keyed call.

    The claim is a row that is written before the call is dispatched. It
    is never taken over, because its holder may be paused and continue
    later. It may be replaced only if the holder reports it as abandoned.

    Args:
        request_hash: Hash of the method, path and body.
        nonce: Identifies this attempt; reused for repeated writes.
        ledger: Claims of this VM.
        deadline_ms: Time by which the caller wants an answer.
        now_ms: Current time.

    Attributes:
        version: Version of the row that this claim holds.
        expected_version: Row version that the pending write requires.
        write_may_land: Whether a write of this nonce may take effect later.
        found_other_claim: Whether another claim of the key was found, in
            which case the call may have run independently of this VM.
    """

    def __init__(
        self,
        request_hash: str,
        nonce: ids.Nonce,
        ledger: claim_ledger.ClaimLedger,
        deadline_ms: float,
        now_ms: float,
    ) -> None:
        self.request_hash = request_hash
        self.nonce = nonce
        self.ledger = ledger
        self.deadline_ms = deadline_ms
        self.store_deadline_ms = min(deadline_ms, now_ms + STORE_TIMEOUT_MS)
        self.stage = ClaimStage.WRITING
        self.expected_version: int | None = None
        self.version = 0
        self.write_may_land = False
        self.found_other_claim = False
        self.found_row: messages.RowRead | None = None
        self.rechecked_version: int | None = None
        self.wake_at_ms = NEVER_MS
        self.next_action: messages.Action | None = None
        self.poll_ms = POLL_MS
        self.retry_ms = OUTCOME_RETRY_MS
        self.outcome_write: messages.StoreOutcome | None = None
        self.outcome_deadline_ms = NEVER_MS

    def start(self) -> list[messages.Action]:
        """Start claiming the key and return the first actions."""
        self.ledger.begin(self.nonce)
        return self._write(None)

    def handle(
        self, event: messages.Event, now_ms: float
    ) -> list[messages.Action]:
        """Handle an event and return the actions to perform.

        Args:
            event: Event to handle.
            now_ms: Current time.
        """
        match self.stage:
            case ClaimStage.ENDED:
                return []
            case ClaimStage.HELD:
                if isinstance(event, messages.CallEnded):
                    return self._call_ended(event.end, now_ms)
                return []
            case ClaimStage.STORING:
                return self._handle_storing(event, now_ms)
        match event:
            case messages.WriteCommitted(version):
                return self._claim_acquired(version, now_ms)
            case messages.WriteConflicted():
                self.found_other_claim = True
                return self._read()
            case messages.WriteUnknown():
                self.write_may_land = True
                return self._read()
            case messages.WriteUnavailable():
                return self._store_failed(
                    messages.WriteClaim(self.expected_version), now_ms
                )
            case messages.ReadFailed():
                return self._store_failed(messages.ReadRow(), now_ms)
            case messages.RowRead(row):
                return self._row_read(row, event, now_ms)
            case messages.OwnerAnswered(answer):
                return self._owner_answered(answer, now_ms)
            case messages.Tick():
                return self._tick(now_ms)
        return []

    def wake_ms(self) -> float:
        """Return the time at which the next tick is due."""
        return self.wake_at_ms

    def _write(self, version: int | None) -> list[messages.Action]:
        self.stage = ClaimStage.WRITING
        self.expected_version = version
        return [messages.WriteClaim(version)]

    def _read(self) -> list[messages.Action]:
        self.stage = ClaimStage.READING
        return [messages.ReadRow()]

    def _wait(
        self, action: messages.Action, for_ms: float, now_ms: float
    ) -> list[messages.Action]:
        self.stage = ClaimStage.WAITING
        self.next_action = action
        self.wake_at_ms = now_ms + for_ms
        return []

    def _tick(self, now_ms: float) -> list[messages.Action]:
        if self.stage is not ClaimStage.WAITING or now_ms < self.wake_at_ms:
            return []
        self.wake_at_ms = NEVER_MS
        action = self.next_action
        if isinstance(action, messages.WriteClaim):
            return self._write(action.version)
        return self._read()

    def _store_failed(
        self, retried: messages.Action, now_ms: float
    ) -> list[messages.Action]:
        if now_ms < self.store_deadline_ms:
            return self._wait(retried, STORE_RETRY_MS, now_ms)
        return self._give_up(
            states.RefusalReason.STORE_UNAVAILABLE.value, now_ms
        )

    def _give_up(self, reason: str, now_ms: float) -> list[messages.Action]:
        outcome = states.Outcome.NOT_RUN
        if self.found_other_claim:
            outcome = states.Outcome.UNKNOWN
        return self._end(messages.EndClaim(outcome, reason))

    def _end(self, end: messages.EndClaim) -> list[messages.Action]:
        self.stage = ClaimStage.ENDED
        if self.write_may_land:
            self.ledger.abandon(self.nonce)
        else:
            self.ledger.remove(self.nonce)
        return [end]

    def _row_read(
        self,
        row: messages.ClaimRow | None,
        event: messages.RowRead,
        now_ms: float,
    ) -> list[messages.Action]:
        if row is None:
            # The pending write may still take effect although the row is
            # absent. Repeating it ensures that one of the two does.
            if now_ms >= self.store_deadline_ms:
                return self._give_up(
                    states.RefusalReason.STORE_UNAVAILABLE.value, now_ms
                )
            return self._write(None)
        if row.nonce == self.nonce:
            return self._claim_acquired(event.version, now_ms)
        self.found_other_claim = True
        self.found_row = event
        if row.request_hash != self.request_hash:
            return self._end(
                messages.EndClaim(states.Outcome.INVALID, 'key_reused')
            )
        match row.state:
            case messages.ClaimState.DONE:
                return self._end(
                    messages.EndClaim(states.Outcome.DONE, 'repeat', row=row)
                )
            case messages.ClaimState.NOT_RUN:
                return self._replace(event.version, now_ms)
        self.stage = ClaimStage.ASKING
        return [messages.AskOwner(row)]

    def _replace(self, version: int, now_ms: float) -> list[messages.Action]:
        self.found_other_claim = False
        self.store_deadline_ms = min(
            self.deadline_ms, now_ms + STORE_TIMEOUT_MS
        )
        return self._write(version)

    def _owner_answered(
        self, answer: peers.OwnerAnswer, now_ms: float
    ) -> list[messages.Action]:
        if answer is peers.OwnerAnswer.ABANDONED:
            return self._replace(self.found_row.version, now_ms)
        if answer in _POSSIBLY_RUNNING:
            return self._poll(now_ms)
        if self.rechecked_version == self.found_row.version:
            return self._end(
                messages.EndClaim(states.Outcome.UNKNOWN, 'owner_gone')
            )
        # The owner may have stored the answer just before it terminated.
        self.rechecked_version = self.found_row.version
        return self._read()

    def _poll(self, now_ms: float) -> list[messages.Action]:
        if now_ms + self.poll_ms >= self.deadline_ms:
            return self._end(
                messages.EndClaim(states.Outcome.UNKNOWN, 'still_running')
            )
        self.store_deadline_ms = self.deadline_ms
        waited = self._wait(messages.ReadRow(), self.poll_ms, now_ms)
        self.poll_ms = min(2 * self.poll_ms, MAX_POLL_MS)
        return waited

    def _claim_acquired(
        self, version: int, now_ms: float
    ) -> list[messages.Action]:
        self.version = version
        if now_ms >= self.deadline_ms:
            # The VM was paused or the write delayed. The caller has given
            # up and would not expect the call to run now.
            return self._store(messages.ClaimState.NOT_RUN, None, now_ms) + [
                messages.EndClaim(states.Outcome.NOT_RUN, 'deadline')
            ]
        self.stage = ClaimStage.HELD
        return [messages.StartCall()]

    def _call_ended(
        self, end: plain_messages.EndCall, now_ms: float
    ) -> list[messages.Action]:
        told = messages.EndClaim(
            end.outcome,
            end.reason,
            answer=end.answer,
            retry_after_ms=end.retry_after_ms,
        )
        match end.outcome:
            case states.Outcome.UNKNOWN:
                self.stage = ClaimStage.ENDED
                self.ledger.mark_unknown(self.nonce)
                return [told]
            case states.Outcome.NOT_RUN:
                state = messages.ClaimState.NOT_RUN
            case _:
                state = messages.ClaimState.DONE
        return [told] + self._store(state, end.answer, now_ms)

    def _store(
        self,
        state: messages.ClaimState,
        answer: plain_messages.Answer | None,
        now_ms: float,
    ) -> list[messages.Action]:
        self.stage = ClaimStage.STORING
        self.outcome_write = messages.StoreOutcome(self.version, state, answer)
        self.outcome_deadline_ms = now_ms + OUTCOME_TIMEOUT_MS
        return [self.outcome_write]

    def _handle_storing(
        self, event: messages.Event, now_ms: float
    ) -> list[messages.Action]:
        match event:
            case messages.WriteCommitted() | messages.WriteConflicted():
                # Only this claim writes over its own row, so a conflict
                # means that an earlier write of the outcome succeeded.
                self.stage = ClaimStage.ENDED
                self.ledger.remove(self.nonce)
                return []
            case messages.Tick():
                if now_ms < self.wake_at_ms:
                    return []
                self.wake_at_ms = NEVER_MS
                return [self.outcome_write]
        if now_ms >= self.outcome_deadline_ms:
            self.stage = ClaimStage.ENDED
            self.ledger.mark_unknown(self.nonce)
            return []
        self.wake_at_ms = now_ms + self.retry_ms
        self.retry_ms = min(2 * self.retry_ms, MAX_OUTCOME_RETRY_MS)
        return []
