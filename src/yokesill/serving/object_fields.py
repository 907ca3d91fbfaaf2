"""Reads typed fields out of the registry's objects; raises ``ObjectError`` naming the place.

Used by the platform's adapter for what operators and servers write; nothing is owned here.
"""

import sys
from collections.abc import Callable
from typing import Any, TypeVar

Value = TypeVar("Value")


class ObjectError(ValueError):
    """An object lacks a field or has one of a wrong kind."""


def read_field(fields: Any, name: str, read: Callable[[Any], Value], place: str) -> Value:
    """Return a table's field as ``read`` makes it; ``place`` is where the table stands."""
    if not isinstance(fields, dict):
        raise ObjectError(f"{place}: a table is needed")
    if name not in fields:
        raise ObjectError(f"{place}.{name}: is missing")
    try:
        return read(fields[name])
    except ObjectError as error:
        raise ObjectError(f"{place}.{name}: {error}") from error


def parse_text(value: Any) -> str:
    """Return a text."""
    if not isinstance(value, str):
        raise ObjectError("a text is needed")
    return value


def parse_version(value: Any) -> str:
    """Return the name of a version, which may be a whole number."""
    return str(value) if type(value) is int else parse_text(value)


def parse_name(value: Any) -> str:
    """Return a name that stands in many objects; equal ones are one text in memory."""
    return sys.intern(parse_text(value))


def parse_number(value: Any) -> float:
    """Return a number as a float."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ObjectError("a number is needed")
    return float(value)


def parse_integer(value: Any) -> int:
    """Return a number without its fraction."""
    return int(parse_number(value))


def parse_milliseconds(value: Any) -> float:
    """Return milliseconds as seconds."""
    return parse_number(value) / 1000


def parse_table(value: Any) -> dict[str, Any]:
    """Return a table."""
    if not isinstance(value, dict):
        raise ObjectError("a table is needed")
    return value


def parse_list(value: Any) -> list[Any]:
    """Return a list."""
    if not isinstance(value, list):
        raise ObjectError("a list is needed")
    return value
