"""Reads typed fields of the registry's objects; raises ``ObjectError`` with the path of an invalid field.

The platform's adapter uses it for the objects that operators and servers write. Holds no state.
"""

import sys
from collections.abc import Callable
from typing import Any, TypeVar

Value = TypeVar("Value")


class ObjectError(ValueError):
    """A field of an object is missing or has a wrong type."""


def read_field(fields: Any, name: str, read: Callable[[Any], Value], place: str) -> Value:
    """Return a field of a table, parsed by ``read``; ``place`` is the path of the table."""
    if not isinstance(fields, dict):
        raise ObjectError(f"{place}: a table is needed")
    if name not in fields:
        raise ObjectError(f"{place}.{name}: is missing")
    try:
        return read(fields[name])
    except ObjectError as error:
        raise ObjectError(f"{place}.{name}: {error}") from error


def parse_text(value: Any) -> str:
    """Return the value if it is a text."""
    if not isinstance(value, str):
        raise ObjectError("a text is needed")
    return value


def parse_version(value: Any) -> str:
    """Return the name of a version, which may be written as an integer."""
    return str(value) if type(value) is int else parse_text(value)


def parse_name(value: Any) -> str:
    """Return a name that occurs in many objects, interned so that equal names share memory."""
    return sys.intern(parse_text(value))


def parse_number(value: Any) -> float:
    """Return a number as a float."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ObjectError("a number is needed")
    return float(value)


def parse_integer(value: Any) -> int:
    """Return a number truncated to an integer."""
    return int(parse_number(value))


def parse_milliseconds(value: Any) -> float:
    """Return a number of milliseconds in seconds."""
    return parse_number(value) / 1000


def parse_table(value: Any) -> dict[str, Any]:
    """Return the value if it is a table."""
    if not isinstance(value, dict):
        raise ObjectError("a table is needed")
    return value


def parse_list(value: Any) -> list[Any]:
    """Return the value if it is a list."""
    if not isinstance(value, list):
        raise ObjectError("a list is needed")
    return value
