"""Where the bench writes its results, each with the revision that gave them."""

import json
import os
import subprocess
from pathlib import Path
from typing import Any

FOLDER_VARIABLE = "BENCH_RESULTS"


def folder() -> Path:
    """Return the folder of results: ``$BENCH_RESULTS``, or ``bench/results``, which is committed."""
    path = Path(os.environ.get(FOLDER_VARIABLE, Path(__file__).parent / "results"))
    path.mkdir(parents=True, exist_ok=True)
    return path


def revision() -> str:
    """Return the revision of the sources."""
    command = ["git", "describe", "--always", "--dirty"]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout.strip()


def write_results(name: str, results: dict[str, Any]) -> None:
    """Write ``NAME.json``."""
    (folder() / f"{name}.json").write_text(json.dumps(results, indent=1) + "\n")
