"""Conversion of the platform's objects and settings; errors name their place."""

import copy
from typing import Any

import pytest
from test_following_the_store import CONFIG

from yokesill.gateway.documents import Gather, ServiceLimits, Split
from yokesill.gateway.servers.cold_starts import ColdStartLimits
from yokesill.platform.documents import read_configuration, read_server
from yokesill.platform.settings import parse_settings
from yokesill.serving.object_fields import ObjectError
from yokesill.serving.settings import Address, GatewaySettings
from yokesill.serving.settings_reader import OptionalFields

SETTINGS = """
nodeName = "front-1"
ip = "10.1.0.9"
zone = "z1"
portRange = [7380, 7395]
seedNodes = ["10.1.0.9:8106"]
unheardOf = 3
[zones]
z1 = "r1"
[listenAddrs]
front = "10.1.0.9:8104"
ready = "10.1.0.9:8108"
[bounds]
graceS = 6
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 56
[platform]
address = "10.200.1.7:8102"
"""


def config_with(**changes: Any) -> dict[str, Any]:
    spec = copy.deepcopy(CONFIG)
    spec["routes"][0].update(changes)
    return spec


def test_routes_to_one_service_a_split_and_a_gather_are_read() -> None:
    single = read_configuration(CONFIG).routes[0].destination
    assert isinstance(single, Split)
    assert single.parts[0].service == "s1"
    weights = [{"service": "s1", "weight": 3}, {"service": "s2", "weight": 1}]
    split = read_configuration(config_with(backends=weights)).routes[0].destination
    assert isinstance(split, Split)
    assert [(part.service, part.weight) for part in split.parts] == [("s1", 3), ("s2", 1)]
    wide = config_with(gather=["s1", "s2"], topK=5, minCoverage=0.75, targetLatencyMs=56, maxAttempts=2)
    route = read_configuration(wide).routes[0]
    assert route.destination == Gather(("s1", "s2"), 5, 0.75)
    assert (route.objective_s, route.max_attempts, route.repeatable) == (0.056, 2, True)


@pytest.mark.parametrize(
    ("changes", "place"),
    [
        ({"timeoutMs": "soon"}, "routes.r1.timeoutMs"),
        ({"host": None}, "routes.r1.host"),
        ({"gather": ["s1"], "topK": 5}, "routes.r1.minCoverage"),
        ({"backends": [{"service": "s1"}]}, "routes.r1.weight"),
    ],
)
def test_error_in_a_configuration_names_its_place(changes: dict[str, Any], place: str) -> None:
    with pytest.raises(ObjectError, match=place):
        read_configuration(config_with(**changes))


@pytest.mark.parametrize("spec", [None, [], {}, {"service": "s1"}, {"service": "s1", "address": "x"}])
def test_error_in_a_server_entry_names_the_server(spec: Any) -> None:
    with pytest.raises(ObjectError, match=r"servers\.i-1"):
        read_server("i-1", spec)


def test_settings_are_read_and_unknown_fields_ignored() -> None:
    settings = parse_settings(SETTINGS)
    assert isinstance(settings, GatewaySettings)
    assert settings.callers == Address("10.1.0.9", 8104)
    assert settings.metrics == Address("10.1.0.9", 7380)
    assert (settings.budget.ratio, settings.budget.allowance) == (0.2, 56.0)


def test_all_errors_in_settings_are_reported_with_their_places() -> None:
    broken = SETTINGS.replace('"10.1.0.9:8104"', '"nowhere"').replace("graceS = 6", 'graceS = "long"')
    broken = broken.replace('zone = "z1"\n', "")
    problems = parse_settings(broken)
    assert isinstance(problems, list)
    assert {each.place for each in problems} == {"zone", "listenAddrs.front", "bounds.graceS"}
    assert isinstance(parse_settings("= nonsense"), list)


def test_datagrams_and_reports_use_the_first_two_ports_of_the_range() -> None:
    settings = parse_settings(SETTINGS)
    assert isinstance(settings, GatewaySettings)
    assert (settings.datagrams, settings.reports) == (Address("10.1.0.9", 7380), Address("10.1.0.9", 7381))
    single = parse_settings(SETTINGS.replace("[7380, 7395]", "[7380, 7380]"))
    assert isinstance(single, GatewaySettings)
    assert (single.datagrams, single.reports) == (Address("10.1.0.9", 7380), None)
    none = parse_settings(SETTINGS.replace("portRange = [7380, 7395]", ""))
    assert isinstance(none, GatewaySettings)
    assert (none.datagrams, none.reports) == (None, None)


@pytest.mark.parametrize("ports", ["[7380]", "[7395, 7380]", '["a", "b"]', "7380", "[0, 70000]"])
def test_invalid_port_range_is_told_with_its_place_and_ends_no_start(ports: str) -> None:
    # Guards against: a range of ports that is wrong ends each start, or is passed over unseen.
    broken, fields = SETTINGS.replace("[7380, 7395]", ports), OptionalFields()
    settings = parse_settings(broken, fields)
    assert isinstance(settings, GatewaySettings)
    assert (settings.metrics, settings.datagrams, settings.reports) == (None, None, None)
    assert [each.place for each in fields.problems] == ["portRange"]
    problems = parse_settings(broken.replace('"front-1"', "5"))
    assert isinstance(problems, list)
    assert [each.place for each in problems] == ["portRange", "nodeName"]


def test_regions_and_limits_of_cold_servers_are_read() -> None:
    spec = config_with(allowedRegions=["r1", "r2"])
    spec["services"][0] |= {"warmupS": 3.0, "warmupPerS": 4.0}
    read = read_configuration(spec)
    assert read.routes[0].regions == ("r1", "r2")
    assert read.services["s1"] == ServiceLimits(26, 4.0)
    plain = read_configuration(CONFIG)
    assert plain.routes[0].regions == ()
    assert plain.services["s1"].cold_requests_per_s == 0.0


@pytest.mark.parametrize(
    ("added", "bound_s"),
    [
        ("", None),
        ('contracts = ["base", "drain"]', None),
        ('contracts = ["base", "places"]', 5.0),
    ],
)
def test_evacuations_are_followed_if_the_contracts_name_places(added: str, bound_s: float | None) -> None:
    settings = parse_settings(added + SETTINGS)
    assert isinstance(settings, GatewaySettings)
    assert settings.evacuation_bound_s == bound_s


def test_bounds_of_evacuations_and_cold_servers_and_cpu_limits_are_read() -> None:
    bounds = "[bounds]\nevacuateMs = 2000\nwarmupOvershoot = 1.5\nwarmupSlack = 5\n"
    limits = "[limits]\ncpuShare = 0.5\ncpuCores = 3\n"
    settings = parse_settings(SETTINGS.replace("[bounds]\n", bounds) + limits)
    assert isinstance(settings, GatewaySettings)
    assert settings.evacuation_bound_s == settings.change_bound_s == 2.0
    assert settings.cold_starts == ColdStartLimits(1.5, 5.0)
    assert settings.cores == 1.5
