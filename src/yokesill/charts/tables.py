"""Loads charts with sismic and flattens those that step often to transition tables.

sismic's interpreter needs about 200 us per event, too much for charts that step thousands of times a
second. Only charts without nested states, guards or actions can be flattened.
"""

from importlib import resources

from sismic.io import import_from_yaml
from sismic.model import Statechart

from yokesill.charts.flat import TransitionTable


def load_chart(name: str) -> Statechart:
    """Load and validate the chart ``name`` of this package."""
    text = resources.files("yokesill.charts").joinpath(f"{name}.yaml").read_text()
    chart = import_from_yaml(text)
    chart.validate()
    return chart


def flatten_chart(name: str) -> TransitionTable:
    """Return the chart ``name`` as ``{(state, event): next state}``.

    Raises ``ValueError`` for a chart with guards, actions or nested states.
    """
    chart = load_chart(name)
    root = chart.root
    table: TransitionTable = {}
    for transition in chart.transitions:
        if transition.guard or transition.action or chart.parent_for(transition.source) != root:
            raise ValueError(
                f"chart {name!r} cannot be flattened: the transition from {transition.source!r} has a guard,"
                " an action or a nested source state"
            )
        table[(transition.source, transition.event)] = transition.target
    return table
