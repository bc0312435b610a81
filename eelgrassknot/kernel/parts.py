"""The parts of a daemon: how they register, start, drain and stop."""

import collections.abc
import dataclasses
import graphlib

from eelgrassknot import exceptions
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import registry
from eelgrassknot import logs

__all__ = ['Part', 'PartEntry', 'PARTS', 'part', 'start_order']


class Part:
    """One part of a daemon; each method may be left as it is."""

    def bind(self) -> None:
        """Learn of the other parts, before any of them is started.

        A part that is started may publish events at once, also to parts
        that start later; what a subscriber needs is set here.
        """

    def start(self) -> None:
        """Begin to work; the parts that this one needs have started."""

    def drain(self) -> None:
        """Take no new work; return when the work in hand is finished."""

    def stop(self) -> None:
        """End all threads and close all sockets."""

    def not_ready_reasons(self) -> list[str]:
        """Return why the daemon cannot serve because of this part."""
        return []

    def status(self) -> dict[str, object]:
        """Return this part's entries of the status document."""
        return {}


@dataclasses.dataclass(frozen=True)
class PartEntry:
    """A registered part.

    Attributes:
        name: Name of the part.
        create: Makes the part for a node.
        after: Names of the parts that are created and started before.
    """

    name: str
    create: collections.abc.Callable[[kernel_node.Node], Part]
    after: tuple[str, ...]


PARTS: registry.Registry[PartEntry] = registry.Registry('part')


def part(
    name: str, after: tuple[str, ...] = ()
) -> collections.abc.Callable[[type[Part]], type[Part]]:
    """Return a class decorator that registers a part of the daemon.

    Args:
        name: Name of the part.
        after: Names of the parts that it needs.
    """

    def enter(factory: type[Part]) -> type[Part]:
        PARTS.register(name)(PartEntry(name, factory, after))
        return factory

    return enter


def start_order(entries: dict[str, PartEntry]) -> list[PartEntry]:
    """Return the entries so that each comes after those it needs.

    Raises:
        PluginError: If the needs form a cycle or name no part.
    """
    graph = {}
    for entry in entries.values():
        missing = set(entry.after) - set(entries)
        if missing:
            raise exceptions.PluginError(
                f'part {entry.name} needs {sorted(missing)}',
                'register the missing parts',
            )
        graph[entry.name] = entry.after
    try:
        names = list(graphlib.TopologicalSorter(graph).static_order())
    except graphlib.CycleError as error:
        raise exceptions.PluginError(
            f'parts need each other: {error.args[1]}',
            'remove one of the needs',
        ) from error
    return [entries[name] for name in names]


class PartSet:
    """All parts of one node.

    Args:
        node: What the parts share.
        entries: The parts to create, by name.
    """

    def __init__(
        self, node: kernel_node.Node, entries: dict[str, PartEntry]
    ) -> None:
        self.parts: dict[str, Part] = {}
        for entry in start_order(entries):
            self.parts[entry.name] = entry.create(node)

    def start(self) -> None:
        """Bind all parts, then start each after those that it needs."""
        for member in self.parts.values():
            member.bind()
        for name, member in self.parts.items():
            member.start()
            logs.event('part_started', part=name)

    def drain(self) -> None:
        """Drain the parts, those that need others first."""
        for name, member in reversed(self.parts.items()):
            member.drain()
            logs.event('part_drained', part=name)

    def stop(self) -> None:
        """Stop the parts, those that need others first."""
        for member in reversed(self.parts.values()):
            member.stop()

    def not_ready_reasons(self) -> list[str]:
        """Return all reasons for which the node cannot serve."""
        reasons = []
        for member in self.parts.values():
            reasons += member.not_ready_reasons()
        return reasons

    def status(self) -> dict[str, object]:
        """Return the status entries of all parts in one document."""
        document: dict[str, object] = {}
        for member in self.parts.values():
            document.update(member.status())
        return document
