"""Typed errors; the message of each names the remedy."""

__all__ = [
    'AuthenticationError',
    'ConfigConflictError',
    'EelgrassknotError',
    'InvalidRequestError',
    'MalformedAnswerError',
    'PlatformUnavailableError',
    'PluginError',
    'RowConflictError',
    'SettingsError',
    'UnknownOutcomeError',
    'UpstreamError',
]


class EelgrassknotError(Exception):
    """Base of all errors that this package raises or returns.

    Args:
        message: What went wrong.
        remedy: What the reader of the message can do about it.

    Attributes:
        code: Short name of the kind of error, for machines.
    """

    code = 'error'

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f'{message}; remedy: {remedy}')
        self.message = message
        self.remedy = remedy


class PluginError(EelgrassknotError):
    """A plug-in is missing, registered twice, or in a dependency cycle."""

    code = 'plugin'


class SettingsError(EelgrassknotError):
    """A settings file or a services text cannot be used."""

    code = 'settings'


class InvalidRequestError(EelgrassknotError):
    """A caller's request cannot be served as it stands."""

    code = 'invalid_request'


class AuthenticationError(EelgrassknotError):
    """A caller's key is missing or names no client account."""

    code = 'authentication'


class MalformedAnswerError(EelgrassknotError):
    """An answer lacks a field or has one of the wrong type."""

    code = 'malformed_answer'


class PlatformUnavailableError(EelgrassknotError):
    """The platform was not reached, so nothing took effect."""

    code = 'platform_unavailable'


class UnknownOutcomeError(EelgrassknotError):
    """No answer came; the operation may or may not have taken effect."""

    code = 'unknown_outcome'


class RowConflictError(EelgrassknotError):
    """A condition of a transaction did not hold; nothing was written.

    Attributes:
        table: Table of the row whose condition failed.
        key: Key of that row.
        version: Version that the row has, or None if it is absent.
    """

    code = 'row_conflict'

    def __init__(self, table: str, key: str, version: int | None) -> None:
        super().__init__(
            f'row {table}/{key} is at version {version}',
            'read the row again and decide anew',
        )
        self.table = table
        self.key = key
        self.version = version


class ConfigConflictError(EelgrassknotError):
    """Another operator's text was accepted first."""

    code = 'config_conflict'


class UpstreamError(EelgrassknotError):
    """An upstream could not be used.

    Attributes:
        bytes_left: Whether any byte of the request may have left.
    """

    code = 'upstream'

    def __init__(self, message: str, remedy: str, bytes_left: bool) -> None:
        super().__init__(message, remedy)
        self.bytes_left = bytes_left
