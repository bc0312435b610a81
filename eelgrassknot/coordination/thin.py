"""Polls the services text and the VM list from the platform."""

import threading

import result

from eelgrassknot import ids
from eelgrassknot.kernel import events
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot import logs
from eelgrassknot.platforms import base
from eelgrassknot.settings import text as services_text
from eelgrassknot import states

__all__ = ['ConfigPart', 'MembershipPart']

POLL_MS = 1_000


class _PollingPart(parts.Part):
    """A part that asks the platform again and again."""

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to poll."""
        self.thread.start()

    def stop(self) -> None:
        """End the thread."""
        self.stopped.set()
        self.thread.join()

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.poll()
            self.stopped.wait(POLL_MS / 1000)

    def poll(self) -> None:
        """Ask the platform once."""


@parts.part('config')
class ConfigPart(_PollingPart):
    """Adopts each newer services text that the table holds."""

    def poll(self) -> None:
        """Read the text and adopt it if it is newer."""
        match self.node.platform.table.read_row('config', 'current'):
            case result.Ok(base.Row(value=value)):
                self._adopt(value['version'], value['document'])

    def _adopt(self, version: int, document: str) -> None:
        if version <= self.node.text_version:
            return
        text = services_text.decode(document)
        self.node.text = text
        self.node.text_version = ids.ConfigVersion(version)
        self.node.hub.publish(
            events.ConfigAdopted(self.node.text_version, text)
        )
        logs.event('config_adopted', version=version)

    def not_ready_reasons(self) -> list[str]:
        """Say so if no text has been adopted yet."""
        if self.node.text is None:
            return ['no services text has been read from the platform']
        return []


@parts.part('membership')
class MembershipPart(_PollingPart):
    """Publishes the upstreams of the platform's list."""

    def __init__(self, node: kernel_node.Node) -> None:
        super().__init__(node)
        self.upstreams: tuple[events.UpstreamInfo, ...] = ()

    def poll(self) -> None:
        """Read the list and publish it if it has changed."""
        match self.node.platform.vms.list_vms():
            case result.Ok(entries):
                upstreams = tuple(
                    _upstream(entry)
                    for entry in entries
                    if entry.kind is not states.VmKind.ENTRY
                )
                if upstreams != self.upstreams:
                    self.upstreams = upstreams
                    self.node.hub.publish(events.UpstreamsChanged(upstreams))

    def status(self) -> dict[str, object]:
        """Return the upstreams that are known."""
        names = [
            {'upstream': u.upstream, 'state': u.state.value}
            for u in self.upstreams
        ]
        return {'upstreams': names}


def _upstream(entry: base.VmEntry) -> events.UpstreamInfo:
    return events.UpstreamInfo(
        upstream=ids.UpstreamId(entry.vm),
        service=entry.service or ids.ServiceName(''),
        kind=states.ServiceKind(entry.kind.value),
        address=f'{entry.address}:{entry.port}',
        availability_zone=entry.availability_zone,
        region=entry.region,
        state=entry.state,
    )
