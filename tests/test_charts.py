"""Tests that the flattened transition tables match the charts."""

import pytest

from yokesill.charts.flat import TRANSITIONS_FILE, transition_table
from yokesill.charts.flatten import FLAT_CHARTS, render_transitions
from yokesill.charts.tables import flatten_chart, load_chart


def test_transitions_file_matches_the_charts() -> None:
    assert TRANSITIONS_FILE.read_text() == render_transitions(), "run python -m yokesill.charts.flatten"


@pytest.mark.parametrize("name", FLAT_CHARTS)
def test_transition_table_matches_its_chart_and_reaches_every_state(name: str) -> None:
    chart = load_chart(name)
    table = transition_table(name)
    assert table == flatten_chart(name)
    initial = chart.state_for(chart.root).initial
    reached = {initial, *table.values()}
    assert reached == set(chart.children_for(chart.root))
