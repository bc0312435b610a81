"""State shared by the parts of a daemon."""

import concurrent.futures
import dataclasses
import random
import typing

from eelgrassknot import clock as clocks
from eelgrassknot import ids
from eelgrassknot.kernel import hub as hubs
from eelgrassknot.settings import text as services_text
from eelgrassknot.settings import vm as vm_settings
from eelgrassknot import states

if typing.TYPE_CHECKING:
    from eelgrassknot.kernel import parts
    from eelgrassknot.storage import base as storage_base

__all__ = ['Node']


@dataclasses.dataclass
class Node:
    """State shared by the parts of one daemon.

    Attributes:
        incarnation: Unique identifier of this run of the process.
        executor: Executor for short blocking operations of the parts.
        text: Services text in effect, or None before the first.
        text_version: Version of that text, 0 before the first.
        part_set: The parts, or None until they are created.
    """

    settings: vm_settings.VmSettings
    incarnation: ids.IncarnationId
    clock: clocks.Clock
    generator: random.Random
    hub: hubs.Hub
    executor: concurrent.futures.Executor
    platform: 'storage_base.Platform'
    state: states.DaemonState = states.DaemonState.STARTING
    text: services_text.ServicesText | None = None
    text_version: ids.ConfigVersion = ids.ConfigVersion(0)
    part_set: 'parts.PartSet | None' = None
