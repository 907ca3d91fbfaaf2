"""Reads typed fields of a settings file's tables and collects all mistakes with the paths of their fields.

Used for a node's settings; ``object_fields`` reads the registry's objects and stops at the first mistake. A
field with a mistake gets a default and is added to ``problems``; callers must discard the settings if there
are any.
"""

from typing import Any

from yokesill.serving.settings import Address, SettingsProblem

# Larger numbers are mistakes: no time, rate or size of a node comes near.
MAX_NUMBER = 1e12
MAX_PORT_DIGITS = 5


class SettingsReader:
    """Reads fields by their path, such as ``bounds.graceS``, and adds mistakes to ``problems``."""

    def __init__(self, values: dict[str, Any]) -> None:
        self.problems: list[SettingsProblem] = []
        self._values = values

    def _get(self, place: str) -> Any:
        value: Any = self._values
        for part in place.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def text(self, place: str) -> str:
        """Return a required text."""
        value = self._get(place)
        if isinstance(value, str) and value:
            return value
        self._add_problem(place, "a text is needed", value)
        return ""

    def number(self, place: str, default: float) -> float:
        """Return a number of at least 0, or ``default`` if it is missing."""
        value = self._get(place)
        if value is None:
            return default
        if isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= MAX_NUMBER:
            return float(value)
        self._add_problem(place, f"a number from 0 to {MAX_NUMBER:g} is needed", value)
        return default

    def address(self, place: str) -> Address:
        """Return a required address."""
        return self._parse_address(place, self._get(place)) or Address("", 0)

    def addresses(self, place: str) -> tuple[Address, ...]:
        """Return a list of addresses; empty if it is missing."""
        value = self._get(place) or []
        if not isinstance(value, list):
            self._add_problem(place, "a list of HOST:PORT is needed", value)
            return ()
        parsed = [self._parse_address(f"{place}.{index}", each) for index, each in enumerate(value)]
        return tuple(each for each in parsed if each is not None)

    def optional_address(self, place: str) -> Address | None:
        """Return an address; ``None`` if it is missing."""
        value = self._get(place)
        return None if value in (None, "") else self._parse_address(place, value)

    def text_table(self, place: str) -> dict[str, str]:
        """Return a table of texts; empty if it is missing."""
        value = self._get(place)
        return {str(key): str(each) for key, each in value.items()} if isinstance(value, dict) else {}

    def text_list(self, place: str) -> tuple[str, ...]:
        """Return a list of texts; empty if it is missing."""
        value = self._get(place)
        return tuple(str(each) for each in value) if isinstance(value, list) else ()

    def port_range(self, place: str) -> range:
        """Return the range of ports between a pair, both included; empty if it is missing."""
        value = self._get(place)
        if value in (None, []):
            return range(0)
        pair = value if isinstance(value, list) and len(value) == 2 else []
        if not pair or not all(type(each) is int for each in pair) or not 0 < pair[0] <= pair[1] < 1 << 16:
            self._add_problem(place, "two ports are needed, the first not above the second", value)
            return range(0)
        return range(pair[0], pair[1] + 1)

    def _parse_address(self, place: str, value: Any) -> Address | None:
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        if (
            host
            and port.isascii()
            and port.isdigit()
            and len(port) <= MAX_PORT_DIGITS
            and int(port) < 1 << 16
        ):
            return Address(host, int(port))
        self._add_problem(place, "HOST:PORT is needed", value)
        return None

    def _add_problem(self, place: str, message: str, value: Any) -> None:
        found = "it is missing" if value is None else f"found {value!r:.200}"
        self.problems.append(SettingsProblem(place, f"{message}, {found}"))
