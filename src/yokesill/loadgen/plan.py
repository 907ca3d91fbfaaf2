"""Plans seeded open-loop arrivals; slow answers do not reduce the load."""

import random
from dataclasses import dataclass

from yokesill.emulator.scenario import Load, Scenario


@dataclass(frozen=True, slots=True)
class Arrival:
    """A query to send ``at`` seconds after the start, regardless of the outcome of others."""

    at: float
    service: str
    load: Load
    key: str | None
    idempotency_key: str | None


def plan_arrivals(scenario: Scenario, seconds: float, factor: float, seed: int) -> list[Arrival]:
    """Return the Poisson arrivals of all classes in order of time; rates are multiplied by ``factor``."""
    source = random.Random(seed)
    arrivals: list[Arrival] = []
    for service in scenario.services:
        for load in service.load:
            at = source.expovariate(load.rate * factor)
            while at < seconds:
                key = f"key-{source.randrange(10_000)}" if load.keyed else None
                idempotency_key = None if load.repeatable else f"once-{source.getrandbits(64):x}"
                arrivals.append(Arrival(at, service.name, load, key, idempotency_key))
                at += source.expovariate(load.rate * factor)
    return sorted(arrivals, key=lambda each: each.at)
