"""Validation of the values in the settings of a VM."""

import collections.abc
import ipaddress
import typing
import urllib.parse

from eelgrassknot import exceptions
from eelgrassknot.kernel import registry
from eelgrassknot.settings import faults
from eelgrassknot.settings import ranges
from eelgrassknot.settings import vm as vm_settings
from eelgrassknot.storage import base as storage_base

__all__ = ['vm_faults']

MAX_PORT = 65_535
MIN_REPORT_INTERVAL_MS = 100
LOG_LEVELS = ('debug', 'info', 'warning', 'error')

Faults = collections.abc.Iterator[faults.Fault]


def vm_faults(document: typing.Any) -> Faults:
    """Yield invalid addresses, keys and options in VM settings.

    Args:
        document: The parsed settings, of any structure.
    """
    for name in ('vm', 'availability_zone', 'region'):
        if ranges.get_field(document, name) == '':
            location = faults.field_path(faults.ROOT, name)
            yield faults.Fault(location, 'the name is empty', 'write a name')
    yield from _listen_faults(document)
    yield from _platform_faults(document)
    for peer, path in ranges.array_items(document, 'known_peers', faults.ROOT):
        yield from _address_faults(peer, path)
    for name in ('cursor_keys', 'peer_keys'):
        yield from _keys_faults(document, name)
    interval = ranges.get_field(document, 'report_interval_ms')
    if isinstance(interval, int) and interval < MIN_REPORT_INTERVAL_MS:
        yield faults.Fault(
            faults.field_path(faults.ROOT, 'report_interval_ms'),
            'the interval is too short',
            f'write {MIN_REPORT_INTERVAL_MS} or more',
        )
    level = ranges.string_or_none(ranges.get_field(document, 'log_level'))
    if level is not None and level not in LOG_LEVELS:
        yield faults.Fault(
            faults.field_path(faults.ROOT, 'log_level'),
            'this log level is unknown',
            f'use one of {", ".join(LOG_LEVELS)}',
        )


def _listen_faults(document: typing.Any) -> Faults:
    listen = ranges.get_field(document, 'listen')
    path = faults.field_path(faults.ROOT, 'listen')
    first_paths: dict[str, str] = {}
    for name in ('callers', 'operators', 'peers'):
        address = ranges.string_or_none(ranges.get_field(listen, name))
        location = faults.field_path(path, name)
        yield from _address_faults(address, location)
        # With port 0 the operating system chooses a free port, so equal
        # addresses do not conflict.
        if address in first_paths and not address.endswith(':0'):
            yield faults.Fault(
                location,
                f'{first_paths[address]} has the same address',
                'give each listener a separate address',
            )
        if address is not None:
            first_paths.setdefault(address, location)


def _platform_faults(document: typing.Any) -> Faults:
    platform = ranges.get_field(document, 'platform')
    path = faults.field_path(faults.ROOT, 'platform')
    plugin = ranges.string_or_none(ranges.get_field(platform, 'plugin'))
    registry.load_plugins('eelgrassknot.storage')
    known = storage_base.PLATFORMS.plugins
    if plugin is not None and plugin not in known:
        yield faults.Fault(
            faults.field_path(path, 'plugin'),
            f'no platform plug-in is called {faults.quote(plugin)}',
            f'use one of {", ".join(sorted(known))}',
        )
    url = ranges.string_or_none(ranges.get_field(platform, 'url'))
    if url is not None and not _is_http_url(url):
        yield faults.Fault(
            faults.field_path(path, 'url'),
            'this is not an HTTP URL',
            'write it as "http://IP:port"',
        )


def _is_http_url(url: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(url)
        return parts.scheme in ('http', 'https') and bool(parts.hostname)
    except ValueError:
        return False


def _address_faults(address: typing.Any, path: str) -> Faults:
    if isinstance(address, str) and not _is_address(address):
        yield faults.Fault(
            path,
            f'{faults.quote(address)} is not an address',
            'write it as "IP:port" with a numeric IP address',
        )


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    return is_number and int(port) <= MAX_PORT


def _keys_faults(document: typing.Any, name: str) -> Faults:
    path = faults.field_path(faults.ROOT, name)
    if ranges.get_field(document, name) == []:
        yield faults.Fault(path, 'there is no key', 'add a key')
    first_paths: dict[str, str] = {}
    for key, location in ranges.array_items(document, name, faults.ROOT):
        key_id = ranges.string_or_none(ranges.get_field(key, 'id'))
        if key_id in first_paths:
            yield faults.Fault(
                faults.field_path(location, 'id'),
                f'{first_paths[key_id]} has the same id',
                'give each key a unique id',
            )
        if key_id is not None:
            first_paths.setdefault(key_id, faults.field_path(location, 'id'))
        secret = ranges.get_field(key, 'secret')
        yield from _secret_faults(
            secret, faults.field_path(location, 'secret')
        )


def _secret_faults(secret: typing.Any, path: str) -> Faults:
    file_name = ranges.string_or_none(ranges.get_field(secret, 'file'))
    if isinstance(secret, str):
        yield from _secret_length_faults(secret, path)
    elif file_name is not None:
        location = faults.field_path(path, 'file')
        try:
            text = vm_settings.read_document(file_name)
        except exceptions.SettingsError as error:
            yield faults.Fault(
                location, error.message, 'name a file that contains the secret'
            )
        else:
            yield from _secret_length_faults(text.strip(), location)


def _secret_length_faults(secret: str, path: str) -> Faults:
    min_bytes = vm_settings.MIN_SECRET_BYTES
    if len(secret.encode()) < min_bytes:
        yield faults.Fault(
            path, 'the secret is too short', f'use at least {min_bytes} bytes'
        )
