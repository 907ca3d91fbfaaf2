"""Writes the results of the benchmarks and finds the revision that they were measured at."""

import json
import subprocess
from pathlib import Path
from typing import Any


def folder() -> Path:
    """Return the folder of the committed results."""
    return Path(__file__).parent / "results"


def revision() -> str:
    """Return the Git revision of the sources."""
    command = ["git", "describe", "--always", "--dirty"]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout.strip()


def write_results(name: str, results: dict[str, Any]) -> None:
    """Write ``NAME.json``."""
    (folder() / f"{name}.json").write_text(json.dumps(results, indent=1) + "\n")
