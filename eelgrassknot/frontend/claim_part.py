"""Performs the I/O of the state machine for claims of keyed calls."""

import collections.abc
import dataclasses
import threading
import time

import msgspec
import result

from eelgrassknot import clock as clocks
from eelgrassknot import exceptions
from eelgrassknot.frontend import relay_part
from eelgrassknot import ids
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot.kernel import work_loop
from eelgrassknot import logs
from eelgrassknot.requests import claim as claims
from eelgrassknot.requests import claim_ledger
from eelgrassknot.requests import claim_messages as messages
from eelgrassknot.requests import plain_messages
from eelgrassknot.storage import base

__all__ = ['ClaimPart', 'KeyedCall']

TABLE = 'claims'
MAX_ROW_ANSWER_BYTES = 65_536
STORE_POLL_MS = 20.0
IDLE_POLL_MS = 5_000.0
MAX_GROUP_ROWS = 16
DRAIN_STORE_MS = 15_000.0


@dataclasses.dataclass
class KeyedCall:
    """A keyed call with its claim.

    Attributes:
        row_key: Key of its row.
        store_ms: Time spent on the store and on queries to owners.
    """

    row_key: str
    request_hash: str
    nonce: ids.Nonce
    machine: claims.Claim
    store_ms: float = 0.0


@parts.part('claims', after=('relays', 'dispatch'))
class ClaimPart(parts.Part):
    """Writes claims and stores the outcomes of calls.

    An answer is returned to its caller immediately and stored shortly
    afterwards, together with others in one transaction.

    Attributes:
        ledger: Record of this VM's claims, queried by peers.
        storing: Calls whose outcome is not stored yet.
    """

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.ledger = claim_ledger.ClaimLedger(node.incarnation)
        self.relays: relay_part.RelayPart | None = None
        self.lock = threading.Lock()
        self.storing: dict[ids.Nonce, KeyedCall] = {}
        self.due: list[tuple[KeyedCall, messages.StoreOutcome]] = []
        self.loop = work_loop.WorkLoop(
            'claims', STORE_POLL_MS, IDLE_POLL_MS, self._store_due
        )

    def bind(self) -> None:
        """Obtain references to the parts that this one uses."""
        members = self.node.part_set.parts
        self.relays = members['relays']
        peers_part = members.get('request_peers')
        if peers_part is not None:
            peers_part.lookup_owner = self.ledger.answer

    def start(self) -> None:
        """Start storing outcomes."""
        self.loop.start()

    def drain(self) -> None:
        """Wait until known outcomes are stored, up to a time limit."""
        until_ms = self.node.clock.now_ms() + DRAIN_STORE_MS
        while self.storing and self.node.clock.now_ms() < until_ms:
            self.loop.stopped.wait(STORE_POLL_MS / clocks.MS_PER_SECOND)
        if self.storing:
            logs.warning('outcomes_not_stored', calls=len(self.storing))

    def stop(self) -> None:
        """Stop the thread."""
        self.loop.stop()

    def status(self) -> dict[str, object]:
        """Return the number of outcomes that are not stored yet."""
        return {'claims': {'storing': len(self.storing)}}

    def create(
        self, row_key: str, request_hash: str, deadline_ms: float
    ) -> KeyedCall:
        """Return a keyed call with a new claim.

        Args:
            row_key: Key of the call's row.
            request_hash: Hash of the method, path and body.
            deadline_ms: Time by which the caller wants an answer.
        """
        nonce = ids.Nonce(ids.random_id())
        now_ms = self.node.clock.now_ms()
        machine = claims.Claim(
            request_hash, nonce, self.ledger, deadline_ms, now_ms
        )
        return KeyedCall(row_key, request_hash, nonce, machine)

    def run(
        self,
        call: KeyedCall,
        dispatch: collections.abc.Callable[[], plain_messages.EndCall],
    ) -> messages.EndClaim:
        """Claim the key, dispatch at most once and return the outcome.

        Args:
            call: Keyed call.
            dispatch: Runs the call; invoked at most once.
        """
        ended: messages.EndClaim | None = None
        pending = call.machine.start()
        while ended is None or pending:
            if not pending:
                pending = self._sleep(call)
                continue
            action = pending.pop(0)
            match action:
                case messages.EndClaim():
                    ended = action
                case messages.StartCall():
                    event = messages.CallEnded(dispatch())
                    pending += self._handle(call, event)
                case messages.StoreOutcome():
                    self._store_later(call, action)
                case _:
                    started_ms = self.node.clock.now_ms()
                    event = self._perform(call, action)
                    now_ms = self.node.clock.now_ms()
                    call.store_ms += now_ms - started_ms
                    pending += self._handle(call, event)
        return ended

    def read_answer(
        self, row: messages.ClaimRow
    ) -> plain_messages.Answer | None:
        """Return the answer that an earlier call with the key received."""
        if row.answer_object is None:
            return row.answer
        match self.node.platform.objects.get(row.answer_object):
            case result.Ok(bytes() as body):
                return msgspec.msgpack.decode(body, type=plain_messages.Answer)
        return None

    def _handle(
        self, call: KeyedCall, event: messages.Event
    ) -> list[messages.Action]:
        return call.machine.handle(event, self.node.clock.now_ms())

    def _sleep(self, call: KeyedCall) -> list[messages.Action]:
        wait_ms = call.machine.wake_ms() - self.node.clock.now_ms()
        threading.Event().wait(max(wait_ms, 1.0) / clocks.MS_PER_SECOND)
        return self._handle(call, messages.Tick())

    def _perform(
        self, call: KeyedCall, action: messages.Action
    ) -> messages.Event:
        match action:
            case messages.WriteClaim(version):
                row = self._row(call, messages.ClaimState.CLAIMED)
                return self._write([(call, version, row)])
            case messages.ReadRow():
                return self._read(call.row_key)
            case messages.AskOwner(row):
                answer = self._query_owner(row)
                return messages.OwnerAnswered(answer)
        raise TypeError(action)

    def _query_owner(self, row: messages.ClaimRow):
        if row.vm == self.node.settings.vm:
            return self.ledger.answer(row.incarnation, row.nonce)
        return self.relays.peers.query_owner(
            row.vm, row.incarnation, row.nonce
        )

    def _row(
        self,
        call: KeyedCall,
        state: messages.ClaimState,
        answer: plain_messages.Answer | None = None,
        answer_object: str | None = None,
    ) -> messages.ClaimRow:
        return messages.ClaimRow(
            state=state,
            vm=self.node.settings.vm,
            incarnation=self.node.incarnation,
            nonce=call.nonce,
            request_hash=call.request_hash,
            written_at_ms=time.time() * clocks.MS_PER_SECOND,
            answer=answer,
            answer_object=answer_object,
        )

    def _read(self, row_key: str) -> messages.Event:
        match self.node.platform.table.read_row(TABLE, row_key):
            case result.Ok(None):
                return messages.RowRead(None)
            case result.Ok(base.Row(value=value, version=version)):
                row = msgspec.convert(value, messages.ClaimRow)
                return messages.RowRead(row, version)
        return messages.ReadFailed()

    def _write(
        self,
        rows: list[tuple[KeyedCall, int | None, messages.ClaimRow]],
    ) -> messages.Event:
        conditions = [
            base.Condition(TABLE, call.row_key, version)
            for call, version, _ in rows
        ]
        writes = [
            base.Write(TABLE, call.row_key, msgspec.to_builtins(row))
            for call, _, row in rows
        ]
        change = ids.ChangeId(rows[0][0].nonce)
        answer = self.node.platform.table.transact(change, conditions, writes)
        match answer:
            case result.Ok(versions):
                name = f'{TABLE}/{rows[0][0].row_key}'
                return messages.WriteCommitted(versions.versions[name])
            case result.Err(exceptions.RowConflictError()):
                return messages.WriteConflicted()
            case result.Err(exceptions.PlatformUnavailableError()):
                return messages.WriteUnavailable()
        return messages.WriteUnknown()

    def _store_later(
        self, call: KeyedCall, action: messages.StoreOutcome
    ) -> None:
        with self.lock:
            self.storing[call.nonce] = call
            self.due.append((call, action))
        self.loop.wake()

    def _store_due(self) -> bool:
        self._wake_storing()
        while self.due:
            self._store_group()
        return bool(self.storing)

    def _wake_storing(self) -> None:
        now_ms = self.node.clock.now_ms()
        with self.lock:
            waiting = list(self.storing.values())
        for call in waiting:
            if call.machine.wake_ms() <= now_ms:
                self._record_result(call, messages.Tick())

    def _store_group(self) -> None:
        with self.lock:
            group = self.due[:MAX_GROUP_ROWS]
            del self.due[:MAX_GROUP_ROWS]
        rows = []
        for call, action in group:
            row = self._outcome_row(call, action)
            if row is None:
                self._record_result(call, messages.WriteUnavailable())
            else:
                rows.append((call, action.version, row))
        if not rows:
            return
        event = self._write(rows)
        if len(rows) > 1 and event == messages.WriteConflicted():
            # One row had changed, so no row was written.
            for row in rows:
                self._record_result(row[0], self._write([row]))
            return
        for call, _, _ in rows:
            self._record_result(call, event)

    def _outcome_row(
        self, call: KeyedCall, action: messages.StoreOutcome
    ) -> messages.ClaimRow | None:
        answer = action.answer
        if answer is None or len(answer.body) <= MAX_ROW_ANSWER_BYTES:
            return self._row(call, action.state, answer)
        name = f'claims/{call.nonce}'
        body = msgspec.msgpack.encode(answer)
        if self.node.platform.objects.put(name, body).is_err():
            return None
        return self._row(call, action.state, answer_object=name)

    def _record_result(self, call: KeyedCall, event: messages.Event) -> None:
        actions = self._handle(call, event)
        with self.lock:
            for action in actions:
                self.due.append((call, action))
            if call.machine.stage is claims.ClaimStage.ENDED:
                self.storing.pop(call.nonce, None)
