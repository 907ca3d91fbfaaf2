"""Where the bench writes its results, each with the revision that gave them."""

import json
import subprocess
from pathlib import Path
from typing import Any


def folder() -> Path:
    """Return the folder of results, which is committed."""
    return Path(__file__).parent / "results"


def revision() -> str:
    """Return the revision of the sources."""
    command = ["git", "describe", "--always", "--dirty"]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout.strip()


def write_results(name: str, results: dict[str, Any]) -> None:
    """Write ``NAME.json``."""
    (folder() / f"{name}.json").write_text(json.dumps(results, indent=1) + "\n")
