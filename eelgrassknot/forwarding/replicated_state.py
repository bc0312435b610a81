"""Tables of the store, replicated by this VM from the store or its peers."""

import collections.abc
import concurrent.futures
import functools
import random

import msgspec
import result

from eelgrassknot.coordination import peer_link
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot.coordination import rendezvous
from eelgrassknot.forwarding import access
from eelgrassknot.forwarding import crash_reports
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import evacuations
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import peer_discovery
from eelgrassknot.forwarding import peer_membership
from eelgrassknot.forwarding import peer_rows
from eelgrassknot.forwarding import row_store
from eelgrassknot.forwarding import table_replica
from eelgrassknot.forwarding import table_watch
from eelgrassknot.forwarding import upstream_directory
from eelgrassknot import ids
from eelgrassknot import logs
from eelgrassknot.settings import entry as entry_settings

__all__ = ['ReplicatedState', 'Listener']

CONFIG_WAIT_MS = 2_000.0
"""How long one call waits for a new state; ms. Two calls with their
responses fit into the smallest bound on revoked keys."""
UPSTREAMS_WAIT_MS = 2_500.0
"""How long one call waits for a change of the upstreams; ms."""
CRASHES_WAIT_MS = 5_000.0
"""How long one call waits for a crash report; ms."""
FETCH_DELAY_MS = 30.0
"""How long this VM's own watch may take to deliver a change that a peer
already has; ms."""
STALE_MARGIN_MS = 700.0
"""Time beyond the wait of a watch after which an unconfirmed table is
watched by this VM; ms. Covers a response and a message of a peer."""
STALE_RANK_DELAY_MS = 150.0
"""Additional delay of each further VM of a zone before it starts to watch;
ms. A response of the store and a message of a peer take less."""
MAX_DELAYED_RANK = 6
"""Rank beyond which the delay no longer grows; the remaining margin is half
of the smallest bound on revoked keys."""
STARTUP_GRACE_MS = 1_000.0
"""Time after the discovery of the peers before a VM watches the tables that
it has read, unless its peers already do; ms."""
MAX_STARTUP_GRACE_MS = 3_000.0
"""The same, counted from the start; ms. The keys that were read at the start
are still current then."""
LAPSE_HEARTBEATS = 3
"""Number of missed heartbeats after which the entry of an upstream
expires."""
POLL_INTERVAL_MS = 250.0
"""Interval at which timeouts of the directory are checked; ms."""


class Listener:
    """Callbacks for changes; all methods are optional."""

    def state_changed(self, state: model.DeploymentState) -> None:
        """Called when a state has been read."""

    def upstreams_changed(
        self, directory: upstream_directory.UpstreamDirectory
    ) -> None:
        """Called when the upstreams have changed."""

    def evacuations_changed(self) -> None:
        """Called when a zone has been evacuated or restored."""

    def upstream_leaving(self, upstream: str) -> None:
        """Called when an upstream is leaving or has left."""

    def peer_load_received(
        self, vm: ids.VmId, message: messages.EntryNews
    ) -> None:
        """Called with the load of a peer."""

    def zone_load_received(
        self, vm: ids.VmId, message: messages.ZoneNews
    ) -> None:
        """Called with the load of a zone, reported by a gateway."""

    def permit_requested(
        self, vm: ids.VmId, message: messages.PermitRequest
    ) -> None:
        """Called with a peer's request for a permit."""

    def permit_replied(
        self, vm: ids.VmId, message: messages.PermitReply
    ) -> None:
        """Called with the reply to a request for a permit."""


class _ReplicatedTable(msgspec.Struct):
    """One table and the handler of its changes.

    Attributes:
        required: Whether a VM needs the table to serve requests.
    """

    replica: table_replica.TableReplica
    apply: collections.abc.Callable[[table_replica.ChangeSet], None]
    watch: table_watch.TableWatch | None = None
    fetching: bool = False
    required: bool = True


class ReplicatedState:
    """Tables of the store, watched by this VM or received from peers.

    Args:
        settings: Settings of this VM.
        dialect: Adapter of the platform.
        loop: The event loop.
        generator: Random number generator.
        listener: Receives the callbacks.

    Attributes:
        authenticator: Authenticates API keys.
        directory: Listed upstreams.
        evacuations: Evacuated availability zones.
        peers: Discovery of the peers.
        crash_reports: Crash reports of this VM and its peers.
        shown_state: Version of the state that the store shows, or None.
        newest_state: Highest version of a state that this VM or a peer has
            read, or None.
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
        self.authenticator = access.KeyAuthenticator(settings.rules.revoke_ms)
        self.directory = upstream_directory.UpstreamDirectory(
            self._notify_leaving, LAPSE_HEARTBEATS * settings.heartbeat_ms
        )
        self.evacuations = evacuations.Evacuations(
            dialect.evacuated_zone, settings.regions, loop.clock
        )
        self.watch_from_ms = float('-inf')
        self.shown_state: int | None = None
        self.newest_state: int | None = None
        self.crash_reports = crash_reports.CrashReports(
            ids.VmId(settings.vm),
            dialect.open_store(settings.listen.store),
            loop,
            generator,
            self.store_clock,
            lambda: self.peers.zone_members(),
        )
        self.tables = {
            dialect.config_table: _ReplicatedTable(
                table_replica.TableReplica(), self._apply_config
            ),
            dialect.upstreams_table: _ReplicatedTable(
                table_replica.TableReplica(), self._apply_upstreams
            ),
            crash_reports.CRASHES_TABLE: _ReplicatedTable(
                table_replica.TableReplica(),
                self.crash_reports.apply,
                required=False,
            ),
        }
        waits = (CONFIG_WAIT_MS, UPSTREAMS_WAIT_MS, CRASHES_WAIT_MS)
        for name, wait_ms in zip(self.tables, waits, strict=True):
            self.tables[name].watch = self._create_watch(name, wait_ms)
        self.peers = peer_discovery.PeerDiscovery(
            ids.VmId(settings.vm),
            ids.AvailabilityZoneId(settings.availability_zone),
            settings.listen.peers,
            dialect.open_store(settings.listen.store),
            loop.clock,
            random.Random(ids.random_id()),
            self._register_handlers,
        )

    @property
    def is_complete(self) -> bool:
        """Whether every required table has been read at least once."""
        return all(
            table.replica.watermark is not None
            for table in self.tables.values()
            if table.required
        )

    def start(self) -> None:
        """Start the watches, the discovery of peers and the writer."""
        for table in self.tables.values():
            table.watch.start()
        self.peers.start()
        self.crash_reports.start()
        self.watch_from_ms = self.loop.now_ms() + MAX_STARTUP_GRACE_MS
        self.loop.call_later(POLL_INTERVAL_MS, self._poll)

    def watermarks(self) -> tuple[messages.TableMark, ...]:
        """Return the watermarks of the tables for messages to peers."""
        return tuple(
            _encode_watermark(name, table.replica.watermark)
            for name, table in self.tables.items()
            if table.replica.watermark is not None
        )

    def urgent_versions(self) -> tuple[tuple[str, int, float], ...]:
        """Return the positions whose change is published at once.

        A VM that watches a table publishes each confirmation. The peers of
        its zone receive them from it, so the others need not pass them on.
        """
        return tuple(
            (
                name,
                table.replica.watermark.timeline,
                table.replica.watermark.store_ms,
            )
            for name, table in self.tables.items()
            if table.watch.active and table.replica.watermark is not None
        )

    # The store

    def _create_watch(
        self, name: str, wait_ms: float
    ) -> table_watch.TableWatch:
        table = self.tables[name]
        return table_watch.TableWatch(
            self.dialect.open_store(self.settings.listen.store),
            name,
            wait_ms,
            self.loop.clock,
            random.Random(ids.random_id()),
            lambda event: self.loop.call_soon(
                functools.partial(self._handle_watch_event, event)
            ),
            functools.partial(_resume_position, table),
        )

    def _handle_watch_event(self, event: table_watch.WatchEvent) -> None:
        match event:
            case table_watch.WatchFailed(table, error, True):
                logs.warning('store_lost', table=table, why=str(error))
            case table_watch.PageReceived():
                self._handle_page(event)

    def _handle_page(self, event: table_watch.PageReceived) -> None:
        table = self.tables[event.table]
        if event.recovered:
            logs.event('store_regained', table=event.table)
            if table.required:
                self.directory.record_store_recovery(self.loop.now_ms())
        page = event.page
        self.store_clock.observe(
            event.sent_ms, event.received_ms, page.store_ms
        )
        if event.after is None:
            changes = table.replica.apply_snapshot(page, page.version)
            if changes is None:
                logs.warning(
                    'old_snapshot',
                    table=event.table,
                    version=page.version,
                    known=table.replica.watermark.version,
                )
        else:
            changes = table.replica.apply_changes(event.after, page)
            self._publish_changes(event.table, event.after, page)
        self._apply(event.table, changes)
        # Set before the thread of the watch decides on its next call.
        table.watch.active = self._should_watch(event.table)

    def _publish_changes(
        self, name: str, after: int, page: row_store.RowPage
    ) -> None:
        """Send changes to the peers, which need not fetch them then."""
        watermark = self.tables[name].replica.watermark
        if page.rows and watermark.position == page.position:
            self.peers.broadcast(
                messages.RowsNews(
                    _encode_watermark(name, watermark),
                    peer_rows.encode(page.rows),
                    after,
                )
            )

    def _apply(
        self, name: str, changes: table_replica.ChangeSet | None
    ) -> None:
        table = self.tables[name]
        if changes is not None and changes.restored:
            self._handle_restoration(name)
        if changes is not None and (
            changes.updated or changes.removed or changes.restored
        ):
            table.apply(changes)
        if name == self.dialect.config_table and self._shows_newest_state():
            as_of_ms = self.store_clock.local_ms(
                table.replica.watermark.store_ms
            )
            self.authenticator.confirm(as_of_ms)

    def _handle_restoration(self, name: str) -> None:
        """Prepare for a table of a store that was restored from a copy.

        Servers write again what the copy lacks, as after an outage, and this
        VM writes again its own rows.
        """
        watermark = self.tables[name].replica.watermark
        logs.event(
            'table_restored',
            table=name,
            timeline=watermark.timeline,
            version=watermark.version,
        )
        if name == self.dialect.upstreams_table:
            self.directory.record_store_recovery(self.loop.now_ms())
        self.peers.restore_rows(watermark.timeline)

    def _shows_newest_state(self) -> bool:
        """Return whether the store shows the newest state that is known.

        A copy may show an earlier one until the operator writes again. If it
        does, it may also lack states that no VM has read.
        """
        replica = self.tables[self.dialect.config_table].replica
        return replica.watermark is not None and (
            self.shown_state == self.newest_state
        )

    def _apply_config(self, changes: table_replica.ChangeSet) -> None:
        if self.evacuations.apply(changes):
            self.listener.upstreams_changed(self.directory)
            # Deferred until no new requests are placed there.
            self.loop.call_soon(self.listener.evacuations_changed)
        if self.dialect.config_key in changes.removed:
            self.shown_state = None
        for row in changes.updated:
            if row.key != self.dialect.config_key:
                continue
            match self.dialect.decode_state(row.value):
                case result.Ok(state):
                    logs.event(
                        'state_read', version=state.version, row=row.version
                    )
                    self.shown_state = state.version
                    self._observe_state(state.version)
                    self.listener.state_changed(state)
                    self.listener.upstreams_changed(self.directory)
                case result.Err(error):
                    logs.error('state_unreadable', why=str(error))

    def _observe_state(self, version: int | None) -> None:
        """Record a version of the state that this VM or a peer has read."""
        if version is not None:
            self.newest_state = max(version, self.newest_state or version)

    def _apply_upstreams(self, changes: table_replica.ChangeSet) -> None:
        now_ms = self.loop.now_ms()
        for key in changes.removed:
            self.directory.remove(key, now_ms)
        for row in changes.updated:
            match self.dialect.decode_upstream(
                row.key, row.value, self.settings.regions
            ):
                case result.Ok(upstream):
                    self.directory.put(upstream, now_ms, changes.restored)
                case result.Err(error):
                    # An entry that cannot be used counts as removed.
                    logs.warning(
                        'entry_unreadable', key=row.key, why=str(error)
                    )
                    metrics.UNREADABLE_ROWS.inc(self.dialect.upstreams_table)
                    self.directory.remove(row.key, now_ms)
        self.listener.upstreams_changed(self.directory)

    def announce_leaving(
        self, upstream: ids.UpstreamId, started_at_ms: int
    ) -> None:
        """Handle an upstream's word that it is leaving.

        Args:
            upstream: The upstream.
            started_at_ms: Start of its process.
        """
        if self.directory.announce_leaving(upstream, started_at_ms):
            self.listener.upstreams_changed(self.directory)

    @property
    def announced_leaving(self) -> tuple[tuple[ids.UpstreamId, int], ...]:
        """Listed upstreams that have said that they are leaving."""
        return tuple(
            (ids.UpstreamId(name), started_at_ms)
            for name, started_at_ms in self.directory.announced.items()
            if name in self.directory.upstreams
        )

    def _notify_leaving(self, upstream: str) -> None:
        # Deferred until no new requests are placed there.
        self.loop.call_soon(
            functools.partial(self.listener.upstream_leaving, upstream)
        )

    # Peers

    def _register_handlers(self, link: peer_link.PeerLink) -> None:
        for kind, handler in (
            (messages.EntryNews, self._receive_peer_load),
            (messages.ZoneNews, self._receive_zone_load),
            (messages.RowsNews, self._receive_changes),
            (messages.PermitRequest, self.listener.permit_requested),
            (messages.PermitReply, self.listener.permit_replied),
        ):
            link.on_message(
                kind, functools.partial(self._post_to_loop, handler)
            )
        link.on_query(messages.RowsFetch, self._serve_fetch)

    def _post_to_loop(
        self,
        handler: collections.abc.Callable[[ids.VmId, messages.Message], None],
        envelope: messages.Envelope,
    ) -> None:
        self.loop.call_soon(
            functools.partial(handler, envelope.vm, envelope.message)
        )

    def _receive_peer_load(
        self, vm: ids.VmId, message: messages.EntryNews
    ) -> None:
        if message.address:
            self.peers.introduce(
                vm,
                peer_membership.VmRow(
                    message.address, message.availability_zone
                ),
            )
        self.peers.record_contact(vm)
        self._observe_state(message.newest_state)
        self._receive_watermarks(vm, message.marks)
        for upstream, started_at_ms in message.leaving_upstreams:
            self.announce_leaving(upstream, started_at_ms)
        self.listener.peer_load_received(vm, message)

    def _receive_zone_load(
        self, vm: ids.VmId, message: messages.ZoneNews
    ) -> None:
        self.peers.record_contact(vm)
        self._observe_state(message.newest_state)
        self._receive_watermarks(vm, message.marks)
        self.listener.zone_load_received(vm, message)

    def _receive_watermarks(
        self, vm: ids.VmId, marks: tuple[messages.TableMark, ...]
    ) -> None:
        for remote in marks:
            table = self.tables.get(remote.table)
            if table is None:
                continue
            watermark = table_replica.Watermark(
                remote.version,
                remote.changed,
                remote.store_ms,
                remote.timeline,
            )
            self._detect_outage(remote.table, watermark.store_ms)
            if table.replica.confirm(watermark):
                self._apply(remote.table, None)
            elif not table.fetching:
                table.fetching = True
                self.loop.call_later(
                    FETCH_DELAY_MS, functools.partial(self._fetch, vm, remote)
                )

    def _fetch(self, vm: ids.VmId, remote: messages.TableMark) -> None:
        """Fetch a table from a peer unless it has been read meanwhile."""
        table = self.tables[remote.table]
        table.fetching = False
        known = table.replica.covers(remote.changed, remote.timeline)
        if known or self.peers.link is None:
            return
        watermark = table.replica.watermark or _EMPTY_WATERMARK
        query = messages.RowsFetch(
            remote.table,
            watermark.version,
            watermark.timeline,
            accepts_changes=table.replica.watermark is not None,
        )
        future = self.peers.link.send_query(vm, query)
        future.add_done_callback(
            lambda done: self.loop.call_soon(
                functools.partial(self._receive_reply, done)
            )
        )

    def _receive_reply(self, done: concurrent.futures.Future) -> None:
        if done.cancelled():
            return
        reply = done.result()
        if not isinstance(reply, messages.RowsReply) or reply.rows is None:
            return
        self._apply_peer_rows(reply.mark, reply.rows, reply.after)

    def _receive_changes(
        self, vm: ids.VmId, message: messages.RowsNews
    ) -> None:
        """Apply changes unless earlier ones are missing here.

        Those are fetched when the peer's next watermark arrives.
        """
        self.peers.record_contact(vm)
        table = self.tables.get(message.mark.table)
        if table is None or table.replica.watermark is None:
            return
        known = table.replica.watermark
        if (
            known.timeline == message.mark.timeline
            and message.after <= known.version < message.mark.version
        ):
            self._apply_peer_rows(message.mark, message.rows, message.after)

    def _apply_peer_rows(
        self, watermark: messages.TableMark, packed: bytes, after: int | None
    ) -> None:
        """Apply a table, or its changes after a version."""
        match peer_rows.decode(packed):
            case result.Err(error):
                logs.warning(
                    'table_from_peer_unreadable',
                    table=watermark.table,
                    why=str(error),
                )
                return
            case result.Ok(rows):
                pass
        page = row_store.RowPage(
            rows, watermark.version, watermark.store_ms, watermark.timeline
        )
        table = self.tables[watermark.table]
        logs.event(
            'table_from_peer', table=watermark.table, version=watermark.version
        )
        self._detect_outage(watermark.table, watermark.store_ms)
        if after is None:
            changes = table.replica.apply_snapshot(page, watermark.changed)
        else:
            changes = table.replica.apply_changes(after, page)
        self._apply(watermark.table, changes)

    def _detect_outage(self, name: str, store_ms: float) -> None:
        """Record an outage of the store that only peers have noticed.

        Entries can expire in it only if nobody has read their table for as
        long as an upstream may go without a heartbeat.
        """
        if name != self.dialect.upstreams_table:
            return
        known = self.tables[name].replica.watermark
        lapse_ms = LAPSE_HEARTBEATS * self.settings.heartbeat_ms
        if known is not None and store_ms - known.store_ms > lapse_ms:
            self.directory.record_store_recovery(self.loop.now_ms())

    def _serve_fetch(
        self, _vm: ids.VmId, query: messages.RowsFetch
    ) -> messages.RowsReply:
        if query.table not in self.tables:
            # A table of another release.
            mark = _encode_watermark(query.table, _EMPTY_WATERMARK)
            return messages.RowsReply(mark, None)
        replica = self.tables[query.table].replica
        watermark = replica.watermark
        known = (query.timeline, query.version)
        if watermark is None or watermark.position <= known:
            remote = _encode_watermark(
                query.table, watermark or _EMPTY_WATERMARK
            )
            return messages.RowsReply(remote, None)
        after, rows = None, None
        if query.accepts_changes:
            rows = replica.changes_after(query.version, query.timeline)
        if rows is None:
            rows = tuple(replica.rows.values())
        else:
            after = query.version
        return messages.RowsReply(
            _encode_watermark(query.table, watermark),
            peer_rows.encode(rows),
            after,
        )

    # Timers

    def _poll(self) -> None:
        now_ms = self.loop.now_ms()
        if self.peers.first_read_ms is not None:
            self.watch_from_ms = min(
                self.watch_from_ms, self.peers.first_read_ms + STARTUP_GRACE_MS
            )
        before = dict(self.directory.upstreams)
        self.directory.expire(now_ms)
        if self.directory.upstreams != before:
            self.listener.upstreams_changed(self.directory)
        for name, table in self.tables.items():
            table.watch.active = self._should_watch(name)
        self.loop.call_later(POLL_INTERVAL_MS, self._poll)

    def _should_watch(self, name: str) -> bool:
        """Return whether this VM watches a table on behalf of its zone.

        The first VM of the zone watches it, unless the store rejects this VM
        and the others keep the table current.
        """
        table = self.tables[name]
        watermark = table.replica.watermark
        if watermark is None:
            return True
        now_ms = self.loop.now_ms()
        if now_ms < self.watch_from_ms:
            return False
        members = self.peers.zone_members()
        rank = rendezvous.ranked(name, members).index(self.settings.vm)
        if rank == 0 and not table.watch.failing:
            return True
        age_ms = now_ms - self.store_clock.local_ms(watermark.store_ms)
        stale_ms = table.watch.wait_ms + STALE_MARGIN_MS
        delay_ms = min(rank, MAX_DELAYED_RANK) * STALE_RANK_DELAY_MS
        return age_ms > stale_ms + delay_ms


_EMPTY_WATERMARK = table_replica.Watermark(0, 0, 0.0)


def _resume_position(table: _ReplicatedTable) -> tuple[int, int] | None:
    """Return the timeline and version after which changes are read."""
    watermark = table.replica.watermark
    return None if watermark is None else watermark.position


def _encode_watermark(
    name: str, watermark: table_replica.Watermark
) -> messages.TableMark:
    return messages.TableMark(
        name,
        watermark.version,
        watermark.last_change,
        watermark.store_ms,
        watermark.timeline,
    )
