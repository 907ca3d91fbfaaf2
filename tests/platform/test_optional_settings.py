"""Only the fields without which nothing can run are needed; any other one has a default."""

import pytest
from test_reading import SETTINGS

from yokesill.platform.settings import parse_settings
from yokesill.serving.settings import GatewaySettings
from yokesill.serving.settings_reader import OptionalFields

OPTIONAL = (
    "limits.cpuShare", "limits.cpuCores", "limits.memoryMb", "limits.maxFds", "bounds.retryBudgetRatio",
    "bounds.retrySlack", "bounds.retryWindowS", "bounds.configApplyMs", "bounds.drainMs", "bounds.contactMs",
    "bounds.evacuateMs", "bounds.warmupOvershoot", "bounds.warmupSlack", "bounds.canaryShare",
    "bounds.canarySlack", "bounds.rollbackMs", "bounds.graceS", "seedNodes", "portRange",
    "listenAddrs.control", "zones", "contracts",
)  # fmt: skip
WRONG_VALUES = ("true", "-1", '"text"', "[[]]", "1979-05-27", "inf", "nan")
LEAST = """
nodeName = "front-1"
zone = "z1"
listenAddrs.front = "10.1.0.9:8104"
listenAddrs.ready = "10.1.0.9:8108"
platform.address = "10.200.1.7:8102"
contracts = ["places", "rollout"]
"""


def settings_with(place: str, value: str) -> str:
    kept = [line for line in LEAST.splitlines() if not line.startswith(f"{place} =")]
    return "\n".join([*kept, f"{place} = {value}"])


def parse(text: str, fields: OptionalFields) -> GatewaySettings:
    settings = parse_settings(text, fields)
    assert isinstance(settings, GatewaySettings)
    return settings


@pytest.mark.parametrize("place", OPTIONAL)
def test_optional_field_that_can_not_be_read_takes_its_default_and_is_told(place: str) -> None:
    # Guards against: a value that the field can't hold makes the settings invalid as a whole.
    missing = parse("\n".join(line for line in LEAST.splitlines() if place not in line), OptionalFields())
    # A list of contracts may have entries of any kind, which name none that is known.
    for value in [each for each in WRONG_VALUES if (place, each) != ("contracts", "[[]]")]:
        fields = OptionalFields()
        assert parse(settings_with(place, value), fields) == missing
        assert [each.place for each in fields.problems][:1] in ([place], [f"{place}.0"])


@pytest.mark.parametrize(
    ("place", "good"),
    [
        ("limits.memoryMb", "300"),
        ("bounds.graceS", "7"),
        ("seedNodes", '["10.1.0.9:8106"]'),
        ("listenAddrs.control", '"10.1.0.9:8106"'),
        ("contracts", '["places"]'),
        ("zones", '{ z1 = "r1" }'),
    ],
)
def test_optional_field_that_can_not_be_read_keeps_what_held_before(place: str, good: str) -> None:
    # Guards against: a reload sets a field to its default because of a value that nobody can mean.
    fields = OptionalFields()
    before = parse(settings_with(place, good), fields)
    fields = OptionalFields(fields.values)
    assert before.changes(parse(settings_with(place, "true"), fields)) == []
    assert [each.place for each in fields.problems] == [place]
    # A field that is gone takes its default, as before.
    fields = OptionalFields(fields.values)
    assert before.changes(parse("\n".join(settings_with(place, good).splitlines()[:-1]), fields)) != []
    assert fields.problems == []


def test_values_that_were_read_before_stay_as_they_are_if_settings_are_refused() -> None:
    # Guards against: settings that never held give a field its value.
    fields = OptionalFields()
    parse(settings_with("bounds.graceS", "7"), fields)
    refused = OptionalFields(fields.values)
    problems = parse_settings(settings_with("bounds.graceS", "9").replace('"front-1"', "5"), refused)
    assert isinstance(problems, list)
    assert parse(settings_with("bounds.graceS", '"x"'), OptionalFields(fields.values)).stop_grace_s == 7.0


@pytest.mark.parametrize("address", ['ip = ""', "ip = 5", ""])
def test_own_ports_without_an_own_address_are_those_of_the_callers_address(address: str) -> None:
    # Guards against: a missing address beside a range of ports ends each start.
    settings = parse(SETTINGS.replace('ip = "10.1.0.9"', address), OptionalFields())
    assert str(settings.metrics) == "10.1.0.9:7380"


@pytest.mark.parametrize("odd", ['["odd", ""]', "[5]", "[[]]"])
def test_list_without_a_readable_address_keeps_what_held_before(odd: str) -> None:
    # Guards against: a running node forgets its seeds by a list of which nothing can be read, and afterwards
    # tells of entries that are no longer in the file.
    fields = OptionalFields()
    before = parse(settings_with("seedNodes", '["10.1.0.9:8106"]'), fields)
    fields = OptionalFields(fields.values)
    assert parse(settings_with("seedNodes", odd), fields).seeds == before.seeds
    assert "seedNodes.0" in [each.place for each in fields.problems]
    fields = OptionalFields(fields.values)
    assert parse(settings_with("seedNodes", '"text"'), fields).seeds == before.seeds
    assert [each.place for each in fields.problems] == ["seedNodes"]


def test_addresses_that_stay_are_told_of_once() -> None:
    # Guards against: after a list with an odd entry, another value is told of as if it had that entry.
    fields = OptionalFields()
    parse(settings_with("seedNodes", '["odd", "10.1.0.9:8106"]'), fields)
    fields = OptionalFields(fields.values)
    parse(settings_with("seedNodes", "5"), fields)
    assert [each.place for each in fields.problems] == ["seedNodes"]
