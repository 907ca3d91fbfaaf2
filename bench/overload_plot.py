"""Draws what ``overload.py`` found: each scenario's searches in time, late and never served.

python bench/overload.py --write overload
python bench/overload.py --off paces,leaves_out --write overload_without
python bench/overload_plot.py docs/design/overload.svg
"""

import json
import sys
from pathlib import Path

import matplotlib as mpl
from results_file import folder

mpl.use("svg")
mpl.rcParams["svg.hashsalt"] = "overload"
from matplotlib import pyplot as plt  # noqa: E402 (after the backend is chosen)

OUTCOMES = (("in time", "#3a7d44"), ("late", "#e0a030"), ("never", "#b03a2e"))
PLAYS = (("overload_without", "without"), ("overload", "with"))


def main() -> None:
    """Draw both plays, one bar a scenario each."""
    _, axes = plt.subplots(figsize=(9, 5))
    names: list[str] = []
    for shift, (file, label) in enumerate(PLAYS):
        scenarios = json.loads((folder() / f"{file}.json").read_text())["scenarios"]
        names = list(scenarios)
        places = [number + (shift - 0.5) * 0.38 for number in range(len(names))]
        left = [0.0] * len(names)
        for outcome, colour in OUTCOMES:
            shares = [scenarios[name][f"search {outcome}"] for name in names]
            axes.barh(places, shares, 0.34, left, color=colour, label=outcome if shift else None)
            left = [before + share for before, share in zip(left, shares, strict=True)]
        for place in places:
            axes.text(1.01, place, label, va="center", fontsize=8)
    axes.set_yticks(range(len(names)), names)
    axes.invert_yaxis()
    axes.set_xlim(0, 1.12)
    axes.set_xlabel("share of searches that came within the five seconds of trouble")
    axes.legend(loc="lower center", bbox_to_anchor=(0.45, 1.0), ncols=3, frameon=False)
    plt.tight_layout()
    plt.savefig(Path(sys.argv[1]), metadata={"Date": None})


if __name__ == "__main__":
    main()
