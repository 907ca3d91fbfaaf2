"""Reads typed fields of a settings file's tables and collects all mistakes with the paths of their fields.

Used for a node's settings; ``object_fields`` reads the registry's objects and stops at the first mistake. A
node can't run without its needed fields: settings in which one has a mistake are refused, with all mistakes.
An optional field with a mistake keeps what it held before, else it takes its default.
"""

from collections.abc import Callable
from functools import partial
from typing import Any, TypeVar

from yokesill.serving.settings import Address, GatewaySettings, SettingsProblem

Value = TypeVar("Value")

# Larger numbers are mistakes: no time, rate or size of a node comes near.
MAX_NUMBER = 1e12
MAX_PORT_DIGITS = 5
# What the platform leaves in fields for matters that are not in force.
EMPTY_VALUES: tuple[Any, ...] = ("", [])


class OptionalFields:
    """The optional fields of a settings file: ``values`` of the readable ones, ``problems`` of the others.

    ``values`` are those of the settings before until the fields are read.
    """

    __slots__ = ("problems", "values")

    def __init__(self, values: dict[str, Any] | None = None) -> None:
        self.values = dict(values or {})
        self.problems: list[SettingsProblem] = []


class SettingsReader:
    """Reads fields by their path, such as ``bounds.graceS``, and adds mistakes to ``problems``."""

    def __init__(self, values: dict[str, Any], optional: OptionalFields) -> None:
        self.problems: list[SettingsProblem] = []
        self._values = values
        self._optional = optional

    def accept(self, settings: GatewaySettings) -> GatewaySettings | list[SettingsProblem]:
        """Return the settings, or all problems if a needed field has one."""
        if any(each.needed for each in self.problems):
            return self.problems
        self._optional.problems = self.problems
        return settings

    def text(self, place: str) -> str:
        """Return a needed text."""
        value = self._get(place)
        if isinstance(value, str) and value:
            return value
        self._add_problem(place, "a text is needed", value, needed=True)
        return ""

    def address(self, place: str) -> Address:
        """Return a needed address."""
        value = self._get(place)
        address = _parse_address(value)
        if address is None:
            self._add_problem(place, "HOST:PORT is needed", value, needed=True)
        return address or Address("", 0)

    def number(self, place: str, default: float, least: float = 0.0) -> float:
        """Return a number of at least ``least``."""
        message = f"a number from {least:g} to {MAX_NUMBER:g} is needed"
        return self._read_optional(place, default, lambda value: _parse_number(value, least), message, ())

    def addresses(self, place: str) -> tuple[Address, ...]:
        """Return a list of addresses, without those that can't be read."""
        parse = partial(self._parse_addresses, place)
        return self._read_optional(place, (), parse, "a list of HOST:PORT is needed")

    def optional_address(self, place: str) -> Address | None:
        """Return an address; ``None`` if it is missing."""
        return self._read_optional(place, None, _parse_address, "HOST:PORT is needed")

    def optional_text(self, place: str, default: str) -> str:
        """Return a text."""
        return self._read_optional(place, default, _parse_text, "a text is needed")

    def text_table(self, place: str) -> dict[str, str]:
        """Return a table of texts; empty if it is missing."""
        return self._read_optional(place, {}, _parse_text_table, "a table of texts is needed")

    def text_list(self, place: str) -> tuple[str, ...]:
        """Return a list of texts; empty if it is missing."""
        return self._read_optional(place, (), _parse_text_list, "a list of texts is needed")

    def port_range(self, place: str) -> range:
        """Return the range of ports between a pair, both included; empty if it is missing."""
        message = "two ports are needed, the first not above the second"
        return self._read_optional(place, range(0), _parse_port_range, message)

    def port_addresses(self, place: str, host: str, count: int) -> tuple[Address | None, ...]:
        """Return the addresses of a range's first ports on a host; ``None`` for each that is missing."""
        addresses = [Address(host, port) for port in self.port_range(place)[:count]]
        return (*addresses, *[None] * (count - len(addresses)))

    def _parse_addresses(self, place: str, value: Any) -> tuple[Address, ...] | None:
        """Return the addresses of a list that can be read, or those that held before if none can."""
        if not isinstance(value, list):
            return None
        addresses: list[Address] = []
        for index, each in enumerate(value):
            address = _parse_address(each)
            if address is None:
                self._add_problem(f"{place}.{index}", "HOST:PORT is needed", each)
            else:
                addresses.append(address)
        former: tuple[Address, ...] = self._optional.values.get(place, ())
        return tuple(addresses) or former

    def _get(self, place: str) -> Any:
        value: Any = self._values
        for part in place.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def _read_optional(
        self,
        place: str,
        default: Value,
        parse: Callable[[Any], Value | None],
        message: str,
        empty: tuple[Any, ...] = EMPTY_VALUES,
    ) -> Value:
        """Return a field's value, its default if it is missing, or what it held before if it can't be read.

        It counts as missing if it holds one of the values ``empty``.
        """
        value = self._get(place)
        if value is None or value in empty:
            self._optional.values.pop(place, None)
            return default
        parsed = parse(value)
        if parsed is None:
            self._add_problem(place, message, value)
            former: Value = self._optional.values.get(place, default)
            return former
        self._optional.values[place] = parsed
        return parsed

    def _add_problem(self, place: str, message: str, value: Any, needed: bool = False) -> None:
        found = "it is missing" if value is None else f"found {value!r:.200}"
        self.problems.append(SettingsProblem(place, f"{message}, {found}", needed=needed))


def _parse_number(value: Any, least: float) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if least <= value <= MAX_NUMBER else None


def _parse_text(value: Any) -> str | None:
    return value if isinstance(value, str) and value else None


def _parse_address(value: Any) -> Address | None:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if host and port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS and int(port) < 1 << 16:
        return Address(host, int(port))
    return None


def _parse_text_list(value: Any) -> tuple[str, ...] | None:
    return tuple(str(each) for each in value) if isinstance(value, list) else None


def _parse_text_table(value: Any) -> dict[str, str] | None:
    return {str(key): str(each) for key, each in value.items()} if isinstance(value, dict) else None


def _parse_port_range(value: Any) -> range | None:
    pair = value if isinstance(value, list) and len(value) == 2 else []
    if not pair or not all(type(each) is int for each in pair) or not 0 < pair[0] <= pair[1] < 1 << 16:
        return None
    return range(pair[0], pair[1] + 1)
