"""Discovery of the other entry VMs through rows of the store.

Each VM writes one row when it starts. Another row, written by the first
VM, holds a key that all VMs share and that signs their messages.
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
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import peer_membership
from eelgrassknot.forwarding import row_store
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.requests import backoff

__all__ = ['PeerDiscovery']

VMS_TABLE = 'eelgrassknot-vms'
KEYS_TABLE = 'eelgrassknot-keys'
KEY_NAME = 'peers'
KEY_BYTES = 32
RETRY_BASE_MS = 200.0
RETRY_MAX_MS = 2_000.0
READ_INTERVAL_MS = 30_000.0
"""Interval at which the rows of the VMs are read without a request; ms."""
MIN_READ_INTERVAL_MS = 1_000.0
"""Minimum time between two reads; ms."""
SECOND_READ_DELAY_MS = 5_000.0
"""Delay between the first two reads; ms. VMs that start together have all
written their rows by the second one."""
INTRODUCTION_MS = 15_000.0
"""How long a VM that has started tells its peers its address; ms. They need
not read the rows because of its messages."""
PLAN_INTERVAL_MS = 1_000.0
"""Interval at which the links are planned; ms. A stopped gateway is
replaced within this time plus the time until it counts as silent."""


class PeerDiscovery:
    """The peers of this VM and the link to them.

    Args:
        vm: This VM.
        availability_zone: Zone of this VM.
        address: ``IP:port`` on which this VM listens to peers.
        store: Store client, used only by the discovery thread.
        clock: This VM's clock.
        generator: Random number generator for the back-off.
        register_handlers: Registers message handlers on the link before it
            starts.

    Attributes:
        link: The link, or None until this VM is registered.
        membership: Listed VMs and the planned links.
        secret: Key that signs the messages of this VM.
        first_read_ms: When the rows of the VMs were first read, or None.
        timeline: Timeline of the store in which this VM's rows were written.
        restored_timeline: Newest timeline in which the tables were read.
    """

    def __init__(
        self,
        vm: ids.VmId,
        availability_zone: ids.AvailabilityZoneId,
        address: str,
        store: row_store.RowStore,
        clock: clocks.Clock,
        generator: random.Random,
        register_handlers: collections.abc.Callable[
            [peer_link.PeerLink], None
        ],
    ) -> None:
        self.vm = vm
        self.membership = peer_membership.PeerMembership(vm, availability_zone)
        self.row = peer_membership.VmRow(address, availability_zone)
        self.store = store
        self.clock = clock
        self.register_handlers = register_handlers
        self.link: peer_link.PeerLink | None = None
        self.codec: peer_codec.PeerCodec | None = None
        self.secret = b''
        self.linked_ms = float('-inf')
        self.first_read_ms: float | None = None
        self.timeline = 0
        self.restored_timeline = 0
        self.read_due_ms = 0.0
        self.read_requested = threading.Event()
        self.stopped = threading.Event()
        self.backoff = backoff.DecorrelatedJitter(
            generator, RETRY_BASE_MS, RETRY_MAX_MS
        )
        self.thread = threading.Thread(
            target=self._run, name='peer-board', daemon=True
        )

    def start(self) -> None:
        """Start the discovery thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the discovery thread."""
        self.stopped.set()
        self.read_requested.set()

    def record_contact(self, vm: ids.VmId) -> None:
        """Record a message from a peer; an unknown peer triggers a read."""
        self.membership.record_contact(vm, self.clock.now_ms())
        if self.link is not None and vm not in self.membership.listed:
            self.read_requested.set()

    def introduction(self) -> str:
        """Return this VM's address if its peers may not know it, or ''."""
        age_ms = self.clock.now_ms() - self.linked_ms
        return self.row.address if age_ms <= INTRODUCTION_MS else ''

    def introduce(self, vm: ids.VmId, row: peer_membership.VmRow) -> None:
        """Add a peer that has told its address."""
        self.membership.add_row(vm, row, self.clock.now_ms())

    def restore_rows(self, timeline: int) -> None:
        """Write this VM's rows again in a store that was restored.

        Args:
            timeline: The store's new timeline.
        """
        if timeline > self.restored_timeline:
            self.restored_timeline = timeline
            self.read_requested.set()

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to the zone, or to all peers in a full mesh."""
        if self.link is not None:
            self.link.broadcast(
                list(self.membership.links.zone_peers), message
            )

    def send(self, vm: ids.VmId, message: messages.Message) -> bool:
        """Send a message to one peer; return whether it was queued."""
        return self.link is not None and self.link.send(vm, message)

    def send_far(
        self,
        vms: collections.abc.Iterable[ids.VmId],
        message: messages.Message,
    ) -> None:
        """Send a message to gateways of other zones."""
        if self.link is not None:
            self.link.broadcast(vms, message)

    def live(self) -> list[ids.VmId]:
        """Return the peers with a recent message."""
        return self.membership.live(self.clock.now_ms())

    def linked_group(self) -> list[ids.VmId]:
        """Return this VM and the live peers to which all of them link."""
        return self.membership.linked_group(self.clock.now_ms())

    def zone_members(self) -> list[ids.VmId]:
        """Return this VM and the live peers of its zone."""
        return self.membership.zone_members(self.clock.now_ms())

    def _run(self) -> None:
        while not self.stopped.is_set():
            if self.clock.now_ms() >= self.read_due_ms:
                delay_ms = self._run_step()
                self.read_due_ms = self.clock.now_ms() + delay_ms
            elif self.link is not None:
                self._apply_link_plan()
            due_ms = max(0.0, self.read_due_ms - self.clock.now_ms())
            self.read_requested.wait(
                min(PLAN_INTERVAL_MS, due_ms) / clocks.MS_PER_SECOND
            )
            if self.read_requested.is_set():
                self.read_requested.clear()
                self.stopped.wait(MIN_READ_INTERVAL_MS / clocks.MS_PER_SECOND)
                self.read_due_ms = 0.0

    def _run_step(self) -> float:
        """Run one step; return the delay until the next one in ms."""
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
                return self.backoff.next_ms()

    def _step(self) -> result.Result[float, row_store.StoreError]:
        if self.link is None:
            return self._register().map(lambda _: 0.0)
        page = self.store.read_table(VMS_TABLE)
        if isinstance(page, result.Err):
            return page
        restored = page.ok_value.timeline > self.timeline
        if restored:
            keys = self._read_keys(self.secret)
            if isinstance(keys, result.Err):
                return keys
            self.secret = keys.ok_value.rows[0].value
            self.codec.adopt(self.secret)
        processed = self._process_rows(page.ok_value, restored)
        if isinstance(processed, result.Err):
            return processed
        self.timeline = page.ok_value.timeline
        if self.first_read_ms is None:
            self.first_read_ms = self.clock.now_ms()
            return result.Ok(SECOND_READ_DELAY_MS)
        return result.Ok(READ_INTERVAL_MS)

    def _register(self) -> result.Result[None, row_store.StoreError]:
        keys = self._read_keys(secrets.token_bytes(KEY_BYTES))
        if isinstance(keys, result.Err):
            return keys
        written = self._write_own_row()
        if isinstance(written, result.Err):
            return written
        # The store's clock orders the incarnations of a VM, because the
        # VM's own clock may be stepped.
        page = keys.ok_value
        self.secret = page.rows[0].value
        self.timeline = page.timeline
        self.codec = peer_codec.PeerCodec(
            self.vm,
            ids.IncarnationId(ids.random_id()),
            int(page.store_ms),
            [self.secret],
        )
        link = peer_link.PeerLink(
            self.row.address, self.codec, self.clock, batch_delay_ms=0.0
        )
        self.register_handlers(link)
        link.start()
        self.linked_ms = self.clock.now_ms()
        self.link = link
        return result.Ok(None)

    def _read_keys(
        self, proposed: bytes
    ) -> result.Result[row_store.RowPage, row_store.StoreError]:
        """Read the table of the key that all VMs share; its one row is it.

        Args:
            proposed: Key to be written if the store has none.
        """
        found = self.store.read_table(KEYS_TABLE)
        if isinstance(found, result.Err) or found.ok_value.rows:
            return found
        inserted = self.store.insert_row(
            row_store.RowKey(KEYS_TABLE, KEY_NAME), proposed
        )
        if isinstance(inserted, result.Err):
            return inserted
        return self.store.read_table(KEYS_TABLE)

    def _write_own_row(self) -> result.Result[None, row_store.StoreError]:
        return self.store.write_row(
            row_store.RowKey(VMS_TABLE, self.vm), msgspec.json.encode(self.row)
        )

    def _process_rows(
        self, page: row_store.RowPage, restored: bool
    ) -> result.Result[None, row_store.StoreError]:
        """Update the membership; restore the own row, delete expired ones.

        Args:
            page: The rows of all VMs.
            restored: Whether the store has been restored, so that VMs whose
                rows are missing are still writing them again.
        """
        listed = {}
        for row in page.rows:
            match peer_membership.decode_row(row.key, row.value):
                case result.Ok(found):
                    listed[row.key] = found
                case result.Err(error):
                    logs.warning('peer_unreadable', vm=row.key, why=str(error))
                    metrics.UNREADABLE_ROWS.inc(VMS_TABLE)
        self.membership.update_rows(
            listed, self.clock.now_ms(), keep_live=restored
        )
        self._apply_link_plan()
        if listed.get(self.vm) != self.row:
            written = self._write_own_row()
            if isinstance(written, result.Err):
                return written
        for vm in self.membership.expired(self.clock.now_ms()):
            logs.event('peer_forgotten', vm=vm)
            dropped = self.store.delete_row(row_store.RowKey(VMS_TABLE, vm))
            if isinstance(dropped, result.Err):
                return dropped
        return result.Ok(None)

    def _apply_link_plan(self) -> None:
        """Open and close connections according to the link plan."""
        wanted = self.membership.plan_links(self.clock.now_ms()).addresses
        for vm in set(self.link.addresses) - set(wanted):
            logs.event('peer_unlinked', vm=vm)
            self.link.disconnect(vm)
        for vm, address in wanted.items():
            if self.link.addresses.get(vm) != address:
                logs.event('peer_linked', vm=vm, address=address)
                self.link.connect(vm, address)
