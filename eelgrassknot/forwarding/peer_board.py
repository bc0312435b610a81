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
REREAD_MS = 15_000.0
"""How often the rows of the VMs are read while nothing calls for it; ms."""
REREAD_SOON_MS = 1_000.0
"""Least time between two reads; ms."""
SILENT_MS = 20_000.0
"""A peer that was not heard of for so long is disconnected; ms."""


class _VmRow(msgspec.Struct):
    """Where one VM listens to its peers."""

    address: str
    availability_zone: str


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
        heard_ms: When each peer was last heard of.
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
        self.availability_zone = availability_zone
        self.address = address
        self.store = store
        self.clock = clock
        self.prepare = prepare
        self.link: peer_link.PeerLink | None = None
        self.heard_ms: dict[ids.VmId, float] = {}
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
        self.heard_ms[vm] = self.clock.now_ms()
        if self.link is not None and vm not in self.link.addresses:
            self.wanted.set()

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to all peers."""
        if self.link is not None:
            self.link.broadcast(list(self.link.addresses), message)

    def live(self, within_ms: float) -> list[ids.VmId]:
        """Return the peers that were heard of within a time."""
        now_ms = self.clock.now_ms()
        return [
            vm
            for vm, heard_ms in list(self.heard_ms.items())
            if now_ms - heard_ms <= within_ms
        ]

    def _run(self) -> None:
        while not self.stopped.is_set():
            delay_ms = self._guarded_step()
            self.wanted.wait(delay_ms / clocks.MS_PER_SECOND)
            if self.wanted.is_set():
                self.wanted.clear()
                self.stopped.wait(REREAD_SOON_MS / clocks.MS_PER_SECOND)

    def _guarded_step(self) -> float:
        """Do what is due; return the time until the next step in ms."""
        try:
            found = self._step()
        except Exception as error:
            logs.exception('peer_board_failed', error)
            return RETRY_MAX_MS
        if isinstance(found, result.Err):
            logs.warning('peers_unread', why=str(found.err_value))
            return self.jitter.next_ms()
        return REREAD_MS

    def _step(self) -> result.Result[None, row_store.StoreError]:
        if self.link is None:
            found = self._register()
            if isinstance(found, result.Err):
                return found
        page = self.store.read_table(VMS_TABLE)
        return page.map(self._connect)

    def _register(self) -> result.Result[None, row_store.StoreError]:
        key = self._shared_key()
        if isinstance(key, result.Err):
            return key
        row = msgspec.json.encode(_VmRow(self.address, self.availability_zone))
        written = self.store.write_row(
            row_store.RowKey(VMS_TABLE, self.vm), row
        )
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
            self.address, codec, self.clock, gather_ms=0.0
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

    def _connect(self, page: row_store.RowPage) -> None:
        listed = {}
        for row in page.rows:
            if row.key == self.vm:
                continue
            try:
                listed[row.key] = msgspec.json.decode(row.value, type=_VmRow)
            except msgspec.MsgspecError as error:
                logs.warning('peer_unreadable', vm=row.key, why=str(error))
        now_ms = self.clock.now_ms()
        for vm, row in listed.items():
            last_ms = self.heard_ms.setdefault(vm, now_ms)
            if now_ms - last_ms > SILENT_MS:
                self.link.disconnect(vm)
            elif self.link.addresses.get(vm) != row.address:
                logs.event('peer_found', vm=vm, address=row.address)
                self.link.connect(vm, row.address)
