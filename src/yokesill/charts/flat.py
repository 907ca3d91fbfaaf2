"""The hot charts as transition tables, ready to load: generated from the YAML files by ``flatten``.

Serving nodes read this file instead of the charts, so that they need not load sismic and a YAML
parser. A test holds it to the charts.
"""

import json
from functools import cache
from pathlib import Path

TransitionTable = dict[tuple[str, str], str]
FLAT_FILE = Path(__file__).with_name("transitions.json")


@cache
def transition_table(name: str) -> TransitionTable:
    """Return the chart ``name`` as ``{(state, event): next state}``; raises ``KeyError`` without one."""
    charts: dict[str, list[list[str]]] = json.loads(FLAT_FILE.read_text())
    return {(source, event): target for source, event, target in charts[name]}
