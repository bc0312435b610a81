"""Finds the other entry VMs by rows of the store and links to them.

Each VM writes one row at its start. A key that all of them share lies in
another row, written by whichever VM came first, and signs the messages.
"""

import collections.abc
import random
import secrets
import threading

import msgspec
import result

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import peer_codec
from eelgrassknot.coordination import peer_link
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.forwarding import peer_membership
from eelgrassknot.forwarding import row_store
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.requests import backoff

__all__ = ['PeerBoard']

VMS_TABLE = 'eelgrassknot-vms'
KEYS_TABLE = 'eelgrassknot-keys'
KEY_NAME = 'peers'
KEY_BYTES = 32
RETRY_BASE_MS = 200.0
RETRY_MAX_MS = 2_000.0
REREAD_MS = 30_000.0
"""How often the rows of the VMs are read while nothing calls for it; ms."""
REREAD_SOON_MS = 1_000.0
"""Least time between two reads; ms."""
SETTLE_MS = 500.0
"""Time between this VM's row and its first look at the others'; ms. VMs
that start together find each other by one read."""
PLAN_MS = 1_000.0
"""How often the links are looked at; ms. A gateway that has ended is
replaced within this time and that of its silence."""


class PeerBoard:
    """The peers of this VM and the link to them.

    Args:
        vm: This VM.
        availability_zone: Its zone.
        address: ``IP:port`` on which it listens to peers.
        store: Client of the store, for the board's thread alone.
        clock: This VM's clock.
        generator: Source of random delays.
        prepare: Registers handlers on the link before it starts.

    Attributes:
        link: The link, or None until the rows were read.
        roster: Which VMs are listed, and whom to link to.
    """

    def __init__(
        self,
        vm: ids.VmId,
        availability_zone: ids.AvailabilityZoneId,
        address: str,
        store: row_store.RowStore,
        clock: clocks.Clock,
        generator: random.Random,
        prepare: collections.abc.Callable[[peer_link.PeerLink], None],
    ) -> None:
        self.vm = vm
        self.roster = peer_membership.PeerRoster(vm, availability_zone)
        self.row = peer_membership.VmRow(address, availability_zone)
        self.store = store
        self.clock = clock
        self.prepare = prepare
        self.link: peer_link.PeerLink | None = None
        self.read_due_ms = 0.0
        self.wanted = threading.Event()
        self.stopped = threading.Event()
        self.jitter = backoff.DecorrelatedJitter(
            generator, RETRY_BASE_MS, RETRY_MAX_MS
        )
        self.thread = threading.Thread(
            target=self._run, name='peer-board', daemon=True
        )

    def start(self) -> None:
        """Begin to look for peers."""
        self.thread.start()

    def stop(self) -> None:
        """Look for no more peers."""
        self.stopped.set()
        self.wanted.set()

    def heard(self, vm: ids.VmId) -> None:
        """Take in that a peer was heard of; an unknown one is looked up."""
        self.roster.heard(vm, self.clock.now_ms())
        if self.link is not None and vm not in self.roster.listed:
            self.wanted.set()

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to the peers of the zone, or to all if few."""
        if self.link is not None:
            self.link.broadcast(list(self.roster.links.zone_peers), message)

    def send_far(
        self,
        vms: collections.abc.Iterable[ids.VmId],
        message: messages.Message,
    ) -> None:
        """Send a message to gateways of other zones."""
        if self.link is not None:
            self.link.broadcast(vms, message)

    def live(self) -> list[ids.VmId]:
        """Return the peers that were heard of just now."""
        return self.roster.live(self.clock.now_ms())

    def zone_members(self) -> list[ids.VmId]:
        """Return this VM and the live peers of its zone."""
        return self.roster.zone_members(self.clock.now_ms())

    def _run(self) -> None:
        while not self.stopped.is_set():
            if self.clock.now_ms() >= self.read_due_ms:
                delay_ms = self._guarded_step()
                self.read_due_ms = self.clock.now_ms() + delay_ms
            elif self.link is not None:
                self._follow_plan()
            due_ms = max(0.0, self.read_due_ms - self.clock.now_ms())
            self.wanted.wait(min(PLAN_MS, due_ms) / clocks.MS_PER_SECOND)
            if self.wanted.is_set():
                self.wanted.clear()
                self.stopped.wait(REREAD_SOON_MS / clocks.MS_PER_SECOND)
                self.read_due_ms = 0.0

    def _guarded_step(self) -> float:
        """Do what is due; return the time until the next step in ms."""
        try:
            found = self._step()
        except Exception as error:
            logs.exception('peer_board_failed', error)
            return RETRY_MAX_MS
        match found:
            case result.Ok(delay_ms):
                return delay_ms
            case result.Err(error):
                logs.warning('peers_unread', why=str(error))
                return self.jitter.next_ms()

    def _step(self) -> result.Result[float, row_store.StoreError]:
        if self.link is None:
            return self._register().map(lambda _: SETTLE_MS)
        page = self.store.read_table(VMS_TABLE)
        if isinstance(page, result.Err):
            return page
        return self._take_rows(page.ok_value).map(lambda _: REREAD_MS)

    def _register(self) -> result.Result[None, row_store.StoreError]:
        key = self._shared_key()
        if isinstance(key, result.Err):
            return key
        written = self._write_own_row()
        if isinstance(written, result.Err):
            return written
        # The store's clock orders the runs of a VM whose own clock steps.
        codec = peer_codec.PeerCodec(
            self.vm,
            ids.IncarnationId(ids.random_id()),
            int(key.ok_value[1]),
            [key.ok_value[0]],
        )
        link = peer_link.PeerLink(
            self.row.address, codec, self.clock, batch_delay_ms=0.0
        )
        self.prepare(link)
        link.start()
        self.link = link
        return result.Ok(None)

    def _shared_key(
        self,
    ) -> result.Result[tuple[bytes, float], row_store.StoreError]:
        """Return the key that all VMs share, and the store's time."""
        place = row_store.RowKey(KEYS_TABLE, KEY_NAME)
        found = self.store.read_table(KEYS_TABLE)
        if isinstance(found, result.Err):
            return found
        if not found.ok_value.rows:
            inserted = self.store.insert_row(
                place, secrets.token_bytes(KEY_BYTES)
            )
            if isinstance(inserted, result.Err):
                return inserted
            found = self.store.read_table(KEYS_TABLE)
            if isinstance(found, result.Err):
                return found
        page = found.ok_value
        return result.Ok((page.rows[0].value, page.store_ms))

    def _write_own_row(self) -> result.Result[None, row_store.StoreError]:
        return self.store.write_row(
            row_store.RowKey(VMS_TABLE, self.vm), msgspec.json.encode(self.row)
        )

    def _take_rows(
        self, page: row_store.RowPage
    ) -> result.Result[None, row_store.StoreError]:
        """Follow the rows; put back one's own, drop those of the dead."""
        listed = {}
        for row in page.rows:
            try:
                listed[row.key] = msgspec.json.decode(
                    row.value, type=peer_membership.VmRow
                )
            except msgspec.MsgspecError as error:
                logs.warning('peer_unreadable', vm=row.key, why=str(error))
        self.roster.take_rows(listed, self.clock.now_ms())
        self._follow_plan()
        if listed.get(self.vm) != self.row:
            written = self._write_own_row()
            if isinstance(written, result.Err):
                return written
        for vm in self.roster.forgotten(self.clock.now_ms()):
            logs.event('peer_forgotten', vm=vm)
            dropped = self.store.delete_row(row_store.RowKey(VMS_TABLE, vm))
            if isinstance(dropped, result.Err):
                return dropped
        return result.Ok(None)

    def _follow_plan(self) -> None:
        """Connect to whom the roster names, and to nobody else."""
        wanted = self.roster.plan(self.clock.now_ms()).addresses
        for vm in set(self.link.addresses) - set(wanted):
            logs.event('peer_unlinked', vm=vm)
            self.link.disconnect(vm)
        for vm, address in wanted.items():
            if self.link.addresses.get(vm) != address:
                logs.event('peer_linked', vm=vm, address=address)
                self.link.connect(vm, address)
