"""The daemon of an entry VM that forwards on a platform."""

import functools
import os
import random
import signal
import socket
import sys
import typing

import prometheus_client
import result
import typer

from eelgrassknot import clock as clocks
from eelgrassknot import exceptions
from eelgrassknot.forwarding import access
from eelgrassknot.forwarding import caller_connection
from eelgrassknot.forwarding import connection as connections
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import directory as directories
from eelgrassknot.forwarding import engine_desk
from eelgrassknot.forwarding import forwarder as forwarders
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import row_store
from eelgrassknot.forwarding import store_watch
from eelgrassknot.forwarding import upstream_link
from eelgrassknot.forwarding import work as works
from eelgrassknot import ids
from eelgrassknot.kernel import registry
from eelgrassknot import logs
from eelgrassknot.policy import health
from eelgrassknot.policy import plain
from eelgrassknot.policy import retry_budget
from eelgrassknot.settings import entry as entry_settings

__all__ = ['EntryDaemon', 'main']

SETTINGS_VARIABLE = 'EELGRASSKNOT_BOOT'
CONFIG_WAIT_MS = 1_200.0
"""How long one call waits for a new state; ms. Three of them, and their
answers, fit into the least bound on revoked keys."""
UPSTREAMS_WAIT_MS = 5_000.0
"""How long one call waits for a change of the upstreams; ms."""
STEP_MS = 250.0
"""How often time-outs of the directory are looked at; ms."""
RELOAD_CHECK_MS = 2_000.0
"""How often the settings file is looked at for a change; ms."""
ASSUMED_VMS = 6
"""Entry VMs among which the retry budget is split until peers are known."""
DRAIN_ACCEPT_MS = 3_000.0
"""How long after SIGTERM idle connections stay open; ms. The balancer
sends none after two of its questions, one a second."""
DRAIN_STEP_MS = 100.0
GRACE_RESERVE_MS = 400.0
"""Time before the end of the grace in which this process ends; ms."""


class EntryDaemon:
    """All that one entry VM does.

    Args:
        settings: Settings of this VM.
        dialect: Adapter of the platform.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        dialect: dialects.Dialect,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.generator = random.Random(ids.random_id())
        self.clock = clocks.BootClock()
        self.loop = loops.EventLoop(self.clock)
        self.store_clock = access.StoreClock()
        self.access_book = access.AccessBook(settings.rules.revoke_ms)
        book = health.HealthBook()
        region = ids.RegionId(settings.region)
        self.desk = engine_desk.EngineDesk(self.loop, region, book)
        self.plain_pool = plain.PlainPool(region, self.generator, book)
        self.links = upstream_link.UpstreamLinks(self.loop)
        self.context = works.Context(
            loop=self.loop,
            links=self.links,
            dialect=dialect,
            generator=self.generator,
            book=book,
            plain_pool=self.plain_pool,
            desk=self.desk,
            new_budget=functools.partial(
                retry_budget.RetryBudget,
                settings.rules.retry_ratio,
                settings.rules.retry_burst / ASSUMED_VMS,
            ),
        )
        self.forwarder = forwarders.Forwarder(
            self.context, self.access_book, self.generator
        )
        self.directory = directories.UpstreamDirectory(self._leaving)
        self.knows_upstreams = False
        self.drain_until_ms: float | None = None
        self.watches = [
            self._watch(dialect.config_table, CONFIG_WAIT_MS),
            self._watch(dialect.upstreams_table, UPSTREAMS_WAIT_MS),
        ]
        self.listeners: list[connections.Listener] = []

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return (
            self.forwarder.state is not None
            and self.knows_upstreams
            and not self.forwarder.draining
            and self.access_book.is_current(self.loop.now_ms())
        )

    def run(self) -> None:
        """Serve until the daemon is told to end and has drained."""
        listen = self.settings.listen
        self.listeners = [
            connections.Listener(
                self.loop, listen.callers, self._accept_caller
            ),
            connections.Listener(
                self.loop,
                listen.readiness,
                functools.partial(
                    caller_connection.CallerConnection,
                    _OperatorsServer(self),
                ),
            ),
            connections.Listener(
                self.loop,
                listen.metrics,
                functools.partial(
                    caller_connection.CallerConnection,
                    _OperatorsServer(self),
                ),
            ),
        ]
        for watch in self.watches:
            watch.start()
        self.loop.call_later(STEP_MS, self._step)
        logs.event('started', vm=self.settings.vm)
        self.loop.run()
        logs.event('stopped', vm=self.settings.vm)

    def drain(self) -> None:
        """Finish what is in hand, then end."""
        if self.forwarder.draining:
            return
        now_ms = self.loop.now_ms()
        logs.event('draining', in_hand=self.forwarder.in_hand)
        self.forwarder.draining = True
        grace_ms = self.settings.rules.grace_s * clocks.MS_PER_SECOND
        self.drain_until_ms = now_ms + grace_ms - GRACE_RESERVE_MS
        self.loop.call_later(
            min(DRAIN_ACCEPT_MS, grace_ms / 2), self._drain_step
        )

    def _drain_step(self) -> None:
        self.forwarder.close_idle()
        in_hand = self.forwarder.in_hand
        if in_hand == 0 or self.loop.now_ms() >= self.drain_until_ms:
            logs.event('drained', in_hand=in_hand)
            self.loop.stop()
            return
        self.loop.call_later(DRAIN_STEP_MS, self._drain_step)

    def _accept_caller(self, stream: socket.socket) -> None:
        connection = caller_connection.CallerConnection(self.forwarder, stream)
        self.forwarder.connections.add(connection)

    def _watch(self, table: str, wait_ms: float) -> store_watch.TableWatch:
        return store_watch.TableWatch(
            self.dialect.open_store(self.settings.listen.store),
            table,
            wait_ms,
            self.clock,
            random.Random(ids.random_id()),
            lambda news: self.loop.call_soon(
                functools.partial(self._take_news, news)
            ),
        )

    def _take_news(self, news: store_watch.News) -> None:
        match news:
            case store_watch.WatchFailed(table, error, True):
                logs.warning('store_lost', table=table, why=str(error))
            case store_watch.TableNews():
                self._take_page(news)

    def _take_page(self, news: store_watch.TableNews) -> None:
        now_ms = self.loop.now_ms()
        if news.returned:
            logs.event('store_regained', table=news.table)
        self.store_clock.observe(
            news.sent_ms, news.received_ms, news.page.store_ms
        )
        if news.table == self.dialect.config_table:
            self._take_config(news.page)
            return
        if news.returned:
            self.directory.store_returned(now_ms)
        self._take_upstreams(news.page, news.is_whole)

    def _take_config(self, page: row_store.RowPage) -> None:
        for row in page.rows:
            if row.key != self.dialect.config_key or row.deleted:
                continue
            match self.dialect.decode_state(row.value):
                case result.Ok(state):
                    self.forwarder.adopt(state)
                    self._replace_upstreams()
                case result.Err(error):
                    logs.error('state_unreadable', why=str(error))
        as_of_ms = self.store_clock.local_ms(page.store_ms)
        self.access_book.confirm(as_of_ms)

    def _take_upstreams(self, page: row_store.RowPage, is_whole: bool) -> None:
        now_ms = self.loop.now_ms()
        listed = {}
        for row in page.rows:
            upstream = None if row.deleted else self._decode(row)
            if upstream is not None:
                listed[row.key] = upstream
            elif not is_whole:
                self.directory.remove(row.key, now_ms)
        if is_whole:
            self.directory.replace(listed, now_ms)
        else:
            for upstream in listed.values():
                self.directory.put(upstream, now_ms)
        self.knows_upstreams = True
        self._replace_upstreams()

    def _decode(self, row: row_store.StoreRow) -> model.Upstream | None:
        found = self.dialect.decode_upstream(
            row.key, row.value, self.settings.regions
        )
        if isinstance(found, result.Err):
            logs.warning('entry_unreadable', why=str(found.err_value))
            return None
        return found.ok_value

    def _replace_upstreams(self) -> None:
        services = {}
        if self.forwarder.state is not None:
            services = self.forwarder.state.services
        self.plain_pool.upstreams = dict(self.directory.upstreams)
        self.desk.replace(
            dict(self.directory.upstreams),
            services,
            self.directory.warm_until_ms,
        )

    def _leaving(self, upstream: str) -> None:
        # In a later round, when no new work is placed there any more.
        self.loop.call_soon(
            functools.partial(self.desk.upstream_leaving, upstream)
        )

    def _step(self) -> None:
        before = len(self.directory.upstreams)
        self.directory.step(self.loop.now_ms())
        if len(self.directory.upstreams) != before:
            self._replace_upstreams()
        self.loop.call_later(STEP_MS, self._step)


class _OperatorsServer:
    """Answers the balancer's question and the metrics' reader."""

    def __init__(self, daemon: EntryDaemon) -> None:
        self.daemon = daemon
        self.loop = daemon.loop
        self.limits = caller_connection.DEFAULT_LIMITS
        self.draining = False

    def handle(self, exchange: caller_connection.Exchange) -> None:
        """Answer at once."""
        path = exchange.request.target.split(b'?')[0]
        if path == self.daemon.dialect.readiness_path:
            status = 200 if self.daemon.is_ready else 503
            exchange.respond(status, [], b'')
        elif path == b'/metrics':
            exchange.respond(200, [], prometheus_client.generate_latest())
        else:
            exchange.respond(404, [], b'')

    def forget(self, connection: caller_connection.CallerConnection) -> None:
        """Nothing is kept of a connection."""


def run(
    settings: typing.Annotated[
        str,
        typer.Option(
            envvar=SETTINGS_VARIABLE,
            help='Path of the JSON settings of this VM.',
        ),
    ],
    dialect: typing.Annotated[
        str, typer.Option(help='Adapter of the platform.')
    ] = 'users',
    check: typing.Annotated[
        bool, typer.Option(help='Check the settings and end.')
    ] = False,
) -> None:
    """Run the daemon of an entry VM on a platform."""
    try:
        loaded = entry_settings.load(settings)
    except exceptions.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
    if check:
        typer.echo('the settings can be used')
        return
    logs.configure(loaded.log_level, sys.stdout)
    registry.load_plugins('eelgrassknot.platform')
    daemon = EntryDaemon(loaded, dialects.DIALECTS.lookup(dialect))
    signal.signal(
        signal.SIGTERM, lambda *_: daemon.loop.call_soon(daemon.drain)
    )
    signal.signal(
        signal.SIGHUP,
        lambda *_: daemon.loop.call_soon(lambda: logs.event('reload')),
    )
    daemon.run()
    sys.stdout.flush()
    # Watches may wait in a call; nothing of theirs is left to be done.
    os._exit(0)


def main() -> None:
    """Entry point of ``python -m eelgrassknot.entry``."""
    typer.run(run)


if __name__ == '__main__':
    main()
