"""Settings of one VM: what a process needs before it reaches anything."""

import pathlib

import msgspec

from eelgrassknot import exceptions
from eelgrassknot import ids

__all__ = [
    'Key',
    'Listen',
    'PlatformSettings',
    'SecretFile',
    'VmSettings',
    'load',
    'read_file',
    'split_address',
]

MIN_SECRET_BYTES = 32
DEFAULT_REPORT_INTERVAL_MS = 60_000


class SecretFile(msgspec.Struct, frozen=True):
    """A secret that stands in a file of its own."""

    file: str


class Key(msgspec.Struct, frozen=True):
    """A secret with the name under which it is rotated."""

    id: str
    secret: str | SecretFile

    def secret_bytes(self) -> bytes:
        """Return the secret.

        Raises:
            SettingsError: If its file cannot be read or it is too short.
        """
        text = self.secret
        if isinstance(text, SecretFile):
            text = _read(text.file).strip()
        if len(text.encode()) < MIN_SECRET_BYTES:
            raise exceptions.SettingsError(
                f'secret of key {self.id} is too short',
                f'use at least {MIN_SECRET_BYTES} bytes',
            )
        return text.encode()

    def __repr__(self) -> str:
        return f'Key(id={self.id!r}, secret=<hidden>)'


class Listen(msgspec.Struct, frozen=True):
    """Addresses, as ``IP:port``, on which the daemon listens."""

    callers: str
    operators: str
    peers: str


class PlatformSettings(msgspec.Struct, frozen=True):
    """Which plug-in reaches the platform, and where it is."""

    url: str
    plugin: str = 'http'


class VmSettings(msgspec.Struct, frozen=True):
    """Settings of one VM.

    Attributes:
        report_interval_ms: How often the VM writes its part of the
            report.
    """

    vm: ids.VmId
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId
    listen: Listen
    platform: PlatformSettings
    cursor_keys: tuple[Key, ...]
    peer_keys: tuple[Key, ...]
    known_peers: tuple[str, ...] = ()
    log_level: str = 'info'
    report_interval_ms: int = DEFAULT_REPORT_INTERVAL_MS


def load(path: str) -> VmSettings:
    """Read and check the settings of a VM.

    Args:
        path: Path of the JSON file.

    Raises:
        SettingsError: If the file cannot be read or used.
    """
    try:
        return msgspec.json.decode(_read(path), type=VmSettings)
    except msgspec.MsgspecError as error:
        raise exceptions.SettingsError(
            f'{path}: {error}', 'correct the named field'
        ) from error


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an ``IP:port`` address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def read_file(path: str) -> str:
    """Return the text of a file.

    Raises:
        OSError: If it cannot be read.
        ValueError: If it is not UTF-8, or the path cannot be one.
    """
    return pathlib.Path(path).read_text(encoding='utf-8')


def _read(path: str) -> str:
    try:
        return read_file(path)
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(
            f'cannot read {path}: {error}',
            'name a readable file in UTF-8',
        ) from error
