"""How the deploy file of a checkout starts a node.

The checkout may be another one than the soak's own, so that the same days are played on an earlier landing.
"""

import sys
import tomllib
from pathlib import Path

from soak.processes import ROOT

DEPLOY_FILE = Path("deploy", "system.toml")
INTERPRETERS = ("python3", "python")


def run_command(address: str, checkout: Path = ROOT) -> tuple[str, ...]:
    """Return the words of the ``run`` line of a node whose callers' address is ``address``.

    The interpreter of the soak takes the place of ``python3``, and of a program that is not built yet.
    """
    roles = tomllib.loads((checkout / DEPLOY_FILE).read_text())["roles"]
    line = next(iter(roles.values()))["run"]
    program, *words = [address if word.startswith("{{") else word for word in line.split()]
    if program in INTERPRETERS or not (checkout / program).exists():
        program = sys.executable
    return (program, *words)
