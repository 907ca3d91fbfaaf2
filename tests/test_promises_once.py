"""Steps of promises.feature: at most once, leaving servers, planned stop."""

from typing import Any

import anyio
from conftest import make_scenario, run_cluster
from helpers import executions, send_queries
from pytest_bdd import scenario, then, when
from simulation.cluster import SimulatedCluster

from yokesill.emulator.faults import ServerFaults
from yokesill.emulator.server_model import ServerModel
from yokesill.routing.events import Answer, Refuse, ServerObserved
from yokesill.store.base import Machine
from yokesill.verdict import Verdict

FEATURE = "features/promises.feature"
KEYS = [f"exam-{number}" for number in range(30)]


def bank_models(cluster: SimulatedCluster) -> list[Any]:
    return [model for model in cluster.models.values() if model.profile.service == "bank"]


async def ask_items(cluster: SimulatedCluster, count: int, **call: Any) -> list[Any]:
    return await send_queries(
        cluster, count, 0.02, service="bank", request_class="next", repeatable=False, **call
    )


@scenario(FEATURE, "The reply to a request that must not be repeated is lost")
def test_lost_item() -> None: ...


@when("every reply is lost after its attempt ran and exam items are asked for")
def lose_items(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        for model in bank_models(cluster):
            model.set_faults(ServerFaults(lose_reply_probability=1.0))
        finals = await ask_items(cluster, 30)
        return finals, executions(cluster)

    outcome["finals"], outcome["ran"] = run_cluster(body)
    assert all(final.failure.verdict is Verdict.MAY_HAVE_RUN for final in outcome["finals"])


@then("no exam item request ran twice")
def ran_once(outcome: dict[str, Any]) -> None:
    assert sum(outcome["ran"].values()) > 0
    assert max(outcome["ran"].values()) == 1


@scenario(FEATURE, "A slow request that must not be repeated is not hedged")
def test_no_hedge() -> None: ...


@when("exam items are asked for with stragglers and a hedging policy")
def slow_items(outcome: dict[str, Any]) -> None:
    scenario_values = make_scenario().model_dump(by_alias=True)
    bank = scenario_values["services"][1]
    bank["classes"]["next"]["rules"][0]["then"]["hedge"] = {"quantile": 0.5, "minimum_delay_ms": 1}
    hedging = type(make_scenario()).model_validate(scenario_values)

    async def body(cluster: SimulatedCluster) -> Any:
        for model in bank_models(cluster):
            model.set_faults(ServerFaults(straggle_probability=0.5, straggle_factor=20))
        await ask_items(cluster, 200)
        return executions(cluster)

    outcome["ran"] = run_cluster(body, scenario=hedging)


async def ask_keys(cluster: SimulatedCluster, nodes: list[int]) -> dict[str, list[Any]]:
    finals: dict[str, list[Any]] = {key: [] for key in KEYS}

    async def one(key: str, node: int) -> None:
        call = cluster.call("bank", "next", repeatable=False, idempotency_key=key)
        finals[key].append(await cluster.query(node, call))

    async with anyio.create_task_group() as task_group:
        for number, key in enumerate(KEYS):
            task_group.start_soon(one, key, nodes[number % len(nodes)])
            await anyio.sleep(0.01)
    return finals


@scenario(FEATURE, "A repeat with the same key reaches another node after the owner was lost")
def test_owner_lost() -> None: ...


@when("exam items are asked for with a key, the owner is killed, and each is repeated elsewhere")
def owner_lost(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        first = await ask_keys(cluster, [0, 1, 2, 3])
        ran_before = sum(executions(cluster).values())
        cluster.kill_node(0)
        early = await ask_keys(cluster, [1, 2, 3])
        await cluster.until(lambda: all(len(n.node.table.serving()) == 3 for n in cluster.nodes.values()), 30)
        late = await ask_keys(cluster, [3, 1, 2])
        return first, early, late, sum(executions(cluster).values()) - ran_before

    outcome["first"], outcome["early"], outcome["repeats"], outcome["ran_again"] = run_cluster(body, nodes=4)
    for key in KEYS:
        # Until the loss is noticed a repeat may be refused, but never says other than the truth.
        (final,) = outcome["early"][key]
        if isinstance(final, Answer):
            assert final.results == outcome["first"][key][0].results


@scenario(FEATURE, "A repeat meets a new owner that has just joined")
def test_new_owner() -> None: ...


@when("exam items are asked for with a key, a node joins, and each is repeated at every node")
def new_owner(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        first = await ask_keys(cluster, [0, 1, 2])
        ran_before = sum(executions(cluster).values())
        cluster.start_node(3)
        await cluster.until(cluster.settled, 30)
        repeats = await ask_keys(cluster, [3, 0, 1, 2])
        return first, repeats, sum(executions(cluster).values()) - ran_before

    outcome["first"], outcome["repeats"], outcome["ran_again"] = run_cluster(body)


@scenario(FEATURE, "A caller leaves and asks again with the same key")
def test_caller_leaves() -> None: ...


@when("callers of slow exam items leave midway and repeat them with their keys")
def caller_leaves(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        for model in bank_models(cluster):
            model.set_faults(ServerFaults(slow_factor=50))
        with anyio.move_on_after(0.35):
            await ask_keys(cluster, [0, 1, 2])
        left = sum(executions(cluster).values())
        repeats = await ask_keys(cluster, [1, 2, 0])
        again = await ask_keys(cluster, [2, 0, 1])
        return left, repeats, again, executions(cluster)

    left, outcome["first"], outcome["repeats"], ran = run_cluster(body)
    assert left > 0
    outcome["ran_again"] = sum(ran.values()) - len(KEYS)


@then("each key ran at most once and a finished one got the same answer again")
def same_again(outcome: dict[str, Any]) -> None:
    assert outcome["ran_again"] == 0
    for key in KEYS:
        (first,), (repeat,) = outcome["first"][key], outcome["repeats"][key]
        assert isinstance(first, Answer)
        assert isinstance(repeat, Answer), repeat
        assert repeat.results == first.results


async def load_until(cluster: SimulatedCluster, seconds: float) -> None:
    end = anyio.current_time() + seconds
    while anyio.current_time() < end:
        await send_queries(cluster, len(cluster.nodes), 0.005)


@scenario(FEATURE, "The machine list says that a server is leaving")
def test_list_leaving() -> None: ...


async def list_first_as_leaving(cluster: SimulatedCluster) -> tuple[ServerModel, int, float]:
    """List a server that has work as leaving: its model, what it ran before, and when."""
    address, model = next(iter(cluster.models.items()))
    await load_until(cluster, 1)
    before = len(model.executions)
    cluster.store_model.machines[address] = Machine(address, "server", True)
    return model, before, anyio.current_time()


@when("the machine list marks a server as leaving while every node sends it work")
def list_leaving(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        model, before, marked = await list_first_as_leaving(cluster)
        await load_until(cluster, 6)
        return before, [each.started_at - marked for each in model.executions]

    outcome["before"], outcome["times"] = run_cluster(body, nodes=6)


@scenario(FEATURE, "One node learns from a reply that a server is leaving")
def test_reply_leaving() -> None: ...


@when("a server tells only one node that it is leaving")
def reply_leaving(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        address, model = next(iter(cluster.models.items()))
        await load_until(cluster, 1)
        before = len(model.executions)
        # The server goes on taking work (a broken drain): only what the one node learnt can stop it.
        model.set_faults(ServerFaults(leaving=True, ignore_drain=True))
        told = cluster.node(2)
        report = await told._backends.check(address)
        model.set_faults(ServerFaults())
        marked = anyio.current_time()
        told.driver.feed(ServerObserved(address, report, marked))
        await load_until(cluster, 6)
        return before, [each.started_at - marked for each in model.executions]

    outcome["before"], outcome["times"] = run_cluster(body, nodes=6)


@scenario(FEATURE, "A node starts after a server was listed as leaving")
def test_restart_leaving() -> None: ...


@when("a server is listed as leaving and a node restarts afterwards")
def restart_leaving(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        model, before, marked = await list_first_as_leaving(cluster)
        await anyio.sleep(10)
        # A watcher would read the list itself; the others can only learn from their peers.
        others = [index for index in range(6) if not cluster.node(index).watcher.watching]
        assert len(others) == 4
        for index in others:
            cluster.kill_node(index)
            await anyio.sleep(3)
            cluster.start_node(index)
            await cluster.until(cluster.node(index).router.services, 10)
            await anyio.sleep(1)
        await load_until(cluster, 2)
        return before, [each.started_at - marked for each in model.executions]

    outcome["before"], outcome["times"] = run_cluster(body, nodes=6)


@then("no node sends it new work after 2 seconds")
def no_new_work(outcome: dict[str, Any]) -> None:
    assert outcome["before"] > 0
    late = [at for at in outcome["times"] if at > 2.0]
    assert not late


@scenario(FEATURE, "A node is stopped with requests in flight")
def test_stop() -> None: ...


@when("a node is stopped while slow requests are in flight on it")
def stop_node(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        for model in cluster.models.values():
            model.set_faults(ServerFaults(slow_factor=400))
        running = cluster.nodes[cluster.address_of(1)]
        finals: list[Any] = []
        refused: list[Any] = []

        async def one(into: list[Any]) -> None:
            into.append(await running.node.query(cluster.call("hours", "patient", deadline_ms=9000)))

        async with anyio.create_task_group() as task_group:
            for _ in range(10):
                task_group.start_soon(one, finals)
            await anyio.sleep(0.5)
            running.node.stop()
            await anyio.sleep(1.05)
            assert running.node.lifecycle.state == "draining"
            task_group.start_soon(one, refused)
        await cluster.until(lambda: running.stopped, 30)
        known = cluster.node(0).table.get(cluster.address_of(1))
        return finals, refused, running.node.lifecycle.state, known.status.name

    values = make_scenario().model_dump(by_alias=True)
    values["services"][0]["classes"]["patient"] = {"rules": [{"then": {"wait_ms": 9000}}]}
    patient = type(make_scenario()).model_validate(values)
    outcome["finals"], outcome["refused"], outcome["state"], outcome["known"] = run_cluster(
        body, scenario=patient
    )


@then("all of them are answered and the node ends as stopped")
def all_answered(outcome: dict[str, Any]) -> None:
    assert len(outcome["finals"]) == 10
    assert all(isinstance(final, Answer) for final in outcome["finals"]), outcome["finals"]
    assert outcome["state"] == "stopped"
    assert outcome["known"] == "LEAVING"


@then("requests that come while it drains are refused as not run")
def refused_while_draining(outcome: dict[str, Any]) -> None:
    (final,) = outcome["refused"]
    assert isinstance(final, Refuse)
    assert final.failure.verdict is Verdict.NOT_RUN
    assert final.failure.retry_after_ms > 0
