"""Runs a cluster under random faults of every kind, with several seeds, and checks every promise."""

import random
from typing import Any

import anyio
import pytest
from conftest import run_cluster
from helpers import change_service, changed_policy, revision_of
from simulation.cluster import SimulatedCluster
from simulation.outcomes import fill_from_final

from yokesill.emulator.faults import ServerFaults, StoreFaults
from yokesill.loadgen.checkers import check_outcomes
from yokesill.loadgen.outcomes import Outcome
from yokesill.store.base import Machine
from yokesill.store.changes import Accepted

LOAD_SECONDS = 20.0
NODES = 6
RECORDS = {"hours": 64, "bank": 64}
SERVER_FAULTS = (
    {"straggle_probability": 0.05, "straggle_factor": 50},
    {"shed_probability": 0.5},
    {"lose_reply_probability": 0.3},
    {"load_lie": 5.0},
    {"frozen": True},
    {"dead": True},
)
STORE_FAULTS = (
    {"down": True},
    {"delay_ms": 500},
    {"lose_answers": 2},
    {"lose_requests": 1},
    {"stale_reads": True},
    {"break_watches": True},
)


async def load(cluster: SimulatedCluster, source: random.Random, outcomes: list[Outcome]) -> None:
    async def send(number: int) -> None:
        item_request = number % 4 == 0
        service, request_class = ("bank", "next") if item_request else ("hours", "search")
        key = f"once-{source.randrange(60)}" if item_request and number % 8 == 0 else None
        call = cluster.call(service, request_class, repeatable=not item_request, idempotency_key=key)
        address = source.choice(sorted(cluster.nodes))
        sent = anyio.current_time()
        # A killed node never answers: its queries are missing from the outcomes, but not from the executions.
        with anyio.move_on_after(5):
            final = await cluster.nodes[address].node.query(call)
            latency = anyio.current_time() - sent
            outcome = Outcome(service, request_class, not item_request, False, sent, latency, "")
            fill_from_final(outcome, final)
            if key is None:
                outcomes.append(outcome)

    async with anyio.create_task_group() as task_group:
        end = anyio.current_time() + LOAD_SECONDS
        number = 0
        while anyio.current_time() < end:
            number += 1
            task_group.start_soon(send, number)
            await anyio.sleep(0.01 + 0.02 * source.random())


async def server_faults(cluster: SimulatedCluster, source: random.Random) -> None:
    models = list(cluster.models.values())
    while True:
        await anyio.sleep(source.random())
        model = source.choice(models)
        choice = source.random()
        if choice < 0.5:
            model.set_faults(ServerFaults(**source.choice(SERVER_FAULTS)))
        elif choice < 0.6:
            cluster.store_model.machines[model.profile.address] = Machine(
                model.profile.address, "server", True
            )
            model.set_faults(ServerFaults(leaving=True))
        elif choice < 0.7:
            version = max(version for _, version in model.holdings)
            for each in models:
                each.holdings = {(1, version), (1, version + 1)}
        elif choice < 0.8:
            for each in models:
                each.holdings = {max(each.holdings)}
        else:
            for each in models:
                if not each.faults.leaving and source.random() < 0.7:
                    each.set_faults(ServerFaults())


async def node_faults(cluster: SimulatedCluster, source: random.Random) -> None:
    while True:
        await anyio.sleep(1 + 3 * source.random())
        choice = source.random()
        if choice < 0.4:
            index = source.randrange(NODES)
            if cluster.address_of(index) in cluster.nodes:
                cluster.kill_node(index)
                await anyio.sleep(source.random() * 2)
                cluster.start_node(index)
        elif choice < 0.7:
            cluster.cut(source.choice(cluster.scenario.zones))
            await anyio.sleep(source.random() * 5)
            cluster.heal()
        else:
            cluster.store_model.set_faults(StoreFaults(**source.choice(STORE_FAULTS)))
            await anyio.sleep(source.random() * 3)
            cluster.store_model.set_faults(StoreFaults())


async def change_policies(cluster: SimulatedCluster, source: random.Random, accepted: list[int]) -> None:
    number = 0
    while True:
        await anyio.sleep(source.random())
        number += 1
        ready = [each.node for each in cluster.nodes.values() if each.node.ready]
        if not ready:
            continue
        node = source.choice(ready)
        result = await change_service(node, changed_policy(cluster, number), f"o{number}")
        if isinstance(result, Accepted):
            accepted.append(result.stored.revision)


async def watch_revisions(cluster: SimulatedCluster, reverted: list[str]) -> None:
    seen: dict[int, int] = {}
    while True:
        await anyio.sleep(0.05)
        for address, running in cluster.nodes.items():
            revision = revision_of(running.node)
            if revision < seen.get(id(running), 0):
                reverted.append(f"{address}: {seen[id(running)]} to {revision}")
            seen[id(running)] = revision


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_violate_no_promise(seed: int) -> None:
    outcomes: list[Outcome] = []
    accepted: list[int] = []
    reverted: list[str] = []

    async def body(cluster: SimulatedCluster) -> Any:
        source = random.Random(seed)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(server_faults, cluster, source)
            task_group.start_soon(node_faults, cluster, source)
            task_group.start_soon(change_policies, cluster, source, accepted)
            task_group.start_soon(watch_revisions, cluster, reverted)
            await load(cluster, source, outcomes)
            task_group.cancel_scope.cancel()
        cluster.heal()
        cluster.store_model.set_faults(StoreFaults())
        for index in range(NODES):
            if cluster.address_of(index) not in cluster.nodes:
                cluster.start_node(index)
        newest = max(accepted, default=0)
        await cluster.until(
            lambda: all(
                running.node.ready and revision_of(running.node) >= newest
                for running in cluster.nodes.values()
            ),
            30,
        )
        return [each for model in cluster.models.values() for each in model.executions]

    executions = run_cluster(body, nodes=NODES, seed=seed)
    violations = check_outcomes(outcomes, executions, "lima", RECORDS)
    assert not violations, violations[:5]
    assert not reverted
    assert len(accepted) > 3
    answered = sum(outcome.answered for outcome in outcomes)
    assert answered > len(outcomes) * 0.3
