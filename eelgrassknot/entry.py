"""The daemon of an entry VM that forwards on a platform."""

import functools
import os
import random
import signal
import socket
import sys
import typing

import prometheus_client
import typer

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot import exceptions
from eelgrassknot.forwarding import caller_connection
from eelgrassknot.forwarding import connection as connections
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import engine_scheduler
from eelgrassknot.forwarding import forwarder as forwarders
from eelgrassknot.forwarding import load_publisher
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import peer_load
from eelgrassknot.forwarding import replicated_state
from eelgrassknot.forwarding import settings_reload
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot.forwarding import upstream_directory
from eelgrassknot.forwarding import work as works
from eelgrassknot.forwarding import zone_digests
from eelgrassknot import ids
from eelgrassknot.kernel import registry
from eelgrassknot import logs
from eelgrassknot.policy import health
from eelgrassknot.policy import plain
from eelgrassknot.settings import entry as entry_settings

__all__ = ['EntryDaemon', 'main']

SETTINGS_VARIABLE = 'EELGRASSKNOT_BOOT'
LOG_LINES_PER_S = 400
"""Log lines a second beyond which ordinary ones are left out. A VM that
serves ten times today's requests writes half of them."""
ASSUMED_VMS = 6
"""Entry VMs among which the retry budget is split while fewer are known."""
DRAIN_ACCEPT_MS = 3_000.0
"""How long after SIGTERM idle connections stay open; ms. The balancer
sends none after two of its questions, one a second."""
DRAIN_STEP_MS = 100.0
GRACE_RESERVE_MS = 400.0
"""Time before the end of the grace in which this process ends; ms."""


class EntryDaemon(replicated_state.Listener):
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
        self.loop = loops.EventLoop(clocks.BootClock())
        book = health.HealthTracker()
        region = ids.RegionId(settings.region)
        self.desk = engine_scheduler.EngineDesk(self.loop, region, book)
        self.plain_pool = plain.PlainPool(region, self.generator, book)
        self.knowledge = replicated_state.Knowledge(
            settings, dialect, self.loop, self.generator, self
        )
        self.context = works.Context(
            loop=self.loop,
            links=upstream_connection.UpstreamLinks(self.loop),
            dialect=dialect,
            generator=self.generator,
            book=book,
            plain_pool=self.plain_pool,
            desk=self.desk,
            retry_ratio=settings.rules.retry_ratio,
            retry_burst=self._retry_burst,
        )
        self.forwarder = forwarders.Forwarder(
            self.context, self.knowledge.access_book, self.generator
        )
        self.tally = peer_load.PeerTally(self.desk, self.plain_pool, self.loop)
        self.news = load_publisher.PeerNews(
            self.knowledge, self.tally, self.loop
        )
        self.zone_digests = zone_digests.ZoneDigests(
            self.knowledge, self.tally, self.loop
        )
        self.was_ready = False
        self.drain_until_ms: float | None = None
        self.listeners: list[connections.Listener] = []

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return (
            self.forwarder.state is not None
            and self.knowledge.is_complete
            and not self.forwarder.draining
            and self.knowledge.access_book.is_current(self.loop.now_ms())
        )

    def tell_ready(self) -> bool:
        """Return whether this VM is ready, and log it when that changes."""
        ready = self.is_ready
        if ready != self.was_ready:
            self.was_ready = ready
            book = self.knowledge.access_book
            logs.event(
                'ready' if ready else 'not_ready',
                state_version=(
                    self.forwarder.state.version
                    if self.forwarder.state
                    else None
                ),
                upstreams=len(self.knowledge.directory.upstreams),
                known_age_ms=book.age_ms(self.loop.now_ms()),
                draining=self.forwarder.draining,
            )
        return ready

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
        self.knowledge.start()
        self.news.start()
        self.zone_digests.start()
        logs.event('started', vm=self.settings.vm)
        self.loop.run()
        logs.event('stopped', vm=self.settings.vm)

    def _retry_burst(self) -> float:
        """Return this VM's share of the repeats that all may save.

        VMs that were heard of once count for good: one that is cut off
        may still be serving.
        """
        vms = max(ASSUMED_VMS, len(self.knowledge.board.roster.heard_ms) + 1)
        return self.settings.rules.retry_burst / vms

    def drain(self) -> None:
        """Finish what is in hand, then end."""
        if self.forwarder.draining:
            return
        now_ms = self.loop.now_ms()
        logs.event('draining', in_hand=self.forwarder.in_hand)
        self.forwarder.draining = True
        self.news.leaving = True
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
            self.forwarder.break_off('grace_over')
            self.loop.stop()
            return
        self.loop.call_later(DRAIN_STEP_MS, self._drain_step)

    def _accept_caller(self, stream: socket.socket) -> None:
        connection = caller_connection.CallerConnection(self.forwarder, stream)
        self.forwarder.connections.add(connection)

    def state_changed(self, state: model.DeploymentState) -> None:
        """Put a state in force."""
        self.forwarder.adopt(state)

    def upstreams_changed(
        self, directory: upstream_directory.UpstreamDirectory
    ) -> None:
        """Put the upstreams that are listed now in use."""
        services = {}
        if self.forwarder.state is not None:
            services = self.forwarder.state.services
        self.plain_pool.upstreams = dict(directory.upstreams)
        self.desk.replace(
            dict(directory.upstreams), services, directory.warm_until_ms
        )

    def upstream_leaving(self, upstream: str) -> None:
        """Have streams go on elsewhere."""
        self.desk.upstream_leaving(upstream)

    def peer_told(self, vm: ids.VmId, news: messages.EntryNews) -> None:
        """Count what a peer has at each upstream."""
        self.zone_digests.heard_directly(news.availability_zone)
        self.tally.take(('vm', vm), news)

    def zone_told(self, vm: ids.VmId, news: messages.ZoneNews) -> None:
        """Count what another zone has at each upstream."""
        self.zone_digests.take(vm, news)

    def settings_changed(self, settings: entry_settings.EntrySettings) -> None:
        """Put the rules of changed settings in force."""
        self.settings = settings
        self.knowledge.access_book.revoke_ms = settings.rules.revoke_ms
        logs.set_level(settings.log_level)


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
            status = 200 if self.daemon.tell_ready() else 503
            exchange.respond(status, [], b'')
        elif path == b'/metrics':
            daemon = self.daemon
            metrics.IN_HAND.set(daemon.forwarder.in_hand)
            metrics.WAITING.set(len(daemon.desk.queue.waiting))
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
    writer = logs.configure(loaded.log_level, sys.stdout, LOG_LINES_PER_S)
    registry.load_plugins('eelgrassknot.platform')
    daemon = EntryDaemon(loaded, dialects.DIALECTS.lookup(dialect))
    reloader = settings_reload.Reloader(settings, loaded, daemon)
    reloader.start()
    signal.signal(
        signal.SIGTERM, lambda *_: daemon.loop.call_soon(daemon.drain)
    )
    signal.signal(
        signal.SIGHUP,
        lambda *_: daemon.loop.call_soon(reloader.reload),
    )
    daemon.run()
    writer.close()
    # Watches may wait in a call; nothing of theirs is left to be done.
    os._exit(0)


def main() -> None:
    """Entry point of ``python -m eelgrassknot.entry``."""
    typer.run(run)


if __name__ == '__main__':
    main()
