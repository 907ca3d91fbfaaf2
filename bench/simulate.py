"""The two deployments in virtual time: yokesill against the thin baseline, with and without faults.

Prints a table and writes ``bench/results/simulation.json``. Virtual time has no processor cost:
it shows what the decisions are worth, not what they cost.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import anyio
import trio.testing
from results_file import revision, write_results

from yokesill import logs
from yokesill.emulator.faults import ServerFaults
from yokesill.emulator.scenario import FaultEvent, Scenario, load_scenario
from yokesill.loadgen.summary import RunSummary
from yokesill.simulation.experiment import run_experiment

BENCH = Path(__file__).parent
SECONDS = 10.0
OVERLOAD_SECONDS = 6.0
SLOWED = 10
WORKERS = 6
MEAN_OF_LOGNORMAL = 1.063
OVERLOAD = 1.5
THIN = {"routing": {"thin": True}}
STRAGGLERS = FaultEvent(at=0, faults=ServerFaults(straggle_probability=0.01, straggle_factor=10))
LOST = FaultEvent(at=0.001, replica=0, shard=0, faults=ServerFaults(dead=True, straggle_probability=0.01))


def with_events(scenario: Scenario, *events: FaultEvent) -> Scenario:
    """Return the scenario with faults."""
    return scenario.model_copy(update={"events": events})


def slowed(scenario: Scenario) -> Scenario:
    """Return the first service alone, its servers ten times slower, to reach capacity with less load."""
    service = scenario.services[0]
    slow = service.model_copy(update={"service_time_ms": service.service_time_ms * SLOWED})
    return scenario.model_copy(update={"services": (slow,)})


def capacity_factor(scenario: Scenario) -> float:
    """Return the load factor at which the slots of the (only) service are all busy."""
    service = scenario.services[0]
    rate = sum(load.rate * (service.shards if not load.keyed else 1) for load in service.load)
    slots = service.slots * service.shards * service.replicas
    return slots / (rate * service.service_time_ms * MEAN_OF_LOGNORMAL / 1000)


def run(
    name: str, scenario: Scenario, factor: float, settings: dict[str, Any] | None, seconds: float
) -> RunSummary:
    """Run one experiment in virtual time."""
    logs.configure("error")

    async def main() -> RunSummary:
        summary, violations = await run_experiment(name, scenario, 4, seconds, factor, 1, settings)
        for each in violations[:3]:
            print(f"  violation in {name}: {each}", file=sys.stderr)
        return summary

    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})


def main() -> int:
    """Run every experiment, print the table and write the results."""
    logs.configure("error")
    results = []
    header = (
        "run",
        "p50",
        "p99",
        "p99.9",
        "answered",
        "whole",
        "extra",
        "goodput",
        "refused in p99",
        "broken",
    )
    print("{:34} {:>7} {:>7} {:>7} {:>9} {:>7} {:>7} {:>8} {:>14} {:>6}".format(*header))
    with ProcessPoolExecutor(WORKERS) as pool:
        for future in [pool.submit(run, *each) for each in experiments()]:
            results.append(future.result())
            print_row(results[-1])
    output = {"revision": revision(), "seconds": SECONDS, "runs": [each.to_json() for each in results]}
    write_results("simulation", output)
    return 0


def experiments() -> list[tuple[str, Scenario, float, dict[str, Any] | None, float]]:
    """Return every run: its name, scenario, load factor, settings and length in virtual seconds."""
    runs: list[tuple[str, Scenario, float, dict[str, Any] | None, float]] = []
    for deployment in ("lima", "nairobi"):
        scenario = load_scenario(BENCH / "scenarios" / f"{deployment}.yaml")
        assert isinstance(scenario, Scenario), scenario
        slow = slowed(scenario)
        capacity = capacity_factor(slow)
        for variant, changed, factor, seconds in (
            ("plain", scenario, 1.0, SECONDS),
            ("stragglers+lost", with_events(scenario, STRAGGLERS, LOST), 1.0, SECONDS),
            ("at capacity", slow, capacity, OVERLOAD_SECONDS),
            ("1.5x capacity", slow, OVERLOAD * capacity, OVERLOAD_SECONDS),
        ):
            for mode, settings in (("full", None), ("thin", THIN)):
                runs.append((f"{deployment} {variant} {mode}", changed, factor, settings, seconds))
    return runs


def print_row(summary: RunSummary) -> None:
    """Print one run's figures."""
    total = summary.total
    latency = total.latency_ms
    print(
        f"{summary.name:34} {latency.get('p50', 0):7.1f} {latency.get('p99', 0):7.1f} "
        f"{latency.get('p99.9', 0):7.1f} {total.answered / max(1, total.sent):9.4f} "
        f"{total.whole / max(1, total.answered):7.4f} {summary.extra_load:7.4f} {summary.goodput:8.1f} "
        f"{summary.refusal_ms.get('p99', 0):14.1f} {sum(summary.violations.values()):6}",
        flush=True,
    )


if __name__ == "__main__":
    raise SystemExit(main())
