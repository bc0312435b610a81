"""Validation of a JSON document against the types of a Struct.

The decoder stops at the first error. This validation uses the same type
information but continues after each fault, so both always agree on the
fields.
"""

import collections.abc
import difflib
import json
import math
import sys
import typing

import msgspec
from msgspec import inspect as type_nodes

from eelgrassknot.settings import faults

__all__ = ['parse', 'structure_faults']

_JSON_NAMES = {
    dict: 'an object',
    list: 'an array',
    str: 'a string',
    bool: 'true or false',
    int: 'a number',
    float: 'a number',
    type(None): 'null',
}


class _Object(dict):
    """A JSON object that records its duplicate field names."""

    duplicate_names: tuple[str, ...] = ()


def parse(
    document: bytes | str,
) -> tuple[typing.Any, list[faults.Fault]]:
    """Parse a JSON document; errors are returned as faults.

    Args:
        document: The JSON document.

    Returns:
        The parsed value, or None if parsing failed, and the faults.
    """
    try:
        text = document if isinstance(document, str) else document.decode()
        value = json.loads(
            text,
            object_pairs_hook=_object_of_pairs,
            parse_constant=_reject_constant,
        )
        # A lone surrogate can be parsed but not encoded for storage.
        json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        fault = faults.Fault(
            faults.ROOT,
            f'the document is not valid JSON: {_parse_error_reason(error)}',
            'write one JSON object in UTF-8',
        )
        return None, [fault]
    return value, []


def structure_faults(
    value: typing.Any, kind: type[msgspec.Struct]
) -> list[faults.Fault]:
    """Return all structural faults of a parsed document.

    Args:
        value: The value returned by ``parse``.
        kind: Struct type into which the document will be decoded.
    """
    try:
        node = type_nodes.type_info(kind)
        return list(_walk(value, node, faults.ROOT))
    except RecursionError:
        return [
            faults.Fault(
                faults.ROOT,
                'the document is nested too deeply',
                'follow the structure in the documentation',
            )
        ]


def _object_of_pairs(pairs: list[tuple[str, typing.Any]]) -> _Object:
    value = _Object(pairs)
    if len(value) < len(pairs):
        names = [name for name, _ in pairs]
        value.duplicate_names = tuple(
            name for name in value if names.count(name) > 1
        )
    return value


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is not a JSON number')


def _parse_error_reason(error: Exception) -> str:
    if isinstance(error, RecursionError):
        return 'it is nested too deeply'
    if isinstance(error, UnicodeError):
        return 'it is not valid Unicode text'
    return str(error)


def _walk(
    value: typing.Any, node: type_nodes.Type, path: str
) -> collections.abc.Iterator[faults.Fault]:
    match node:
        case type_nodes.StructType():
            yield from _walk_struct(value, node, path)
        case type_nodes.VarTupleType(item_type=item):
            yield from _walk_array(value, item, path)
        case type_nodes.UnionType(types=members):
            yield from _walk_union(value, members, path)
        case type_nodes.EnumType(cls=enum_class):
            allowed = [member.value for member in enum_class]
            if value not in allowed:
                choices = ', '.join(allowed)
                yield faults.Fault(
                    path, 'this is not an allowed value', f'use {choices}'
                )
        case _:
            if not _matches_type(value, node):
                yield _wrong_type(value, node, path)


def _walk_struct(
    value: typing.Any, node: type_nodes.StructType, path: str
) -> collections.abc.Iterator[faults.Fault]:
    if not isinstance(value, dict):
        yield _wrong_type(value, node, path)
        return
    fields = {field.encode_name: field for field in node.fields}
    for name in getattr(value, 'duplicate_names', ()):
        yield faults.Fault(
            faults.field_path(path, name),
            'the field is duplicated',
            'keep one of the two',
        )
    for name in value:
        if name not in fields:
            yield _unknown_field(name, list(fields), path)
    for name, field in fields.items():
        location = faults.field_path(path, name)
        if name in value:
            yield from _walk(value[name], field.type, location)
        elif field.required:
            yield faults.Fault(
                location,
                'the field is missing',
                f'add it as {_expected(field.type)}',
            )


def _walk_array(
    value: typing.Any, item: type_nodes.Type, path: str
) -> collections.abc.Iterator[faults.Fault]:
    if not isinstance(value, list):
        yield faults.Fault(
            path, f'this is {_json_name(value)}', 'write an array'
        )
        return
    for index, item_value in enumerate(value):
        yield from _walk(item_value, item, faults.item_path(path, index))


def _walk_union(
    value: typing.Any, members: tuple[type_nodes.Type, ...], path: str
) -> collections.abc.Iterator[faults.Fault]:
    for member in members:
        if not _is_struct(member) and _matches_type(value, member):
            return
    structs = [member for member in members if _is_struct(member)]
    if structs and isinstance(value, dict):
        yield from _walk_struct(value, structs[0], path)
        return
    expected = ' or '.join(_expected(member) for member in members)
    yield faults.Fault(
        path, f'this is {_json_name(value)}', f'write {expected}'
    )


def _is_struct(node: type_nodes.Type) -> bool:
    return isinstance(node, type_nodes.StructType)


def _matches_type(value: typing.Any, node: type_nodes.Type) -> bool:
    match node:
        case type_nodes.StrType():
            return isinstance(value, str)
        case type_nodes.BoolType():
            return isinstance(value, bool)
        case type_nodes.NoneType():
            return value is None
        case type_nodes.IntType():
            return _is_integer(value)
        case type_nodes.FloatType():
            return _is_finite(value)
    return False


def _is_integer(value: typing.Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_finite(value: typing.Any) -> bool:
    if isinstance(value, float):
        return math.isfinite(value)
    return _is_integer(value) and abs(value) <= sys.float_info.max


def _wrong_type(
    value: typing.Any, node: type_nodes.Type, path: str
) -> faults.Fault:
    return faults.Fault(
        path, f'this is {_json_name(value)}', f'write {_expected(node)}'
    )


def _unknown_field(name: str, known: list[str], path: str) -> faults.Fault:
    matches = difflib.get_close_matches(name, known, 1)
    remedy = 'remove the field'
    if matches:
        remedy = f'write {matches[0]}, or remove the field'
    return faults.Fault(
        faults.field_path(path, name), 'this field is unknown', remedy
    )


def _json_name(value: typing.Any) -> str:
    if isinstance(value, dict):
        return _JSON_NAMES[dict]
    return _JSON_NAMES[type(value)]


def _expected(node: type_nodes.Type) -> str:
    match node:
        case type_nodes.StructType(fields=fields):
            names = [field.encode_name for field in fields if field.required]
            field_list = f' with {", ".join(names)}' if names else ''
            return f'an object{field_list}'
        case type_nodes.VarTupleType():
            return 'an array'
        case type_nodes.EnumType(cls=enum_class):
            return ' or '.join(f'"{member.value}"' for member in enum_class)
        case type_nodes.StrType():
            return 'a string'
        case type_nodes.IntType():
            return 'a whole number'
        case type_nodes.FloatType():
            return 'a number'
        case type_nodes.BoolType():
            return 'true or false'
        case type_nodes.UnionType(types=members):
            return ' or '.join(_expected(member) for member in members)
    return 'null'
