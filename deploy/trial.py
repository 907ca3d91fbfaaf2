"""Loads all that a node loads, late imports included, without starting one.

The build runs it as the deploy file's ``run`` line runs ``serve.py``: what fails here would end each node.
"""

import importlib
import runpy
from pathlib import Path

# What a node imports after its start or by a module's name, besides what these and its entry point import.
LATE_MODULES = (
    "yokesill.platform.main",
    "yokesill.telemetry.exposition",
    "anyio._backends._asyncio",
    "anyio._core._sockets",
    "anyio._core._streams",
    "anyio._core._testing",
    "encodings.utf_8_sig",
)


def main():
    """Load the entry point, then the rest in the order of a start."""
    runpy.run_path(str(Path(__file__).with_name("serve.py")))
    importlib.import_module("yokesill.lazy_imports").install()
    for name in LATE_MODULES:
        importlib.import_module(name)


if __name__ == "__main__":
    main()
