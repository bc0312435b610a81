"""What a VM knows from the store and its peers, and how current it is."""

import collections.abc
import concurrent.futures
import dataclasses
import functools
import random
import zlib

import msgspec
import result

from eelgrassknot.coordination import peer_link
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.coordination import rendezvous
from eelgrassknot.forwarding import access
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import peer_discovery
from eelgrassknot.forwarding import row_store
from eelgrassknot.forwarding import table_replica
from eelgrassknot.forwarding import table_watch
from eelgrassknot.forwarding import upstream_directory
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.settings import entry as entry_settings

__all__ = ['Knowledge', 'Listener']

CONFIG_WAIT_MS = 1_500.0
"""How long one call waits for a new state; ms. Two of them, and their
answers, fit into the least bound on revoked keys."""
UPSTREAMS_WAIT_MS = 2_500.0
"""How long one call waits for a change of the upstreams; ms."""
BEHIND_MS = 30.0
"""Time that this VM's own watch has to bring what a peer knows; ms."""
STALE_MARGIN_MS = 700.0
"""A table that nobody has confirmed for so much longer than a watch waits
is watched here; ms. Covers an answer, and a message of a peer."""
STALE_RANK_MS = 150.0
"""Each further VM of a zone waits so much longer before it watches as well;
ms. An answer of the store and a message of a peer take less."""
STALE_RANKS = 6
"""VMs beyond this rank wait no longer than it; the margin that they leave
is half of the least bound on revoked keys."""
SETTLE_MS = 1_000.0
"""Time from the start until a VM watches what it has read, unless peers do
already; ms. They are found within it."""
STEP_MS = 250.0
"""How often time-outs of the directory are looked at; ms."""


class Listener:
    """Is told what has changed; each method may be left out."""

    def state_changed(self, state: model.DeploymentState) -> None:
        """A state was read."""

    def upstreams_changed(
        self, directory: upstream_directory.UpstreamDirectory
    ) -> None:
        """The upstreams have changed."""

    def upstream_leaving(self, upstream: str) -> None:
        """An upstream is about to leave or has left."""

    def peer_told(self, vm: ids.VmId, news: messages.EntryNews) -> None:
        """A peer has told of its load."""

    def zone_told(self, vm: ids.VmId, news: messages.ZoneNews) -> None:
        """A gateway has told of the load of a zone."""


@dataclasses.dataclass
class _Table:
    """One table and what is done with its changes."""

    mirror: table_replica.TableMirror
    apply: collections.abc.Callable[[table_replica.Changes], None]
    watch: table_watch.TableWatch | None = None
    fetching: bool = False
    is_watched: bool = True


class Knowledge:
    """Tables of the store, watched here or told by peers.

    Args:
        settings: Settings of this VM.
        dialect: Adapter of the platform.
        loop: The event loop.
        generator: Source of random choices.
        listener: Is told what has changed.

    Attributes:
        access_book: Keys and how current they are.
        directory: Upstreams that are listed.
        board: The peers.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        dialect: dialects.Dialect,
        loop: loops.EventLoop,
        generator: random.Random,
        listener: Listener,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.loop = loop
        self.generator = generator
        self.listener = listener
        self.store_clock = access.StoreClock()
        self.access_book = access.AccessBook(settings.rules.revoke_ms)
        self.directory = upstream_directory.UpstreamDirectory(self._leaving)
        self.settled_ms = float('-inf')
        self.tables = {
            dialect.config_table: _Table(
                table_replica.TableMirror(), self._apply_config
            ),
            dialect.upstreams_table: _Table(
                table_replica.TableMirror(), self._apply_upstreams
            ),
        }
        waits = (CONFIG_WAIT_MS, UPSTREAMS_WAIT_MS)
        for name, wait_ms in zip(self.tables, waits, strict=True):
            self.tables[name].watch = self._watch(name, wait_ms)
        self.board = peer_discovery.PeerBoard(
            ids.VmId(settings.vm),
            ids.AvailabilityZoneId(settings.availability_zone),
            settings.listen.peers,
            dialect.open_store(settings.listen.store),
            loop.clock,
            random.Random(ids.random_id()),
            self._prepare_link,
        )

    @property
    def is_complete(self) -> bool:
        """Whether every table was read at least once."""
        return all(t.mirror.mark is not None for t in self.tables.values())

    def start(self) -> None:
        """Begin to watch and to look for peers."""
        for table in self.tables.values():
            table.watch.start()
        self.board.start()
        self.settled_ms = self.loop.now_ms() + SETTLE_MS
        self.loop.call_later(STEP_MS, self._step)

    def marks(self) -> tuple[messages.TableMark, ...]:
        """Return what peers are told of the tables."""
        return tuple(
            _told_mark(name, table.mirror.mark)
            for name, table in self.tables.items()
            if table.mirror.mark is not None
        )

    def newest(self) -> tuple[tuple[str, float], ...]:
        """Return what peers are to be told of at once.

        A VM that watches a table tells each confirmation of it; others
        tell changes, as peers of the zone hear the watching VM as well.
        """
        return tuple(
            (
                name,
                table.mirror.mark.store_ms
                if table.watch.wanted
                else table.mirror.mark.changed,
            )
            for name, table in self.tables.items()
            if table.mirror.mark is not None
        )

    # The store

    def _watch(self, name: str, wait_ms: float) -> table_watch.TableWatch:
        table = self.tables[name]
        return table_watch.TableWatch(
            self.dialect.open_store(self.settings.listen.store),
            name,
            wait_ms,
            self.loop.clock,
            random.Random(ids.random_id()),
            lambda news: self.loop.call_soon(
                functools.partial(self._take_news, news)
            ),
            functools.partial(_position, table),
        )

    def _take_news(self, news: table_watch.News) -> None:
        match news:
            case table_watch.WatchFailed(table, error, True):
                logs.warning('store_lost', table=table, why=str(error))
            case table_watch.TableNews():
                self._take_page(news)

    def _take_page(self, news: table_watch.TableNews) -> None:
        if news.returned:
            logs.event('store_regained', table=news.table)
            self.directory.store_returned(self.loop.now_ms())
        page = news.page
        self.store_clock.observe(news.sent_ms, news.received_ms, page.store_ms)
        table = self.tables[news.table]
        if news.after is None:
            changes = table.mirror.take_whole(page, page.version)
        else:
            changes = table.mirror.take_changes(news.after, page)
        self._apply(news.table, changes)
        # Before the watch's thread decides on its next call.
        table.watch.wanted = self._should_watch(news.table)

    def _apply(self, name: str, changes: table_replica.Changes | None) -> None:
        table = self.tables[name]
        if changes is not None and (changes.put or changes.removed):
            table.apply(changes)
        if name == self.dialect.config_table and table.mirror.mark:
            as_of_ms = self.store_clock.local_ms(table.mirror.mark.store_ms)
            self.access_book.confirm(as_of_ms)

    def _apply_config(self, changes: table_replica.Changes) -> None:
        for row in changes.put:
            if row.key != self.dialect.config_key:
                continue
            match self.dialect.decode_state(row.value):
                case result.Ok(state):
                    self.listener.state_changed(state)
                    self.listener.upstreams_changed(self.directory)
                case result.Err(error):
                    logs.error('state_unreadable', why=str(error))

    def _apply_upstreams(self, changes: table_replica.Changes) -> None:
        now_ms = self.loop.now_ms()
        for key in changes.removed:
            self.directory.remove(key, now_ms)
        for row in changes.put:
            match self.dialect.decode_upstream(
                row.key, row.value, self.settings.regions
            ):
                case result.Ok(upstream):
                    self.directory.put(upstream, now_ms)
                case result.Err(error):
                    logs.warning('entry_unreadable', why=str(error))
                    self.directory.remove(row.key, now_ms)
        self.listener.upstreams_changed(self.directory)

    def _leaving(self, upstream: str) -> None:
        # In a later round, when no new work is placed there any more.
        self.loop.call_soon(
            functools.partial(self.listener.upstream_leaving, upstream)
        )

    # Peers

    def _prepare_link(self, link: peer_link.PeerLink) -> None:
        for kind, take in (
            (messages.EntryNews, self._take_peer),
            (messages.ZoneNews, self._take_zone),
        ):
            link.on_message(kind, functools.partial(self._in_loop, take))
        link.on_query(messages.RowsFetch, self._answer_fetch)

    def _in_loop(
        self,
        take: collections.abc.Callable[[ids.VmId, messages.Message], None],
        envelope: messages.Envelope,
    ) -> None:
        self.loop.call_soon(
            functools.partial(take, envelope.vm, envelope.message)
        )

    def _take_peer(self, vm: ids.VmId, news: messages.EntryNews) -> None:
        self.board.heard(vm)
        self._take_marks(vm, news.marks)
        self.listener.peer_told(vm, news)

    def _take_zone(self, vm: ids.VmId, news: messages.ZoneNews) -> None:
        self.board.heard(vm)
        self._take_marks(vm, news.marks)
        self.listener.zone_told(vm, news)

    def _take_marks(
        self, vm: ids.VmId, marks: tuple[messages.TableMark, ...]
    ) -> None:
        for told in marks:
            table = self.tables.get(told.table)
            if table is None:
                continue
            mark = table_replica.Mark(
                told.version, told.changed, told.store_ms
            )
            if table.mirror.confirm(mark):
                self._apply(told.table, None)
            elif not table.fetching:
                table.fetching = True
                self.loop.call_later(
                    BEHIND_MS, functools.partial(self._fetch, vm, told)
                )

    def _fetch(self, vm: ids.VmId, told: messages.TableMark) -> None:
        """Ask a peer for a table unless it was read meanwhile."""
        table = self.tables[told.table]
        table.fetching = False
        if table.mirror.covers(told.changed) or self.board.link is None:
            return
        mark = table.mirror.mark
        query = messages.RowsFetch(told.table, mark.version if mark else 0)
        future = self.board.link.send_query(vm, query)
        future.add_done_callback(
            lambda done: self.loop.call_soon(
                functools.partial(self._take_reply, done)
            )
        )

    def _take_reply(self, done: concurrent.futures.Future) -> None:
        if done.cancelled():
            return
        reply = done.result()
        if not isinstance(reply, messages.RowsReply) or reply.rows is None:
            return
        entries = msgspec.msgpack.decode(
            zlib.decompress(reply.rows), type=list[messages.RowEntry]
        )
        rows = tuple(
            row_store.StoreRow(e.key, e.value, e.version, False)
            for e in entries
        )
        mark = reply.mark
        page = row_store.RowPage(rows, mark.version, mark.store_ms)
        table = self.tables[mark.table]
        logs.event('table_from_peer', table=mark.table, version=mark.version)
        self._apply(mark.table, table.mirror.take_whole(page, mark.changed))

    def _answer_fetch(
        self, _vm: ids.VmId, query: messages.RowsFetch
    ) -> messages.RowsReply:
        mirror = self.tables[query.table].mirror
        mark, rows = mirror.mark, list(mirror.rows.values())
        if mark is None or mark.version <= query.version:
            told = _told_mark(query.table, mark or _NOTHING)
            return messages.RowsReply(told, None)
        entries = [
            messages.RowEntry(row.key, row.value, row.version) for row in rows
        ]
        packed = zlib.compress(msgspec.msgpack.encode(entries))
        return messages.RowsReply(_told_mark(query.table, mark), packed)

    # Time

    def _step(self) -> None:
        now_ms = self.loop.now_ms()
        before = len(self.directory.upstreams)
        self.directory.step(now_ms)
        if len(self.directory.upstreams) != before:
            self.listener.upstreams_changed(self.directory)
        for name, table in self.tables.items():
            table.watch.wanted = self._should_watch(name)
        self.loop.call_later(STEP_MS, self._step)

    def _should_watch(self, name: str) -> bool:
        """Return whether this VM watches a table for its zone's peers."""
        mark = self.tables[name].mirror.mark
        if mark is None:
            return True
        now_ms = self.loop.now_ms()
        if now_ms < self.settled_ms:
            return False
        members = self.board.zone_members()
        rank = rendezvous.ranked(name, members).index(self.settings.vm)
        if rank == 0:
            return True
        age_ms = now_ms - self.store_clock.local_ms(mark.store_ms)
        stale_ms = self.tables[name].watch.wait_ms + STALE_MARGIN_MS
        return age_ms > stale_ms + min(rank, STALE_RANKS) * STALE_RANK_MS


_NOTHING = table_replica.Mark(0, 0, 0.0)


def _position(table: _Table) -> int | None:
    """Return the version after which changes are wanted."""
    mark = table.mirror.mark
    return None if mark is None else mark.version


def _told_mark(name: str, mark: table_replica.Mark) -> messages.TableMark:
    return messages.TableMark(name, mark.version, mark.changed, mark.store_ms)
