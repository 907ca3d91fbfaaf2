"""Roll-outs under several random faults at a time, drawn from a seed."""

import random

import pytest
from rollout_fleet import Fleet
from rollout_world import NEW

from yokesill.rollouts.orders import RolloutState


def inject_fault(fleet: Fleet, source: random.Random) -> None:
    """Inject or repair one random fault."""
    name = source.choice(sorted(fleet.nodes))
    node = fleet.nodes[name]
    kind = source.randrange(8)
    if kind == 0:
        node.alive = False
    elif kind in (1, 2):
        fleet.restart(name)
    elif kind == 3:
        node.paused = not node.paused
    elif kind == 4:
        fleet.cut_links = (
            set() if fleet.cut_links else {(name, other) for other in fleet.nodes if other != name}
        )
    elif kind == 5:
        fleet.registry.refused_nodes ^= {name}
    elif kind == 6:
        state = source.choice([*RolloutState][1:])
        fleet.registry.lost_answers.append((state, source.random() < 0.5))
    elif fleet.registry.delayed_writes:
        fleet.registry.apply("late", fleet.registry.delayed_writes.pop())


@pytest.mark.parametrize("seed", range(24))
def test_random_faults_leave_exactly_one_final_state(seed: int) -> None:
    source = random.Random(seed)
    fleet = Fleet(6, seed=seed)
    fleet.loss = 0.1
    fleet.run(1.0)
    fleet.registry.put("svc")
    bad = seed % 2 == 1
    for server in fleet.servers:
        if bad and server.version == NEW:
            server.failure_rate = lambda _now, _route: 0.6
    for _ in range(24):
        fleet.run(0.5)
        inject_fault(fleet, source)
    fleet.cut_links = set()
    fleet.registry.refused_nodes.clear()
    fleet.registry.lost_answers.clear()
    for name, node in fleet.nodes.items():
        node.paused = False
        if not node.alive:
            fleet.restart(name)
    fleet.run(16.0)
    (final_states,) = fleet.registry.final_states.values()
    assert len(final_states) == 1 and fleet.state() in final_states
    assert {node.effective_state("svc") for node in fleet.nodes.values()} == final_states
    if bad:
        assert final_states == {RolloutState.ROLLED_BACK}
