"""Generates ``transitions.json`` from the charts: ``python -m yokesill.charts.flatten``."""

import json

from yokesill.charts.flat import TRANSITIONS_FILE
from yokesill.charts.tables import flatten_chart

FLAT_CHARTS = ("attempt", "gateway", "server")


def render_transitions() -> str:
    """Return the content of ``transitions.json`` for the current charts."""
    charts = {
        name: [[source, event, target] for (source, event), target in sorted(flatten_chart(name).items())]
        for name in FLAT_CHARTS
    }
    return json.dumps(charts, indent=1) + "\n"


if __name__ == "__main__":
    TRANSITIONS_FILE.write_text(render_transitions())
