"""The daemon process that runs on every entry VM."""

import concurrent.futures
import faulthandler
import os
import random
import signal
import sys
import threading
import typing

import typer

from eelgrassknot import clock as clocks
from eelgrassknot import exceptions
from eelgrassknot import ids
from eelgrassknot.kernel import events
from eelgrassknot.kernel import hub as hubs
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot.kernel import registry
from eelgrassknot import logs
from eelgrassknot.settings import check as settings_check
from eelgrassknot.settings import vm as vm_settings
from eelgrassknot import states
from eelgrassknot.storage import base as storage_base

__all__ = ['create_node', 'main', 'serve']

EXECUTOR_THREADS = 16
BALANCER_DETECTION_MS = 2_000

_PLUGIN_PACKAGES = (
    'eelgrassknot.storage',
    'eelgrassknot.upstreams',
    'eelgrassknot.coordination',
    'eelgrassknot.frontend',
    'eelgrassknot.reporting',
)


def create_node(settings: vm_settings.VmSettings) -> kernel_node.Node:
    """Return an unstarted node with all registered parts.

    Args:
        settings: Settings of this VM.

    Raises:
        PluginError: If the platform plug-in is unknown.
    """
    for package in _PLUGIN_PACKAGES:
        registry.load_plugins(package)
    create_platform = storage_base.PLATFORMS.lookup(settings.platform.plugin)
    node = kernel_node.Node(
        settings=settings,
        incarnation=ids.IncarnationId(ids.random_id()),
        clock=clocks.MonotonicClock(),
        generator=random.Random(ids.random_id()),
        hub=hubs.Hub(),
        executor=concurrent.futures.ThreadPoolExecutor(EXECUTOR_THREADS),
        platform=create_platform(settings.platform.url),
    )
    node.part_set = parts.PartSet(node, parts.PARTS.plugins)
    return node


def serve(node: kernel_node.Node, leave: threading.Event) -> None:
    """Run a node until it is told to leave and has drained.

    Args:
        node: The node to run.
        leave: Event that is set when the node must leave.

    Raises:
        StartError: If a part of the node cannot start.
    """
    node.hub.subscribe(events.VmLeaving, lambda _: leave.set())
    node.part_set.start()
    node.state = states.DaemonState.READY
    logs.event('ready', vm=node.settings.vm, incarnation=node.incarnation)
    leave.wait()
    node.state = states.DaemonState.DRAINING
    logs.event('draining', vm=node.settings.vm)
    # The balancer keeps sending requests until it detects that this VM is
    # not ready.
    threading.Event().wait(BALANCER_DETECTION_MS / 1000)
    node.part_set.drain()
    node.part_set.stop()
    node.executor.shutdown()
    logs.event('stopped', vm=node.settings.vm)


def run(
    settings: typing.Annotated[
        str, typer.Option(help='Path of the JSON settings of this VM.')
    ],
    check: typing.Annotated[
        bool, typer.Option(help='Check the settings and exit.')
    ] = False,
) -> None:
    """Run the daemon of an entry VM."""
    try:
        if check:
            _check_settings(settings)
            return
        loaded = vm_settings.load(settings)
        for key in (*loaded.cursor_keys, *loaded.peer_keys):
            key.secret_bytes()
    except exceptions.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
    logs.configure(loaded.log_level)
    leave = threading.Event()
    # SIGUSR1 dumps the stacks of all threads, to diagnose a hung daemon.
    faulthandler.register(signal.SIGUSR1, all_threads=True)
    signal.signal(signal.SIGTERM, lambda *_: leave.set())
    signal.signal(signal.SIGINT, lambda *_: leave.set())
    try:
        serve(create_node(loaded), leave)
    except exceptions.StartError as error:
        logs.error('start_failed', part=error.part, why=str(error))
        # Threads of parts that have started would keep a useless process
        # alive. Exit at once, because the platform replaces the VM when its
        # process ends.
        os._exit(1)


def _check_settings(path: str) -> None:
    """Print all faults of the settings and exit with 1 if there are any."""
    found = settings_check.check_vm(vm_settings.read_document(path))
    for fault in found:
        typer.echo(str(fault), err=True)
    if found:
        raise typer.Exit(1)
    typer.echo('the settings are valid')


def main() -> None:
    """Entry point of ``eelgrassknotd``."""
    typer.run(run)


if __name__ == '__main__':
    sys.exit(main())
