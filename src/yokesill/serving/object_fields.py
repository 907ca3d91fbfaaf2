"""Reads typed fields of the registry's objects; raises ``ObjectError`` with the path of an invalid field.

The platform's adapter uses it for the objects that operators and servers write. Holds no state.
"""

import socket
import sys
from collections.abc import Callable
from typing import Any, TypeVar

Value = TypeVar("Value")


# Larger numbers are mistakes, and don't fit into every type that a field is converted to.
MAX_NUMBER = 1e15
MAX_PORT_DIGITS = 5


class ObjectError(ValueError):
    """A field of an object is missing or has a wrong type."""


# What reading an object of another writer may raise beside ``ObjectError``: any value may stand in any place.
READ_ERRORS = (ValueError, TypeError, LookupError, AttributeError, ArithmeticError, RecursionError)


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


class OptionalReader:
    """Reads the optional fields of the table at ``place``; adds those that can't be read to ``problems``.

    ``former`` is the document that was read from this table before, if there is one.
    """

    __slots__ = ("_fields", "_former", "_place", "_problems")

    def __init__(self, fields: dict[str, Any], place: str, problems: list[str], former: object) -> None:
        self._fields = fields
        self._place = place
        self._problems = problems
        self._former = former

    def read(self, name: str, read: Callable[[Any], Value], default: Value, attribute: str) -> Value:
        """Return a field, parsed by ``read``, or ``default`` if it is missing.

        If it can't be read, return the former document's ``attribute``, or ``default`` without one.
        """
        value = self._fields.get(name)
        if value is None:
            return default
        try:
            return read(value)
        except ObjectError as error:
            held = "default holds" if self._former is None else "former value stays"
            self._problems.append(f"{self._place}.{name}: {error}; its {held}")
            former: Value = getattr(self._former, attribute, default)
            return former


def parse_text(value: Any) -> str:
    """Return the value if it is a text of whole, printable characters.

    Half a character can't be encoded for other nodes.
    """
    if not isinstance(value, str):
        raise ObjectError("a text is needed")
    if not value.isprintable():
        raise ObjectError("a text of printable characters is needed")
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
    # The comparison is false for NaN, and doesn't convert a large integer.
    if not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise ObjectError(f"a number up to {MAX_NUMBER:g} is needed")
    return float(value)


def parse_integer(value: Any) -> int:
    """Return a number truncated to an integer."""
    return int(parse_number(value))


def parse_count(value: Any) -> int:
    """Return a number of at least 1, truncated to an integer."""
    return _at_least(1, parse_integer(value))


def parse_size(value: Any) -> int:
    """Return a number of at least 0, truncated to an integer."""
    return _at_least(0, parse_integer(value))


def parse_rate(value: Any) -> float:
    """Return a number of at least 0."""
    return _at_least(0.0, parse_number(value))


def parse_milliseconds(value: Any) -> float:
    """Return a number of milliseconds in seconds."""
    return parse_number(value) / 1000


def parse_duration(value: Any) -> float:
    """Return a number of at least 1 ms in seconds."""
    return _at_least(1.0, parse_number(value)) / 1000


def parse_endpoint(value: Any) -> tuple[str, int]:
    """Return the IPv4 address and the port of an ``IP:PORT``."""
    host, _, port = parse_text(value).rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > MAX_PORT_DIGITS or not 0 < int(port) < 1 << 16:
        raise ObjectError("IP:PORT is needed, with a port from 1 to 65535")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise ObjectError("IP:PORT is needed, with an IPv4 address") from None
    return host, int(port)


def parse_revision(value: Any) -> int:
    """Return a revision, which is an integer of at least 0."""
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:
        raise ObjectError("a revision is needed")
    return value


def parse_header_value(value: Any) -> str:
    """Return a text that can stand in a header: visible ASCII characters without spaces."""
    text = parse_text(value)
    if not text.isascii() or not text or " " in text:
        raise ObjectError("visible ASCII characters are needed")
    return text


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


def _at_least(least: Value, value: Value) -> Value:
    if value < least:  # type: ignore[operator]
        raise ObjectError(f"a number of at least {least} is needed")
    return value
