import hashlib
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import yaml
from launcher import Deployment
from pytest_bdd import given, scenarios, then

from yokesill.cli.documents import read_documents
from yokesill.comm.sealing import Sealer
from yokesill.settings import Settings, parse_settings

scenarios("features/bad_input.feature")

EXAMPLE = Path(__file__).parent.parent / "examples" / "scenario.yaml"
PATH = "/v1/namespaces/lima/services/hours/query"
GOOD = {"class": "weekly-search", "query": {}, "deadline_ms": 2000}
SERVICE = "/v1/namespaces/lima/services/hours"
VIEWER = {"Authorization": "Bearer viewer-secret"}

DOCUMENT = """
key: namespaces/lima/services/hours
kind: service
shard_maps: [{epoch: 1, shards: [{id: s0, range: {start: 0, end: 4294967296}}]}]
classes:
  c:
    rules: [{when: "true", then: {wait_ms: 5}}, {when: "true", then: {wait_ms: 5}}, {then: {wait_ms: 5}}]
"""

BAD_QUERIES: list[tuple[str, Any, dict[str, str], int, str]] = [
    (PATH, b"{nonsense", {}, 400, "malformed_json"),
    (PATH, [1], {}, 400, "invalid_request"),
    (PATH, {**GOOD, "deadline_ms": -1}, {}, 400, "invalid_request"),
    (PATH, {**GOOD, "surprise": 1}, {}, 400, "invalid_request"),
    (PATH, {**GOOD, "minimum_coverage": 2}, {}, 400, "invalid_request"),
    (PATH, GOOD, {"Idempotency-Key": "k" * 201}, 400, "invalid_request"),
    (PATH, {**GOOD, "query": "x" * 2_000_000}, {}, 413, "body_too_large"),
    (PATH, {**GOOD, "class": "unheard-of"}, {}, 404, "unknown_class"),
    (PATH.replace("hours", "weeks"), GOOD, {}, 404, "unknown_service"),
    (PATH, GOOD, {"Authorization": "Bearer wrong"}, 401, "unauthenticated"),
    (PATH, GOOD, VIEWER, 403, "forbidden"),
    (PATH, {**GOOD, "deadline_ms": 10}, {}, 429, "policy_refused"),
]


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    running = Deployment(tmp_path, EXAMPLE, ["z1"])
    yield running
    running.stop()


@given("stand-ins and one node as separate processes with the example documents in force")
def start(deployment: Deployment) -> None:
    deployment.start_stand_ins()
    deployment.start_node(0)
    deployment.cli("apply", str(deployment.documents()), node=0)
    token = {"kind": "token", "sha256": hashlib.sha256(b"viewer-secret").hexdigest(), "role": "viewer"}
    assert deployment.call(0, "PUT", "/v1/namespaces/lima/tokens/watcher", token)[0] == 200
    deployment.wait_until(lambda: deployment.call(0, "POST", PATH, GOOD)[0] == 200)


def executions(deployment: Deployment) -> int:
    addresses = [
        replica["address"]
        for document in yaml.safe_load_all(deployment.documents().read_text())
        for replica in document.get("replicas", [])
    ]
    return sum(len(deployment._http("GET", each, "/executions")[1]["executions"]) for each in addresses)


@then("each bad query is refused with its status and reason and nothing runs")
def bad_queries(deployment: Deployment) -> None:
    before = executions(deployment)
    for path, body, headers, status, reason in BAD_QUERIES:
        got, reply = deployment.call(0, "POST", path, body, **headers)
        assert (got, reply["reason"], reply["verdict"]) == (status, reason, "not_run"), (body, reply)
    assert executions(deployment) == before


@then("each bad change is refused with its place and nothing changes")
def bad_changes(deployment: Deployment) -> None:
    _, current = deployment.call(0, "GET", SERVICE)
    document, etag = current["document"], {"If-Match": f'"{current["revision"]}"'}
    classes = {"c": {"rules": [{"when": "nonsense > 1", "then": {"wait_ms": 5}}, {"then": {"wait_ms": 0}}]}}
    cases: list[tuple[str, str, Any, dict[str, str], int]] = [
        ("PUT", SERVICE, document, {}, 428),
        ("PUT", SERVICE, document, {"If-Match": '"1"'}, 412),
        ("PUT", SERVICE, document, {"If-Match": "x"}, 400),
        ("PUT", SERVICE, document, {**etag, **VIEWER}, 403),
        ("PUT", SERVICE, {**document, "classes": classes}, etag, 400),
        ("PUT", SERVICE, {**document, "surprise": 1}, etag, 400),
        ("PUT", SERVICE, b"[", etag, 400),
        ("PUT", "/v1/namespaces/UPPER", {"kind": "namespace"}, {}, 404),
        ("DELETE", "/v1/namespaces/lima/services/none", None, {}, 404),
        ("GET", "/v1/changes/not-an-id", None, {}, 404),
    ]
    for method, path, body, headers, status in cases:
        got, reply = deployment.call(0, method, path, body, **headers)
        assert got == status, (method, path, got, reply)
        assert reply["detail"]
    assert deployment.call(0, "GET", SERVICE)[1] == current
    _, dry = deployment.call(0, "PUT", SERVICE + "?dry_run=1", document, **etag)
    assert dry["outcome"] == "valid"
    assert deployment.call(0, "GET", SERVICE)[1] == current


@then("forged and undecodable datagrams are counted and dropped")
def forged(deployment: Deployment) -> None:
    host, _, port = deployment.nodes[0].rpartition(":")
    key = bytes.fromhex("000102030405060708090a0b0c0d0e0f")
    frames = [b"", b"forged" * 10, Sealer([bytes(16)]).seal(b"\x80"), Sealer([key]).seal(b"\xff\xff")]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for frame in frames:
            sender.sendto(frame, (host, int(port)))

    def counted() -> bool:
        _, text = deployment.call(0, "GET", "/metrics")
        return "yokesill_frames_rejected 3.0" in text and "yokesill_frames_malformed 1.0" in text

    deployment.wait_until(counted)
    assert deployment.call(0, "POST", "/internal/v1/push", b"forged")[0] == 503


@then("the node still answers a good query")
def still_good(deployment: Deployment) -> None:
    assert deployment.call(0, "POST", PATH, GOOD)[0] == 200


@then("unknown settings keys, wrong values and broken files are named with their places")
def bad_settings() -> None:
    good = (EXAMPLE.parent / "node1.toml").read_text()
    assert isinstance(parse_settings(good), Settings)
    cases = {
        good + "\n[surprise]\nx = 1\n": "surprise",
        good.replace('zone = "z1"', 'zone = "z1"\nzoom = 1'): "node.zoom",
        good.replace("127.0.0.1:7101", "localhost", 1): "node.address",
        good.replace("keys = [", "keys = [] # ["): "cluster.keys",
        "x = ": "(file)",
    }
    for text, place in cases.items():
        errors = parse_settings(text)
        assert isinstance(errors, list)
        assert place in {each.place for each in errors}, errors


@then("every error of an invalid policy is named at once with its place")
def bad_policy(tmp_path: Path) -> None:
    rules = [
        {"when": "deadline_ms <", "then": {"wait_ms": 5}},
        {"when": "unheard_of > 1", "then": {"wait_ms": 5}},
        {"when": "deadline_ms", "then": {"wait_ms": 5}},
        {"when": "deadline_ms < 'a'", "then": {"wait_ms": 5}},
        {"when": "true", "then": {"wait_ms": 5}},
        {"when": "keyed", "then": {"wait_ms": 5}},
    ]
    shard = {"id": "s0", "range": {"start": 0, "end": 2**32}}
    maps = [{"epoch": 1, "shards": [shard]}]
    classes = {"a": {"rules": rules}, "b": {"rules": [{"when": "keyed", "then": {"wait_ms": 5}}]}}
    key = "namespaces/lima/services/hours"
    path = tmp_path / "documents.yaml"
    service = {"key": key, "kind": "service", "shard_maps": maps, "classes": classes}
    path.write_text(yaml.safe_dump(service))
    documents, errors = read_documents(path)
    assert not documents
    places = [each.place.removeprefix("document 1: ") for each in errors]
    assert places == [
        *(f"classes.a.rules.{index}.when" for index in range(4)),
        "classes.a.rules.5",
        "classes.b.rules",
    ]
    gap = [{"epoch": 1, "shards": [{"id": "s0", "range": {"start": 5, "end": 9}}]}]
    path.write_text(yaml.safe_dump({**service, "shard_maps": gap}))
    assert "gap at 0" in str(read_documents(path)[1][0])


def test_each_invalid_outcome_field_is_reported_once_with_its_location(tmp_path: Path) -> None:
    documents = yaml.safe_load(DOCUMENT)
    rules = documents["classes"]["c"]["rules"]
    rules[0]["then"] = {"wait_msec": 5, "wait_ms": "long"}
    rules[1]["then"] = {"refuse": "no", "retry": 3}
    rules[2]["then"] = "soon"
    file = tmp_path / "documents.yaml"
    file.write_text(yaml.safe_dump(documents))
    _, errors = read_documents(file)
    places = sorted(error.place.split("rules.")[-1] for error in errors)
    assert places == ["0.then.wait_ms", "0.then.wait_msec", "1.then.retry", "2.then"]
