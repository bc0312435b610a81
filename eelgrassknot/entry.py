"""Daemon of an entry VM that forwards requests on a platform.

Modules that only some runs need are imported by those runs: after a power
failure, all VMs start at once, and callers wait for them.
"""

import concurrent.futures
import functools
import math
import os
import random
import signal
import socket
import sys

from eelgrassknot import clock as clocks
from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot import exceptions
from eelgrassknot.forwarding import caller_connection
from eelgrassknot.forwarding import caller_memory
from eelgrassknot.forwarding import caller_reports
from eelgrassknot.forwarding import cold_upstreams
from eelgrassknot.forwarding import connection as connections
from eelgrassknot.forwarding import crash_check
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import engine_scheduler
from eelgrassknot.forwarding import forwarder as forwarders
from eelgrassknot.forwarding import instruments
from eelgrassknot.forwarding import limit_monitor
from eelgrassknot.forwarding import load_publisher
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import metrics
from eelgrassknot.forwarding import model
from eelgrassknot.forwarding import peer_load
from eelgrassknot.forwarding import replicated_state
from eelgrassknot.forwarding import request_homes
from eelgrassknot.forwarding import send_permits
from eelgrassknot.forwarding import settings_reload
from eelgrassknot.forwarding import upstream_connection
from eelgrassknot.forwarding import upstream_directory
from eelgrassknot.forwarding import upstream_statements
from eelgrassknot.forwarding import work as works
from eelgrassknot.forwarding import zone_digests
from eelgrassknot import ids
from eelgrassknot.kernel import registry
from eelgrassknot import logs
from eelgrassknot.policy import health
from eelgrassknot.policy import plain
from eelgrassknot.policy import upstream_limits
from eelgrassknot.policy import upstream_pauses
from eelgrassknot.settings import entry as entry_settings

__all__ = ['EntryDaemon', 'main']

SETTINGS_VARIABLE = 'EELGRASSKNOT_BOOT'
DEFAULT_DIALECT = 'users'
LOG_LINES_PER_S = 400
"""Rate of log lines per second above which ordinary lines are dropped. A VM
with ten times today's load writes half as many."""
ASSUMED_VMS = 6
"""Minimum number of entry VMs among which the retry budget is divided."""
DRAIN_ACCEPT_MS = 3_000.0
"""How long idle connections stay open after SIGTERM; ms. The load balancer
takes a VM out after two readiness probes, one per second, unless too few
VMs of its zone are ready."""
DRAIN_STEP_MS = 100.0
ANSWER_RESERVE_MS = 400.0
"""How long before the end of the grace period every request must have
ended; ms."""
FLEET_SAMPLE_SIZE = 2
"""Number of engines of a region that a stream considers if the VMs are not
all linked with each other."""
UNSENT_SHARE = 0.5
"""Share of what is held for callers that peers have yet to read."""
ADMIN_BYTES = 4_000_000
ADMIN_CONNECTIONS = 64
"""Bounds for readiness probes and scrapes, which are apart from callers."""
SWEEP_MS = 250.0
EXIT_RESERVE_MS = 100.0
"""How long before the end of the grace period the process exits; ms."""


class EntryDaemon(replicated_state.Listener):
    """The daemon of one entry VM.

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
        self.caller_memory = caller_reports.create_memory(settings, self.loop)
        self.loop.max_unsent_bytes = int(
            self.caller_memory.max_bytes * UNSENT_SHARE
        )
        upstream_health = health.HealthTracker()
        region = ids.RegionId(settings.region)
        self.replicated_state = replicated_state.ReplicatedState(
            settings, dialect, self.loop, self.generator, self
        )
        self.limits = limit_monitor.LimitMonitor(
            dialect, self.loop, self.replicated_state.store_clock
        )
        membership = self.replicated_state.peers.membership
        self.cold = cold_upstreams.ColdUpstreams(
            self.loop,
            self.replicated_state.store_clock,
            lambda: membership.known_zones,
            settings.rules.warm_up_excess,
            settings.rules.warm_up_slack,
        )
        self.permits = send_permits.SendPermits(
            ids.VmId(settings.vm),
            self.limits,
            self.replicated_state.peers,
            lambda: membership.known_count,
            self.loop,
            self.cold,
        )
        self.pauses = upstream_pauses.PauseTable(self.generator)
        self.scheduler = engine_scheduler.EngineScheduler(
            self.loop, region, upstream_health, self.permits, self.pauses
        )
        self.plain_pool = plain.PlainPool(
            region,
            self.generator,
            upstream_health,
            self.permits,
            self.pauses,
        )
        self.statements = upstream_statements.StatementReader(
            dialect,
            self.loop,
            self.limits,
            self.pauses,
            self.replicated_state.announce_leaving,
            self.cold,
        )
        self.context = works.Context(
            loop=self.loop,
            connections=upstream_connection.ConnectionPool(self.loop),
            dialect=dialect,
            generator=self.generator,
            health=upstream_health,
            plain_pool=self.plain_pool,
            scheduler=self.scheduler,
            crash_reports=self.replicated_state.crash_reports,
            crash_checks=crash_check.CrashChecks(self.loop),
            evacuations=self.replicated_state.evacuations,
            homes=request_homes.RequestHomes(),
            limits=self.limits,
            statements=self.statements,
            permits=self.permits,
            retry_ratio=settings.rules.retry_ratio,
            retry_burst=self._retry_burst,
        )
        self.replicated_state.crash_reports.on_change = (
            self.scheduler.end_blocked_streams
        )
        self.forwarder = forwarders.Forwarder(
            self.context,
            self.replicated_state.authenticator,
            self.generator,
            self.caller_memory,
            frozenset(settings.regions.values()),
        )
        self.peer_load = peer_load.PeerLoad(
            self.scheduler, self.plain_pool, self.loop
        )
        self.load_publisher = load_publisher.LoadPublisher(
            self.replicated_state, self.peer_load, self.limits, self.loop
        )
        self.zone_digests = zone_digests.ZoneDigests(
            self.replicated_state, self.peer_load, self.limits, self.loop
        )
        self.evacuated_zones: frozenset[ids.AvailabilityZoneId] = frozenset()
        self.was_ready = False
        self.exit_ms = math.inf
        self.listeners: list[connections.Listener] = []
        self.caller_listener: connections.Listener | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this VM."""
        return (
            self.forwarder.state is not None
            and self.replicated_state.is_complete
            and not self.forwarder.draining
            and self.replicated_state.authenticator.is_current(
                self.loop.now_ms()
            )
        )

    def check_ready(self) -> bool:
        """Return whether this VM is ready; log each change."""
        ready = self.is_ready
        if ready != self.was_ready:
            self.was_ready = ready
            authenticator = self.replicated_state.authenticator
            logs.event(
                'ready' if ready else 'not_ready',
                state_version=(
                    self.forwarder.state.version
                    if self.forwarder.state
                    else None
                ),
                upstreams=len(self.replicated_state.directory.upstreams),
                known_age_ms=authenticator.age_ms(self.loop.now_ms()),
                draining=self.forwarder.draining,
            )
        return ready

    def run(self) -> None:
        """Serve until the daemon is stopped and drained."""
        listen = self.settings.listen
        self.caller_listener = connections.Listener(
            self.loop, listen.callers, self._accept_caller
        )
        self.listeners = [
            self.caller_listener,
            connections.Listener(
                self.loop,
                listen.readiness,
                functools.partial(
                    caller_connection.CallerConnection,
                    _AdminServer(self),
                ),
            ),
            connections.Listener(
                self.loop,
                listen.metrics,
                functools.partial(
                    caller_connection.CallerConnection,
                    _AdminServer(self),
                ),
            ),
        ]
        self.replicated_state.start()
        self.load_publisher.start()
        self.zone_digests.start()
        self._sweep_callers()
        logs.event('started', vm=self.settings.vm)
        self.loop.run()
        logs.event('stopped', vm=self.settings.vm)

    def _retry_burst(self) -> float:
        """Return this VM's share of the retry budget of all VMs.

        Every VM ever listed counts permanently: a partitioned VM may still
        be serving.
        """
        vms = max(
            ASSUMED_VMS,
            len(self.replicated_state.peers.membership.last_contact_ms) + 1,
        )
        return self.settings.rules.retry_burst / vms

    def drain(self) -> None:
        """Finish the requests in progress, then stop."""
        if self.forwarder.draining:
            return
        now_ms = self.loop.now_ms()
        logs.event('draining', in_hand=self.forwarder.active_requests)
        self.load_publisher.leaving = True
        self.permits.is_leaving = True
        grace_ms = self.settings.rules.grace_s * clocks.MS_PER_SECOND
        self.forwarder.start_drain(now_ms + grace_ms - ANSWER_RESERVE_MS)
        self.exit_ms = now_ms + grace_ms - EXIT_RESERVE_MS
        self.loop.call_later(
            min(DRAIN_ACCEPT_MS, grace_ms / 2), self._drain_step
        )

    def _drain_step(self) -> None:
        self.forwarder.close_idle()
        in_hand = self.forwarder.active_requests
        if in_hand == 0:
            # What the kernel has accepted for this VM is still served.
            self.caller_listener.close()
        is_finished = in_hand + self.forwarder.expected_requests == 0
        if is_finished or self.loop.now_ms() >= self.exit_ms:
            logs.event('drained', in_hand=in_hand)
            self.forwarder.abort_active('grace_over')
            self.loop.stop()
            return
        next_ms = self.loop.now_ms() + DRAIN_STEP_MS
        self.loop.call_at(min(next_ms, self.exit_ms), self._drain_step)

    def _sweep_callers(self) -> None:
        self.caller_memory.sweep(self.loop.now_ms())
        self.loop.call_later(SWEEP_MS, self._sweep_callers)

    def _accept_caller(self, stream: socket.socket) -> None:
        if not self.caller_memory.make_room(self.loop.now_ms()):
            # All other connections carry requests that have been passed on.
            metrics.CALLERS_GIVEN_UP.inc('not_accepted')
            stream.close()
            return
        connection = caller_connection.CallerConnection(self.forwarder, stream)
        self.forwarder.connections.add(connection)

    def state_changed(self, state: model.DeploymentState) -> None:
        """Apply a new state."""
        self.forwarder.apply_state(state)

    def upstreams_changed(
        self, directory: upstream_directory.UpstreamDirectory
    ) -> None:
        """Use the upstreams that are currently listed."""
        services = {}
        if self.forwarder.state is not None:
            services = self.forwarder.state.services
        self.limits.upstreams_changed(directory.upstreams)
        self.statements.upstreams_changed(directory.upstreams)
        self.cold.upstreams_changed(
            directory.upstreams, services, directory.warm_until_ms
        )
        self.permits.retain_limited()
        self._note_restored_zones()
        evacuated = self.replicated_state.evacuations.covered(
            directory.upstreams.values()
        )
        self.plain_pool.upstreams = dict(directory.upstreams)
        self.plain_pool.evacuated = evacuated
        self.scheduler.update_engines(
            dict(directory.upstreams),
            services,
            directory.warm_until_ms,
            evacuated,
        )

    def _note_restored_zones(self) -> None:
        """Treat the upstreams of zones that are used again as cold."""
        zones = frozenset(self.replicated_state.evacuations.zones)
        for zone in self.evacuated_zones - zones:
            self.cold.zone_restored(zone)
        self.evacuated_zones = zones

    def evacuations_changed(self) -> None:
        """Drop the copies of runs that are in evacuated zones."""
        self.scheduler.zones_evacuated(
            frozenset(self.replicated_state.evacuations.zones)
        )

    def upstream_leaving(self, upstream: str) -> None:
        """Resume the streams of a leaving upstream at other engines."""
        left = self.replicated_state.directory.upstreams.get(upstream)
        if left is not None:
            self.context.connections.close_address(left.address)
        self.scheduler.upstream_leaving(upstream)

    def peer_load_received(
        self, vm: ids.VmId, message: messages.EntryNews
    ) -> None:
        """Record the load of a peer at each upstream."""
        self.zone_digests.record_direct_contact(message.availability_zone)
        membership = self.replicated_state.peers.membership
        self.scheduler.queue.sample_size = (
            None if membership.is_full_mesh else FLEET_SAMPLE_SIZE
        )
        self.peer_load.update(('vm', vm), message)
        self.permits.receive_news(vm, message)
        self.limits.receive(
            message.limits or (), upstream_limits.ReadingSource.PEER
        )

    def zone_load_received(
        self, vm: ids.VmId, message: messages.ZoneNews
    ) -> None:
        """Record the load of another zone at each upstream."""
        self.zone_digests.receive(vm, message)

    def permit_requested(
        self, vm: ids.VmId, message: messages.PermitRequest
    ) -> None:
        """Issue a permit to a peer, or deny it."""
        self.permits.receive_request(vm, message)

    def permit_replied(
        self, _vm: ids.VmId, message: messages.PermitReply
    ) -> None:
        """Use a permit that a peer has issued."""
        self.permits.receive_reply(message)

    def settings_changed(self, settings: entry_settings.EntrySettings) -> None:
        """Apply the rules of changed settings."""
        self.settings = settings
        self.replicated_state.authenticator.revoke_ms = (
            settings.rules.revoke_ms
        )
        self.cold.set_bound(
            settings.rules.warm_up_excess, settings.rules.warm_up_slack
        )
        logs.set_level(settings.log_level)


class _AdminServer:
    """Serves the readiness probe and the metrics."""

    def __init__(self, daemon: EntryDaemon) -> None:
        self.daemon = daemon
        self.loop = daemon.loop
        self.limits = caller_connection.DEFAULT_LIMITS
        self.memory = caller_memory.CallerMemory(
            ADMIN_BYTES, ADMIN_CONNECTIONS
        )
        self.draining = False
        self.executor = concurrent.futures.ThreadPoolExecutor(max_workers=1)

    def handle(self, exchange: caller_connection.Exchange) -> None:
        """Respond to a probe or a scrape."""
        path = exchange.request.target.split(b'?')[0]
        if path == self.daemon.dialect.readiness_path:
            status = 200 if self.daemon.check_ready() else 503
            exchange.respond(status, [], b'')
        elif path == b'/metrics':
            daemon = self.daemon
            metrics.REQUESTS_IN_PROGRESS.set(daemon.forwarder.active_requests)
            metrics.CALLER_BYTES.set(daemon.caller_memory.total)
            daemon.scheduler.speeds.update_metrics()
            daemon.scheduler.update_metrics()
            # The first scrape imports the Prometheus client, which takes
            # long on a small VM.
            self.executor.submit(instruments.expose).add_done_callback(
                lambda done: self.loop.call_soon(
                    functools.partial(self._send_metrics, exchange, done)
                )
            )
        else:
            exchange.respond(404, [], b'')

    def _send_metrics(
        self,
        exchange: caller_connection.Exchange,
        done: concurrent.futures.Future,
    ) -> None:
        if not exchange.is_over:
            exchange.respond(200, [], done.result())

    def connection_closed(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        """Do nothing; no state is kept per connection."""


def load_settings(path: str) -> entry_settings.EntrySettings:
    """Return the settings; exit with a message if they are invalid."""
    try:
        return entry_settings.load(path)
    except exceptions.SettingsError as error:
        sys.exit(str(error))


def run(path: str, dialect: str = DEFAULT_DIALECT) -> None:
    """Run the daemon until it is stopped, then exit.

    Args:
        path: Path of the settings.
        dialect: Adapter of the platform.
    """
    settings = load_settings(path)
    writer = logs.configure(settings.log_level, sys.stdout, LOG_LINES_PER_S)
    registry.load_plugins('eelgrassknot.platform')
    daemon = EntryDaemon(settings, dialects.DIALECTS.lookup(dialect))
    reloader = settings_reload.Reloader(path, settings, daemon)
    reloader.start()
    signal.signal(
        signal.SIGTERM, lambda *_: daemon.loop.call_soon(daemon.drain)
    )
    signal.signal(
        signal.SIGHUP,
        lambda *_: daemon.loop.call_soon(reloader.reload),
    )
    try:
        daemon.run()
    except exceptions.StartError as error:
        writer.close()
        sys.exit(str(error))
    writer.close()
    # Exits without waiting for the watch threads, which may be blocked in a
    # call and have no work left.
    os._exit(0)


def main() -> None:
    """Entry point of ``python -m eelgrassknot.entry``."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is not None and len(sys.argv) == 1:
        run(path)
        return
    from eelgrassknot.cli import entry_arguments

    entry_arguments.parse_and_run(run, load_settings)


if __name__ == '__main__':
    main()
