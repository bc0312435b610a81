"""Validation of the single values of a services text."""

import collections.abc
import dataclasses
import math
import re
import typing

from eelgrassknot.settings import faults

__all__ = [
    'Bound',
    'array_items',
    'get_field',
    'range_faults',
    'string_or_none',
]

MAX_INTEGER = 2**53
MAX_NAME_CHARACTERS = 200

_KEY_HASH = re.compile(r'[0-9a-f]{64}')
_METHOD = re.compile(r'[A-Z]+')
_NAME = re.compile(r'[^\x00-\x20/\x7f]+')


@dataclasses.dataclass(frozen=True)
class Bound:
    """Lower bound of a number."""

    minimum: float
    inclusive: bool = False


_POSITIVE = Bound(0.0)
_NOT_NEGATIVE = Bound(0.0, inclusive=True)

_TOP_LEVEL_BOUNDS = {
    'region_link': {
        'bits_per_second': _POSITIVE,
        'price_per_gigabyte': _NOT_NEGATIVE,
    },
    'weight_store': {'loads_per_minute': _POSITIVE},
    'retention': {'claims_hours': _POSITIVE, 'report_days': _POSITIVE},
}
_SERVICE_BOUNDS = {'max_tokens': _POSITIVE, 'timeout_ms': _POSITIVE}
_OBJECTIVE_BOUNDS = {
    'stall': _NOT_NEGATIVE,
    'preemption': _NOT_NEGATIVE,
    'token_gap_tail': _NOT_NEGATIVE,
}
_ACCOUNT_BOUNDS = {
    'weight': _POSITIVE,
    'requests_per_second': _POSITIVE,
    'tokens_per_minute': _POSITIVE,
}

Faults = collections.abc.Iterator[faults.Fault]
Entries = collections.abc.Iterator[tuple[typing.Any, str]]


def get_field(value: typing.Any, name: str) -> typing.Any:
    """Return the value of a field, or None if it is absent."""
    if isinstance(value, dict):
        return value.get(name)
    return None


def array_items(value: typing.Any, name: str, path: str) -> Entries:
    """Yield the items of an array field with their JSON paths."""
    items = get_field(value, name)
    if isinstance(items, list):
        location = faults.field_path(path, name)
        for index, item in enumerate(items):
            yield item, faults.item_path(location, index)


def string_or_none(value: typing.Any) -> str | None:
    """Return the value if it is a string, otherwise None."""
    return value if isinstance(value, str) else None


def range_faults(document: typing.Any) -> Faults:
    """Yield the faults of single values in a parsed services text.

    Args:
        document: The parsed text, of any structure.
    """
    if get_field(document, 'deployment') == '':
        location = faults.field_path(faults.ROOT, 'deployment')
        yield faults.Fault(location, 'the name is empty', 'write a name')
    for name, bounds in _TOP_LEVEL_BOUNDS.items():
        location = faults.field_path(faults.ROOT, name)
        yield from _number_faults(get_field(document, name), bounds, location)
    yield from _region_faults(document)
    for service, path in array_items(document, 'services', faults.ROOT):
        yield from _service_faults(service, path)
    for account, path in array_items(document, 'client_accounts', faults.ROOT):
        yield from _account_faults(account, path)


def _region_faults(document: typing.Any) -> Faults:
    if get_field(document, 'regions') == []:
        location = faults.field_path(faults.ROOT, 'regions')
        yield faults.Fault(
            location, 'there is no region', 'list at least one region'
        )
    for region, path in array_items(document, 'regions', faults.ROOT):
        yield from _name_faults(region, 'region', path)
        if get_field(region, 'availability_zones') == []:
            yield faults.Fault(
                faults.field_path(path, 'availability_zones'),
                'the region has no availability zone',
                'list at least one availability zone',
            )
        for zone, location in array_items(region, 'availability_zones', path):
            yield from _name_value_faults(zone, location)


def _service_faults(service: typing.Any, path: str) -> Faults:
    yield from _name_faults(service, 'service', path)
    yield from _number_faults(service, _SERVICE_BOUNDS, path)
    yield from _objective_faults(service, path)
    yield from _kind_faults(service, path)
    for call, location in array_items(service, 'calls', path):
        yield from _call_faults(call, location)


def _objective_faults(service: typing.Any, path: str) -> Faults:
    objective = get_field(service, 'objective')
    location = faults.field_path(path, 'objective')
    yield from _number_faults(objective, _OBJECTIVE_BOUNDS, location)
    weights = [get_field(objective, name) for name in _OBJECTIVE_BOUNDS]
    if all(weight == 0 for weight in weights):
        yield faults.Fault(
            location,
            'all weights are zero',
            'give at least one of them a weight above zero',
        )


def _kind_faults(service: typing.Any, path: str) -> Faults:
    kind = get_field(service, 'kind')
    if kind == 'engine' and get_field(service, 'model') is None:
        yield faults.Fault(
            faults.field_path(path, 'model'),
            'a service of kind "engine" has no model',
            'name the model that its engines serve',
        )
    if kind == 'engine' and get_field(service, 'calls'):
        yield faults.Fault(
            faults.field_path(path, 'calls'),
            'a service of kind "engine" lists calls',
            'remove the calls, or make the kind "plain"',
        )
    if kind == 'plain' and get_field(service, 'model') is not None:
        yield faults.Fault(
            faults.field_path(path, 'model'),
            'a service of kind "plain" has a model',
            'remove the model, or make the kind "engine"',
        )


def _call_faults(call: typing.Any, path: str) -> Faults:
    method = string_or_none(get_field(call, 'method'))
    if method is not None and not _METHOD.fullmatch(method):
        yield faults.Fault(
            faults.field_path(path, 'method'),
            f'{faults.quote(method)} is not an HTTP method',
            'write a method in capital letters, such as "POST"',
        )
    prefix = string_or_none(get_field(call, 'path'))
    if prefix is not None and not prefix.startswith('/'):
        yield faults.Fault(
            faults.field_path(path, 'path'),
            'the path does not begin with "/"',
            'write the path below the service, such as "/bookings"',
        )


def _account_faults(account: typing.Any, path: str) -> Faults:
    yield from _name_faults(account, 'client_account', path)
    yield from _number_faults(account, _ACCOUNT_BOUNDS, path)
    key_hash = string_or_none(get_field(account, 'key_sha256'))
    if key_hash is not None and not _KEY_HASH.fullmatch(key_hash):
        yield faults.Fault(
            faults.field_path(path, 'key_sha256'),
            'this is not 64 lower-case hexadecimal digits',
            'write the SHA-256 of the key, never the key itself',
        )


def _name_faults(value: typing.Any, name: str, path: str) -> Faults:
    yield from _name_value_faults(
        get_field(value, name), faults.field_path(path, name)
    )


def _name_value_faults(value: typing.Any, path: str) -> Faults:
    name = string_or_none(value)
    if name is None:
        return
    if not _NAME.fullmatch(name) or len(name) > MAX_NAME_CHARACTERS:
        yield faults.Fault(
            path,
            f'{faults.quote(name)} is not a valid name',
            f'use 1 to {MAX_NAME_CHARACTERS} characters'
            ' without spaces and "/"',
        )


def _number_faults(
    value: typing.Any, bounds: dict[str, Bound], path: str
) -> Faults:
    for name, bound in bounds.items():
        number = get_field(value, name)
        if isinstance(number, bool) or not isinstance(number, int | float):
            continue
        location = faults.field_path(path, name)
        if number < bound.minimum or (
            number == bound.minimum and not bound.inclusive
        ):
            minimum = f'{bound.minimum:g}'
            expected = (
                f'{minimum} or more' if bound.inclusive else f'above {minimum}'
            )
            yield faults.Fault(
                location,
                'the number is too small',
                f'write a number {expected}',
            )
        elif MAX_INTEGER < number < math.inf:
            yield faults.Fault(
                location,
                'the number is too large',
                f'write a number below {MAX_INTEGER}',
            )
