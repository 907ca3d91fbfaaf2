"""The flattened charts are the charts."""

import pytest

from yokesill.charts.flat import FLAT_FILE, transition_table
from yokesill.charts.flatten import FLAT_CHARTS, flat_text
from yokesill.charts.tables import flatten_chart, load_chart


def test_the_committed_file_is_generated_from_the_charts() -> None:
    assert FLAT_FILE.read_text() == flat_text(), "run python -m yokesill.charts.flatten"


@pytest.mark.parametrize("name", FLAT_CHARTS)
def test_every_flat_chart_starts_at_its_initial_state_and_reaches_every_state(name: str) -> None:
    chart = load_chart(name)
    table = transition_table(name)
    assert table == flatten_chart(name)
    initial = chart.state_for(chart.root).initial
    reached = {initial, *table.values()}
    assert reached == set(chart.children_for(chart.root))
