"""One odd optional value of the operator's configuration costs that value alone."""

import copy
from dataclasses import replace
from typing import Any

import pytest
from test_following_the_store import CONFIG, FeedObserver, StoreStandin, run_with_observer

from yokesill.gateway.documents import Configuration, RequestLimits
from yokesill.gateway.events import ConfigurationReceived
from yokesill.platform.documents import DEFAULT_CONNECTIONS, read_configuration
from yokesill.platform.feeds import configuration_feed
from yokesill.registry.feeds import Batch, Feed
from yokesill.serving.object_fields import ObjectError

WRONG_VALUES = ("", "soon", [], {}, True, -1, 0, 1e999, float("nan"))
ROUTE_FIELDS = ("targetLatencyMs", "maxAttempts", "priority")
LIMITS = ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs")
# Values that mean something: the highest priority, no bodies, no limit.
WITH_ZERO = ("priority", "maxBodyBytes", "warmupPerS")


def read_with(path: tuple[str | int, ...], value: Any) -> tuple[Configuration, list[str]]:
    """Return the configuration in which one field has a value, and the problems told of it."""
    spec, problems = copy.deepcopy(CONFIG), []
    table: Any = spec
    for part in path[:-1]:
        table = table[part]
    table[path[-1]] = value
    return read_configuration(spec, problems=problems), problems


def without(path: tuple[str | int, ...]) -> Configuration:
    """Return the configuration in which one field is missing."""
    spec: Any = copy.deepcopy(CONFIG)
    table = spec
    for part in path[:-1]:
        table = table[part]
    table.pop(path[-1], None)
    return read_configuration(spec)


@pytest.mark.parametrize(
    "path",
    [
        *(("routes", 0, name) for name in ROUTE_FIELDS),
        *(("limits", name) for name in LIMITS),
        ("services", 0, "maxConnections"),
        ("services", 0, "warmupPerS"),
    ],
    ids=str,
)
def test_optional_field_that_can_not_be_read_takes_its_default_and_is_told(
    path: tuple[str | int, ...],
) -> None:
    # Guards against: one such value makes the whole configuration unreadable; a node that starts never gets
    # ready, and one that runs stays with the older version for good.
    for value in WRONG_VALUES:
        if value == 0 and path[-1] in WITH_ZERO:
            continue
        read, problems = read_with(path, value)
        assert read == without(path)
        assert len(problems) == 1
        assert str(path[-1]) in problems[0]
    assert without(path) == read_with(path, None)[0]


@pytest.mark.parametrize("value", [None, "", [], 5, True])
def test_limits_that_are_no_table_take_their_defaults(value: Any) -> None:
    # Guards against: the same for all limits at once.
    read, problems = read_with(("limits",), value)
    assert read.limits == RequestLimits()
    assert len(problems) == (value is not None)
    spec = {name: each for name, each in CONFIG.items() if name != "limits"}
    assert read_configuration(spec).limits == RequestLimits()


def test_service_without_a_readable_limit_may_still_be_used() -> None:
    # Guards against: a service's odd limit of connections takes all routes with it.
    read, _ = read_with(("services", 0, "maxConnections"), "many")
    assert read.services["s1"].connections == DEFAULT_CONNECTIONS


def test_optional_field_that_can_not_be_read_keeps_its_former_value() -> None:
    # Guards against: a node that runs is worse off by an odd newer configuration than by the one before, as
    # with smaller limits for callers than anybody has set.
    spec = copy.deepcopy(CONFIG)
    spec["routes"][0] |= {"targetLatencyMs": 90, "maxAttempts": 3, "priority": 0}
    spec["services"][0] |= {"warmupPerS": 4}
    spec["limits"]["maxHeaderBytes"] = 100_000
    former = read_configuration(spec)
    odd = copy.deepcopy(spec) | {"configVersion": 8}
    odd["routes"][0] |= dict.fromkeys(ROUTE_FIELDS, "odd")
    odd["services"][0] |= dict.fromkeys(("maxConnections", "warmupPerS"), "odd")
    odd["limits"] = dict.fromkeys(LIMITS, "odd")
    problems: list[str] = []
    assert read_configuration(odd, former, problems) == replace(former, version=8)
    assert len(problems) == 9
    assert read_configuration(odd | {"limits": 5}, former).limits == former.limits
    # A field that is gone takes its default, as before.
    assert read_configuration(CONFIG, former) == read_configuration(CONFIG)


@pytest.mark.parametrize("service", [5, None, [], {}, {"name": 7}, {"maxConnections": 3}])
def test_service_without_a_readable_name_is_left_out_alone(service: Any) -> None:
    # Guards against: one odd service takes all routes with it.
    spec, problems = copy.deepcopy(CONFIG), []
    spec["services"].append(service)
    read = read_configuration(spec, problems=problems)
    assert read == read_configuration(CONFIG)
    assert len(problems) == 1


@pytest.mark.parametrize("value", [None, True, [], {}])
@pytest.mark.parametrize("name", ["timeoutMs", "host", "pathPrefix", "service", "routeType"])
def test_route_whose_needed_field_can_not_be_read_is_not_left_out(name: str, value: Any) -> None:
    # Guards against: its requests go to the servers of a shorter prefix, which no configuration allows.
    with pytest.raises(ObjectError, match=rf"routes\.r1\.{name}"):
        read_with(("routes", 0, name), value)


def test_odd_list_of_allowed_regions_is_not_taken_for_none() -> None:
    # Guards against: a restriction that can't be read lets a route's requests go everywhere.
    for value in ("r1", 5, [5], {"r1": True}):
        with pytest.raises(ObjectError):
            read_with(("routes", 0, "allowedRegions"), value)


def test_former_value_is_that_of_the_configuration_in_force_whoever_sent_it() -> None:
    # Guards against: a node for which others called the store falls back to what it read itself, long ago.
    async def main(standin: StoreStandin, observer: FeedObserver) -> None:
        feed = configuration_feed(observer.store)
        first = await read_first(feed)
        feed.learn(ConfigurationReceived(first))
        limits = first.limits._replace(body_bytes=first.limits.body_bytes * 2)
        feed.learn(ConfigurationReceived(replace(first, version=8, limits=limits)))
        # A cheap answer, or another node, may be late.
        feed.learn(ConfigurationReceived(first))
        standin.put("config", "main", CONFIG | {"configVersion": 9, "limits": "odd"})
        assert (await read_first(feed)).limits == limits

    run_with_observer(main)


async def read_first(feed: Feed) -> Configuration:
    """Return the configuration that the store holds, as the feed reads it."""
    batch = await feed.list()
    assert isinstance(batch, Batch)
    (event,) = batch.events
    assert isinstance(event, ConfigurationReceived)
    return event.configuration
