"""The overload experiment with many nodes and shared servers: reproducibility and the effect of pacing."""

import pytest
from overload import SCENARIOS, Play, options_without

CALM, UNRESPONSIVE = SCENARIOS[0], SCENARIOS[-1]


def test_calm_scenario_is_served_in_time() -> None:
    figures = Play(CALM, 5, options_without([])).run()
    assert figures["search in time"] == figures["check in time"] == 1.0
    assert figures["rejected"] == 0


def test_same_seed_gives_the_same_result() -> None:
    assert Play(CALM, 3, options_without([])).run() == Play(CALM, 3, options_without([])).run()


def test_pacing_and_leaving_out_shorten_queues_and_serve_more() -> None:
    enabled = Play(UNRESPONSIVE, 1, options_without([])).run()
    disabled = Play(UNRESPONSIVE, 1, options_without(["paces", "leaves_out"])).run()
    assert enabled["rejected"] < disabled["rejected"] / 10
    assert enabled["search never"] < disabled["search never"]
    assert enabled["extra"] < disabled["extra"]


def test_unknown_switch_is_rejected() -> None:
    with pytest.raises(SystemExit, match="no such switch: paging; known: leaves_out"):
        options_without(["paging"])
