"""Loads the transition tables of the frequently stepped charts, which ``flatten`` generates from YAML.

Serving nodes read ``transitions.json`` instead of the charts, so that they need not load sismic and a
YAML parser. A test checks that the file matches the charts.
"""

import json
from functools import cache
from pathlib import Path

TransitionTable = dict[tuple[str, str], str]
TRANSITIONS_FILE = Path(__file__).with_name("transitions.json")


@cache
def transition_table(name: str) -> TransitionTable:
    """Return the chart ``name`` as ``{(state, event): next state}``; raises ``KeyError`` if absent."""
    charts: dict[str, list[list[str]]] = json.loads(TRANSITIONS_FILE.read_text())
    return {(source, event): target for source, event, target in charts[name]}
