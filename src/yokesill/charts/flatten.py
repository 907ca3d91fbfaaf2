"""Writes ``transitions.json`` from the charts: ``python -m yokesill.charts.flatten``."""

import json

from yokesill.charts.flat import FLAT_FILE
from yokesill.charts.tables import flatten_chart

FLAT_CHARTS = ("attempt", "gateway", "server")


def flat_text() -> str:
    """Return the file's text, as the charts are now."""
    charts = {
        name: [[source, event, target] for (source, event), target in sorted(flatten_chart(name).items())]
        for name in FLAT_CHARTS
    }
    return json.dumps(charts, indent=1) + "\n"


if __name__ == "__main__":
    FLAT_FILE.write_text(flat_text())
