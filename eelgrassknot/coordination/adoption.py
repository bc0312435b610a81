"""State machine by which one VM adopts accepted services texts.

A VM learns version numbers from the store and from its peers, fetches the
text from either, and applies it unless a newer version is known. The
digest of each text is verified, whatever its source.
"""

import dataclasses
import random

from eelgrassknot.coordination import config
from eelgrassknot.coordination import rows
from eelgrassknot import exceptions
from eelgrassknot import ids
from eelgrassknot.settings import text as services_text

__all__ = [
    'Adopt',
    'ConfigAdoption',
    'FetchFailed',
    'FetchFromPeer',
    'FetchFromStore',
    'PeerLost',
    'PeerVersionReceived',
    'PollStore',
    'RecordReceived',
    'StampRead',
    'StoreFailed',
    'Tick',
]

POLL_MS = 3_000.0
FETCH_TIMEOUT_MS = 1_500.0


@dataclasses.dataclass(frozen=True)
class StampRead:
    """The store returned the current version; None if there is no text."""

    stamp: rows.ConfigStamp | None


@dataclasses.dataclass(frozen=True)
class StoreFailed:
    """The store did not answer."""


@dataclasses.dataclass(frozen=True)
class PeerVersionReceived:
    """A peer reported the version in force there; 0 means none."""

    vm: ids.VmId
    version: ids.ConfigVersion


@dataclasses.dataclass(frozen=True)
class PeerLost:
    """A peer has ended, so nothing can be fetched from it."""

    vm: ids.VmId


@dataclasses.dataclass(frozen=True)
class RecordReceived:
    """A text was received from the store or from a peer."""

    record: rows.ConfigRecord


@dataclasses.dataclass(frozen=True)
class FetchFailed:
    """A fetch returned no text; another source may be tried."""


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed."""


Event = (
    StampRead
    | StoreFailed
    | PeerVersionReceived
    | PeerLost
    | RecordReceived
    | FetchFailed
    | Tick
)


@dataclasses.dataclass(frozen=True)
class PollStore:
    """Read the current version number from the store."""


@dataclasses.dataclass(frozen=True)
class FetchFromStore:
    """Read the current text from the store."""


@dataclasses.dataclass(frozen=True)
class FetchFromPeer:
    """Request the text that a peer has in force."""

    vm: ids.VmId


@dataclasses.dataclass(frozen=True)
class Adopt:
    """Put a text in force on this VM."""

    record: rows.ConfigRecord
    text: services_text.ServicesText


Action = PollStore | FetchFromStore | FetchFromPeer | Adopt


class ConfigAdoption:
    """Decides which texts to fetch and apply.

    Args:
        generator: Source of randomness.
        poll_ms: Interval between polls of the store, in milliseconds.

    Attributes:
        newest_known: Highest known version; no older one is applied.
        adopted: Record of the text in force here, or None initially.
        caught_up: Whether the newest known text has ever been in force
            here; until then this VM must not serve.
        peer_versions: Version in force at each peer.
        corrupt_count: Number of texts whose digest did not match.
        unreadable_version: Version that this build cannot decode, or 0.

    Example:
        >>> adoption = ConfigAdoption(random.Random(1))
        >>> adoption.handle(Tick(), 0.0)
        [PollStore()]
        >>> adoption.handle(StampRead(rows.ConfigStamp(1, 'd')), 1.0)
        [FetchFromStore()]
    """

    def __init__(
        self, generator: random.Random, poll_ms: float = POLL_MS
    ) -> None:
        self.generator = generator
        self.poll_ms = poll_ms
        self.newest_known = ids.ConfigVersion(0)
        self.adopted: rows.ConfigRecord | None = None
        self.caught_up = False
        self.peer_versions: dict[ids.VmId, ids.ConfigVersion] = {}
        self.store_failed = False
        self.store_answered = False
        self.corrupt_count = 0
        self.unreadable_version = ids.ConfigVersion(0)
        self.next_poll_ms = float('-inf')
        self.fetch_deadline_ms: float | None = None
        self.prefer_store = True

    @property
    def version(self) -> ids.ConfigVersion:
        """Version in force here, or 0 if there is none."""
        if self.adopted is None:
            return ids.ConfigVersion(0)
        return self.adopted.version

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Process an event and return the actions to perform.

        Args:
            event: The event.
            now_ms: Current time of this VM's clock.
        """
        match event:
            case Tick():
                return self._poll(now_ms) + self._fetch(now_ms)
            case StampRead(stamp):
                self.store_answered = True
                self.store_failed = False
                if stamp is not None:
                    self._raise_newest_known(stamp.version)
            case StoreFailed():
                self.store_failed = True
                self.fetch_deadline_ms = None
            case PeerVersionReceived(vm, version):
                self.peer_versions[vm] = version
                self._raise_newest_known(version)
            case PeerLost(vm):
                self.peer_versions.pop(vm, None)
            case FetchFailed():
                self.fetch_deadline_ms = None
                return []
            case RecordReceived(record):
                return self._receive(record)
        return self._fetch(now_ms)

    def outdated_peers(self) -> dict[ids.VmId, ids.ConfigVersion]:
        """Return the versions of peers that lag the newest known one."""
        return {
            vm: version
            for vm, version in self.peer_versions.items()
            if version < self.newest_known
        }

    def not_ready_reason(self) -> str | None:
        """Return why this VM must not serve yet, or None if it may."""
        if self.caught_up:
            return None
        if self.unreadable_version:
            return (
                f'version {self.unreadable_version} of the services text'
                ' is unreadable'
            )
        if self.newest_known:
            return (
                f'version {self.newest_known} of the services text has not'
                ' been received yet'
            )
        if self.store_failed or not self.store_answered:
            return (
                'neither the store nor a peer has provided the services text'
            )
        return 'no services text has been accepted yet'

    def _raise_newest_known(self, version: ids.ConfigVersion) -> None:
        if version > self.newest_known:
            self.newest_known = version
            self.fetch_deadline_ms = None

    def _poll(self, now_ms: float) -> list[Action]:
        if now_ms < self.next_poll_ms:
            return []
        # Jitter spreads the polls of VMs that were started together.
        spread = self.generator.uniform(0.9, 1.1)
        self.next_poll_ms = now_ms + self.poll_ms * spread
        return [PollStore()]

    def _fetch(self, now_ms: float) -> list[Action]:
        if self.newest_known <= max(self.version, self.unreadable_version):
            return []
        deadline_ms = self.fetch_deadline_ms
        if deadline_ms is not None and now_ms < deadline_ms:
            return []
        self.fetch_deadline_ms = now_ms + FETCH_TIMEOUT_MS
        return [self._choose_source()]

    def _choose_source(self) -> Action:
        holders = sorted(
            vm
            for vm, version in self.peer_versions.items()
            if version >= self.newest_known
        )
        # Fetches from peers put no load on the store. Store and peers
        # alternate, so that a source that fails silently does not block
        # the adoption.
        self.prefer_store = not holders or not self.prefer_store
        if self.prefer_store and not (holders and self.store_failed):
            return FetchFromStore()
        return FetchFromPeer(self.generator.choice(holders))

    def _receive(self, record: rows.ConfigRecord) -> list[Action]:
        self.fetch_deadline_ms = None
        if config.document_digest(record.document) != record.digest:
            self.corrupt_count += 1
            return []
        self._raise_newest_known(record.version)
        if (
            record.version < self.newest_known
            or record.version <= self.version
        ):
            return []
        try:
            text = services_text.decode(record.document)
        except exceptions.SettingsError:
            self.unreadable_version = record.version
            return []
        self.adopted = record
        self.caught_up = True
        return [Adopt(record, text)]
