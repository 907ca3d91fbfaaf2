"""What another writer, or a faulty store, leaves in a list costs that entry alone."""

import json
import time
from typing import Any

import pytest
from node_process import SERVICE, Node, Reply, Surroundings, call, configuration, message

from yokesill.comm.lenient_json import MAX_DEPTH, decode_json

# ``contactMs`` of the settings.
CONTACT_S = 4.0
GOOD = {"service": SERVICE, "address": "127.0.0.1:9", "zone": "zone-a", "capacity": 1, "state": "ready"}
META = '{"name": "odd", "revision": REVISION, "made": REVISION}'


def entry(spec: str, meta: str = META) -> str:
    """Return the JSON of an object of kind ``servers``."""
    return f'{{"meta": {meta}, "spec": {spec}, "status": null}}'


def with_field(name: str, value: str) -> str:
    """Return a server's entry in which one field has a value given as JSON."""
    fields = {each: json.dumps(content) for each, content in GOOD.items()} | {name: value}
    return entry("{" + ", ".join(f'"{each}": {content}' for each, content in fields.items()) + "}")


ODD_ENTRIES = {
    "nested deep": with_field("x", "[" * 50_000 + "]" * 50_000),
    "nested deep in its name": entry("{}", '{"name": ' + "[" * 5000 + "]" * 5000 + ', "revision": REVISION}'),
    "5000 digits": with_field("capacity", "9" * 5000),
    "400 digits": with_field("capacity", "9" * 400),
    "endless number": with_field("capacity", "1e999"),
    "not a number": with_field("warmupLeftMs", "NaN"),
    "no slots": with_field("capacity", "0"),
    "text as a number": with_field("capacity", '"four"'),
    "port out of range": with_field("address", '"127.0.0.1:65536"'),
    "port of 5000 digits": with_field("address", '"127.0.0.1:' + "9" * 5000 + '"'),
    "port behind zeros": with_field("address", '"127.0.0.1:00008099999"'),
    "port that is no number": with_field("address", '"127.0.0.1:8\N{SUPERSCRIPT TWO}"'),
    "name instead of an address": with_field("address", '"server.example:80"'),
    "surrogate in its service": with_field("service", '"\\ud800"'),
    "a number for its meta": entry("{}", "5"),
    "a list for its name": entry("{}", '{"name": [], "revision": REVISION}'),
    "line break in its name": entry(json.dumps(GOOD), '{"name": "a\\r\\nb: c", "revision": REVISION}'),
    "surrogate in its name": entry(json.dumps(GOOD), '{"name": "\\udfff", "revision": REVISION}'),
    "a text for its revision": entry(json.dumps(GOOD), '{"name": "odd", "revision": "x"}'),
    "no object": "7",
    "null": "null",
}


def test_odd_entry_costs_that_entry_alone(node: Node, around: Surroundings) -> None:
    # Guards against: one entry by another writer stopped the feed of servers, and no node got ready again.
    node.start().wait_until_ready()
    for odd in ODD_ENTRIES.values():
        around.store.put_raw("servers", odd)
    _assert_follows_servers(node, around)
    node.kill()
    node.start().wait_until_ready()
    _assert_follows_servers(node, around)
    assert node.events("part_failed") == []


@pytest.mark.parametrize("kind", ["config", "yokesill-nodes", "yokesill-quarantine"])
def test_odd_entry_of_another_kind_costs_that_entry_alone(
    kind: str, node: Node, around: Surroundings
) -> None:
    # Guards against: one malformed object failed the part of a node that reads its kind, again and again.
    for odd in ODD_ENTRIES.values():
        around.store.put_raw(kind, odd)
    node.start().wait_until_ready()
    assert node.ask().status == 200
    time.sleep(1.0)
    assert node.events("part_failed") == []


def test_odd_record_of_a_roll_out_costs_that_record_alone(node: Node, around: Surroundings) -> None:
    # Guards against: half a character in a record's reason failed the part that tells the zone of it.
    text = node.settings_text().splitlines()
    text = [each for each in text if not each.startswith("contracts = ")]
    node.write_settings("\n".join(['contracts = ["base", "platform", "places", "rollout"]', *text, ""]))
    node.start().wait_until_ready()
    time.sleep(CONTACT_S)
    for odd in ODD_ENTRIES.values():
        around.store.put_raw("rollouts", odd)
        around.store.put_raw("evacuations", odd)
    order = json.dumps({"service": SERVICE, "targetVersion": "s2", "durationS": 30})
    for reason in ('"\\ud800"', "{}", "[[1]]", '"' + "y" * 100_000 + '"'):
        status = '{"state": "in_progress", "targetVersion": "s2", "elapsedMs": 5, "reason": ' + reason + "}"
        meta = f'{{"name": "{SERVICE}", "revision": REVISION, "made": 5}}'
        around.store.put_raw("rollouts", f'{{"meta": {meta}, "spec": {order}, "status": {status}}}')
        time.sleep(1.0)
    assert node.ask().status == 200
    assert node.events("part_failed") == []


def odd_configuration(version: int) -> dict[str, Any]:
    """Return a configuration whose optional fields hold texts, beside a service that is none."""
    config = configuration() | {"configVersion": version}
    odd = dict.fromkeys(("maxAttempts", "targetLatencyMs", "priority"), "odd")
    service = {**config["services"][0], "maxConnections": "odd", "warmupPerS": "odd"}
    return config | {
        "routes": [{**config["routes"][0], **odd}],
        "services": [service, 5],
        "limits": dict.fromkeys(config["limits"], "odd"),
    }


def version_in_force(node: Node) -> float:
    """Return the version of the configuration that the node tells."""
    text = call(node.ready_port, "GET", "/metrics", {}, 2.0).body.decode()
    return float(next(line.split()[1] for line in text.splitlines() if line.startswith("yokesill_version ")))


def test_odd_optional_values_of_the_configuration_cost_those_values_alone(
    node: Node, around: Surroundings
) -> None:
    # Guards against: one value that can't be read keeps a starting node from getting ready, for good, and a
    # running one at the version before.
    around.store.put("config", "main", odd_configuration(2))
    node.start().wait_until_ready()
    assert node.ask().status == 200
    assert version_in_force(node) == 2
    time.sleep(CONTACT_S)
    around.store.put("config", "main", odd_configuration(3))
    time.sleep(2.0)
    assert version_in_force(node) == 3
    assert node.ask().status == 200
    told = " ".join(each["problem"] for each in node.events("entry_rejected"))
    for name in ("priority", "maxAttempts", "targetLatencyMs", "maxConnections", "warmupPerS"):
        assert f".{name}: a number is needed; its " in told
    assert "limits.maxHeaderBytes: a number is needed; its " in told
    assert "services: a table is needed; the service is left out" in told


def test_half_a_character_is_rejected_since_it_could_not_be_told_to_other_nodes(
    node: Node, around: Surroundings
) -> None:
    # Guards against: an entry that its reader takes and that then fails the part which tells other nodes.
    around.store.put_raw("servers", ODD_ENTRIES["surrogate in its service"].replace('"odd"', '"half"'))
    node.start().wait_until_ready()
    # The first, cheap list is not logged; a node that nobody reports to lists by itself within ``contactMs``.
    time.sleep(CONTACT_S)
    problems = [each["problem"] for each in node.events("entry_rejected")]
    assert len(problems) == 1
    assert "printable" in problems[0]


def _assert_follows_servers(node: Node, around: Surroundings) -> None:
    """Assert that a change of a server's entry takes effect, with the odd entries in the list.

    A node is bound by changes once it has run for ``contactMs``: before, it may still wait to hear whether
    another node watches the registry for it.
    """
    time.sleep(CONTACT_S)
    first, second = around.servers
    around.store.put("servers", first.instance, first.entry() | {"state": "draining"})
    time.sleep(2.5)
    second.requests.clear()
    first.requests.clear()
    assert {node.ask(request_id=f"r{number}").status for number in range(6)} == {200}
    assert (len(first.requests), len(second.requests) >= 6) == (0, True)
    around.store.put("servers", first.instance, first.entry())


FIRST_ANSWERS = {
    "nonsense": b"\0\xff\n\n" * 50,
    "no body": message("HTTP/1.1 200 X", {}),
    "a page": message("HTTP/1.1 200 X", {}, b"<html>"),
    "a number": message("HTTP/1.1 200 X", {}, b"5"),
    "nested deep": message("HTTP/1.1 200 X", {}, b"[" * 100_000 + b"]" * 100_000),
    "items are a text": message("HTTP/1.1 200 X", {}, b'{"items": "abc", "at": 1}'),
    "a position of 5000 digits": message("HTTP/1.1 200 X", {}, b'{"items":[],"at":' + b"9" * 5000 + b"}"),
    "an endless position": message("HTTP/1.1 200 X", {}, b'{"items": [], "at": 1e999}'),
    "bytes that are no text": message("HTTP/1.1 200 X", {}, b'{"items": ["\xff"], "at": 1}'),
    "another protocol": b"HTTP/1.1 101 X\r\nupgrade: h2c\r\nconnection: upgrade\r\n\r\nabc",
    "pages without end": message(
        "HTTP/1.1 200 X", {}, b'{"items":[{"meta":{"name":"a","revision":1},"spec":{}}],"at":1,"more":true}'
    ),
    "a timeline of 5000 digits": message("HTTP/1.1 200 X", {"store-era": "9" * 5000}, b'{"items":[],"at":1}'),
}


def test_first_answers_of_a_faulty_store_fail_no_part(node: Node, around: Surroundings) -> None:
    # Guards against: every feed failed by an exception and was begun anew after growing pauses.
    for content in FIRST_ANSWERS.values():
        around.store.special = lambda _request, content=content: _sender(content)  # type: ignore[misc]
        node.start()
        time.sleep(0.7)
        around.store.special = lambda _request: None
        node.wait_until_ready()
        assert node.ask().status == 200
        node.kill()
    assert node.events("part_failed") == []


def _sender(content: bytes) -> Reply:
    return lambda connection: connection.sendall(content)


HEADERS_WITH_NUMBERS = {
    "keep-alive": "timeout=" + "9" * 5000,
    "x-yokesill-server-load": "9" * 5000 + ",1,1",
    "X-Yokesill-Server-Load": "9" * 400 + ",1,1",
    "Keep-Alive": "timeout=" + "9" * 400,
}


@pytest.mark.parametrize("name", HEADERS_WITH_NUMBERS)
def test_number_of_any_length_in_a_servers_header_costs_no_answer(
    name: str, node: Node, around: Surroundings
) -> None:
    # Guards against: the conversion failed within a callback; the request hung until its timeout, and the
    # place of its connection was lost for good.
    for server in around.servers:
        server.special = lambda request, server=server: _sender(  # type: ignore[misc]
            message(
                "HTTP/1.1 200 OK",
                server.head(request) | {name: HEADERS_WITH_NUMBERS[name]},
                b"0123456789abcdef",
            )
        )
    node.start().wait_until_ready()
    assert [node.ask().status for _ in range(4)] == [200] * 4
    assert node.output().count("Error") == 0


def test_deadline_of_any_length_is_served(node: Node) -> None:
    # Guards against: a caller's deadline of 400 digits was answered with 500 and a trace.
    node.start().wait_until_ready()
    for digits in (20, 400, 5000):
        assert node.ask(deadline_ms="9" * digits).status == 200


def test_value_nested_too_deep_becomes_null() -> None:
    deep = "[" * 5000 + "]" * 5000
    text = f'{{"a": {deep}, "b": "[[\\"[", "c": [[1]]}}'
    decoded = decode_json(text.encode())
    assert (decoded["b"], decoded["c"]) == ('[["[', [[1]])
    value, depth = decoded["a"], 0
    while value:
        value, depth = value[0], depth + 1
    assert depth == MAX_DEPTH - 1
    for broken in (b"[" * 5000, b'{"a": ' + b"[" * 5000 + b"}", b'"' * 5001):
        with pytest.raises(ValueError, match=r"."):
            decode_json(broken)
