"""Renders a report as one self-contained HTML page with embedded charts."""

import base64
import html
import io
from typing import Any

import matplotlib as mpl

mpl.use("svg")

from matplotlib.figure import Figure

STYLE = "body{font:15px sans-serif;max-width:70em;margin:2em auto}td,th{padding:.2em .8em;text-align:right}"
HEADERS = ("run", "p50 ms", "p99 ms", "p99.9 ms", "answered", "whole", "extra load", "violations")


def render_page(results: dict[str, Any]) -> str:
    """Return the page for a results file: ``{revision, runs: [RunSummary]}``."""
    runs = results["runs"]
    rows = "".join(_row(run) for run in runs)
    head = "".join(f"<th>{each}</th>" for each in HEADERS)
    return (
        f"<!doctype html><meta charset=utf-8><title>yokesill load report</title><style>{STYLE}</style>"
        f"<h1>Load report</h1><p>Revision {html.escape(str(results.get('revision', 'unknown')))}</p>"
        f"<table><tr>{head}</tr>{rows}</table>{_percentile_chart(runs)}{_timelines(runs)}"
    )


def _row(run: dict[str, Any]) -> str:
    total, latency = run["total"], run["total"]["latency_ms"]
    sent, answered = max(1, total["sent"]), max(1, total["answered"])
    cells = (
        html.escape(run["name"]),
        *(f"{latency.get(name, 0):.1f}" for name in ("p50", "p99", "p99.9")),
        f"{total['answered'] / sent:.4f}",
        f"{total['whole'] / answered:.4f}",
        f"{run['extra_load']:.4f}",
        html.escape(str(run["violations"] or "none")),
    )
    return "<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"


def _percentile_chart(runs: list[dict[str, Any]]) -> str:
    """Draw the latency percentiles of all runs in one chart."""
    figure = Figure(figsize=(10, 0.5 * len(runs) + 1.5))
    axes = figure.subplots()
    names = [run["name"] for run in runs]
    for percentile in ("p99.9", "p99", "p50"):
        values = [run["total"]["latency_ms"].get(percentile, 0) for run in runs]
        axes.barh(names, values, label=percentile)
    axes.invert_yaxis()
    axes.set_xlabel("latency of answers, ms")
    axes.legend()
    figure.tight_layout()
    return _embed(figure)


def _timelines(runs: list[dict[str, Any]]) -> str:
    """Draw latency over time and the faults of each run that has a timeline."""
    return "".join(_timeline(run) for run in runs if run.get("timeline"))


def _timeline(run: dict[str, Any]) -> str:
    figure = Figure(figsize=(10, 3))
    axes = figure.subplots()
    points = run["timeline"]
    axes.scatter([each[0] for each in points], [each[1] for each in points], s=2)
    for at, fault in run.get("faults", []):
        axes.axvline(at, color="red", linewidth=0.8)
        axes.text(at, axes.get_ylim()[1], fault, rotation=90, va="top", fontsize=7)
    axes.set_xlabel("s")
    axes.set_ylabel("ms")
    figure.tight_layout()
    return f"<h2>{html.escape(run['name'])}</h2>{_embed(figure)}"


def _embed(figure: Figure) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="svg")
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f'<p><img alt="" src="data:image/svg+xml;base64,{encoded}"></p>'
