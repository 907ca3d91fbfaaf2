"""Helpers of the promise tests: operator changes, and checks of answers against server logs."""

import copy
from collections import Counter
from typing import Any

import anyio
from simulation.cluster import SimulatedCluster

from yokesill.node import Node
from yokesill.query.driver import FinalAnswer
from yokesill.resources.keys import ServiceName
from yokesill.resources.objects import StoredObject
from yokesill.routing.events import Answer, Refuse
from yokesill.store.changes import Accepted, Change, ChangeOutcome, commit
from yokesill.verdict import Verdict

HOURS = ServiceName("lima", "hours")


def changed_policy(cluster: SimulatedCluster, mark: int) -> dict[str, Any]:
    """Return the hours service with a wait of ``1000 + mark`` ms, which identifies the change."""
    value = copy.deepcopy(cluster.documents[HOURS.key])
    value["classes"]["search"]["rules"][-1]["then"]["wait_ms"] = 1000 + mark
    return value


async def change_service(
    node: Node, value: dict[str, Any], nonce: str = "n1", base: int | None = None
) -> ChangeOutcome:
    """Commit a change, apply it at ``node`` and push it to peers, as the administration API does."""
    stored = node.replica.state.get(HOURS.key)
    assert stored is not None
    change = Change(HOURS.key, stored.revision if base is None else base, nonce, value)
    outcome = await commit(node.store, change)
    if isinstance(outcome, Accepted):
        await node.apply_committed(outcome.stored)
    return outcome


def wait_in_force(node: Node) -> float:
    """Return the wait of the node's current compiled policy, in ms."""
    rules = node.catalog.services[HOURS].policies["search"].rules
    return rules[-1].outcome.wait_ms  # type: ignore[union-attr]


def revision_of(node: Node) -> int:
    stored = node.replica.state.get(HOURS.key)
    return stored.revision if stored else 0


async def send_queries(cluster: SimulatedCluster, count: int, pause: float, **call: Any) -> list[FinalAnswer]:
    """Send ``count`` queries to the nodes in turn, ``pause`` seconds apart; return the final answers."""
    finals: list[FinalAnswer] = []

    async def send(number: int) -> None:
        service = call.get("service", "hours")
        rest = {name: value for name, value in call.items() if name not in ("service", "request_class")}
        request = cluster.call(service, call.get("request_class", "search"), **rest)
        finals.append(await cluster.query(number % len(cluster.nodes), request))

    async with anyio.create_task_group() as task_group:
        for number in range(count):
            task_group.start_soon(send, number)
            await anyio.sleep(pause)
    return finals


def assert_complete_answer(final: FinalAnswer, records: int = 64) -> None:
    """Assert that the answer has one snapshot, full coverage and every entry exactly once."""
    assert isinstance(final, Answer), final
    assert final.coverage.fraction == 1.0
    assert {entry["version"] for entry in final.results} == {final.snapshot.version}
    counts = Counter(entry["id"] for entry in final.results)
    assert len(counts) == records
    assert set(counts.values()) == {1}


def executions(cluster: SimulatedCluster) -> Counter[str]:
    """Return how many attempts of each query ran, by query id."""
    return Counter(each.query_id for model in cluster.models.values() for each in model.executions)


def assert_not_run_verdicts_hold(cluster: SimulatedCluster, finals: list[FinalAnswer]) -> None:
    ran = executions(cluster)
    for final in finals:
        if isinstance(final, Refuse) and final.failure.verdict is Verdict.NOT_RUN:
            assert ran[final.query_id] == 0, final


def stale_object(revision: int = 1) -> StoredObject:
    return StoredObject(HOURS.key, revision, "old", {"kind": "service"})
