"""Reloads the settings on request or when their file has changed."""

import pathlib
import typing

from eelgrassknot import exceptions
from eelgrassknot.forwarding import loop as loops
from eelgrassknot import logs
from eelgrassknot.settings import entry as entry_settings

__all__ = ['Reloader']

CHECK_INTERVAL_MS = 2_000.0
"""Interval at which the file is checked; ms. No signal is needed."""


class Daemon(typing.Protocol):
    """Interface of the daemon for a reload."""

    loop: loops.EventLoop

    def settings_changed(self, settings: entry_settings.EntrySettings) -> None:
        """Apply changed settings."""


class Reloader:
    """Keeps the settings of a daemon up to date.

    An invalid file changes nothing and is logged. Fields that take effect
    only at the start of the daemon keep their values, which is also logged.

    Args:
        path: Path of the settings file.
        settings: Current settings.
        daemon: The daemon.
    """

    def __init__(
        self,
        path: str,
        settings: entry_settings.EntrySettings,
        daemon: Daemon,
    ) -> None:
        self.path = path
        self.settings = settings
        self.daemon = daemon
        self.last_signature = self._file_signature()

    def start(self) -> None:
        """Start checking the file."""
        self.daemon.loop.call_later(CHECK_INTERVAL_MS, self._reload_if_changed)

    def reload(self) -> None:
        """Read the file and apply its changes."""
        self.last_signature = self._file_signature()
        try:
            loaded = entry_settings.load(self.path)
        except exceptions.SettingsError as error:
            logs.error('reload_failed', why=str(error))
            return
        fixed = [
            name
            for name in ('vm', 'availability_zone', 'region', 'listen')
            if getattr(loaded, name) != getattr(self.settings, name)
        ]
        changed = loaded != self.settings
        logs.event(
            'reloaded', changed=changed, kept_until_start=','.join(fixed)
        )
        self.settings = loaded
        if changed:
            self.daemon.settings_changed(loaded)

    def _reload_if_changed(self) -> None:
        self.daemon.loop.call_later(CHECK_INTERVAL_MS, self._reload_if_changed)
        if self._file_signature() != self.last_signature:
            self.reload()

    def _file_signature(self) -> tuple[float, int] | None:
        """Return mtime and size of the file, or None if it is missing."""
        try:
            found = pathlib.Path(self.path).stat()
        except OSError:
            return None
        return found.st_mtime, found.st_size
