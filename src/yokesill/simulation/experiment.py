"""Experiments in virtual time: a scenario's load and faults against real nodes, the same every run."""

import random
from typing import Any

import anyio

from yokesill.emulator.running import run_events
from yokesill.emulator.scenario import Scenario, place_servers
from yokesill.loadgen.checkers import Violation, check_outcomes
from yokesill.loadgen.outcomes import Outcome, fill_from_final
from yokesill.loadgen.plan import Arrival, plan_arrivals
from yokesill.loadgen.summary import RunSummary, summarise
from yokesill.simulation.cluster import FIRST_SERVER_PORT, SERVER_HOST, SimulatedCluster

WARM_UP = 3.0


async def run_experiment(
    name: str,
    scenario: Scenario,
    nodes: int,
    seconds: float,
    factor: float = 1.0,
    seed: int = 1,
    settings: dict[str, dict[str, Any]] | None = None,
) -> tuple[RunSummary, list[Violation]]:
    """Run a scenario's load for ``seconds`` of virtual time; return its figures and violations."""
    outcomes: list[Outcome] = []
    async with anyio.create_task_group() as task_group:
        cluster = SimulatedCluster(scenario, task_group, random.Random(seed), settings_changes=settings or {})
        await cluster.start(nodes)
        await _send_all(cluster, plan_arrivals(scenario, WARM_UP, factor, seed + 1), [])
        placed = place_servers(scenario, SERVER_HOST, FIRST_SERVER_PORT)
        task_group.start_soon(run_events, scenario, placed, cluster.models)
        before = _attempts(cluster)
        await _send_all(cluster, plan_arrivals(scenario, seconds, factor, seed), outcomes)
        attempts = [now - then for now, then in zip(_attempts(cluster), before, strict=True)]
        executions = [each for model in cluster.models.values() for each in model.executions]
        task_group.cancel_scope.cancel()
    records = {service.name: service.records for service in scenario.services}
    violations = check_outcomes(outcomes, executions, scenario.namespace, records)
    return summarise(name, seconds, outcomes, sum(attempts), attempts[0], violations), violations


def _attempts(cluster: SimulatedCluster) -> tuple[int, int]:
    """Return first and extra attempts of all nodes so far."""
    services = [each for running in cluster.nodes.values() for each in running.node.router.services()]
    first = sum(each.first_attempts for each in services)
    return first, sum(each.extra_attempts for each in services)


async def _send_all(cluster: SimulatedCluster, arrivals: list[Arrival], outcomes: list[Outcome]) -> None:
    """Send every arrival at its time, round the nodes, and wait for all the ends."""
    started = anyio.current_time()

    async def one(number: int, arrival: Arrival) -> None:
        load = arrival.load
        call = cluster.call(
            arrival.service,
            load.request_class,
            key=arrival.key,
            repeatable=load.repeatable,
            deadline_ms=load.deadline_ms,
            idempotency_key=arrival.idempotency_key,
        )
        final = await cluster.query(number % len(cluster.nodes), call)
        latency = anyio.current_time() - started - arrival.at
        outcome = Outcome(
            arrival.service, load.request_class, load.repeatable, load.keyed, arrival.at, latency, ""
        )
        fill_from_final(outcome, final)
        outcomes.append(outcome)

    async with anyio.create_task_group() as task_group:
        for number, arrival in enumerate(arrivals):
            await anyio.sleep(max(0.0, started + arrival.at - anyio.current_time()))
            task_group.start_soon(one, number, arrival)
