"""Checks each model with spin, without defects and with each seeded defect, which must be detected."""

import re
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

SPEC = Path(__file__).parent
DEPTH = 2_000_000
MEMORY_MB = 4096
LIMIT = 900
TOOLS = ("spin", "gcc")


@dataclass(frozen=True)
class Run:
    """One check: a model with definitions, and whether a counterexample is expected."""

    model: str
    defines: tuple[str, ...] = ()
    defect: bool = False
    liveness: bool = False


RUNS = (
    Run("configuration"),
    Run("configuration", ("BUG_CAS",), defect=True),
    Run("configuration", ("BUG_NO_FENCE",), defect=True),
    Run("configuration", ("BUG_NO_HISTORY",), defect=True),
    Run("configuration", ("BUG_MERGE",), defect=True),
    Run("configuration", ("BUG_NO_BARRIER",), defect=True),
    Run("configuration", ("BUG_NO_PUSH",), defect=True),
    Run("configuration", ("LIVENESS",), liveness=True),
    Run("configuration", ("LIVENESS", "BUG_NO_SYNC"), defect=True, liveness=True),
    Run("dispatch"),
    Run("dispatch", ("BUG_RETRY_IN_DOUBT",), defect=True),
    Run("dispatch", ("BUG_HEDGE_ONCE",), defect=True),
    Run("dispatch", ("BUG_LIVE_NOT_RUN",), defect=True),
    Run("dispatch", ("BUG_LATE_ANSWER",), defect=True),
    Run("snapshot"),
    Run("snapshot", ("BUG_KEEP_PARTS",), defect=True),
    Run("snapshot", ("BUG_NO_ECHO",), defect=True),
    Run("keys"),
    Run("keys", ("BUG_NO_RESERVE",), defect=True),
    Run("keys", ("BUG_NO_RECORD",), defect=True),
    Run("watchers"),
    Run("watchers", ("BUG_AGE",), defect=True),
    Run("watchers", ("BUG_PATIENCE",), defect=True),
    Run("watchers", ("BUG_LEVEL",), defect=True),
    Run("watchers", ("BUG_OLDER",), defect=True),
    Run("watchers", ("BUG_STALE",), defect=True),
    Run("versions"),
    Run("versions", ("BUG_NO_RECORD",), defect=True),
    Run("versions", ("BUG_LISTING",), defect=True),
    Run("versions", ("BUG_GUESS_TOLD",), defect=True),
    Run("versions", ("BUG_WRITE",), defect=True),
    Run("rollouts"),
    Run("rollouts", ("BUG_CONDITION",), defect=True),
    Run("rollouts", ("BUG_BARRIER",), defect=True),
    Run("rollouts", ("BUG_TELL_FIRST",), defect=True),
    Run("rollouts", ("BUG_WOKEN",), defect=True),
    Run("rollouts", ("BUG_STICKY",), defect=True),
)


def execute(command: list[str], folder: str) -> str:
    """Run a command in ``folder`` and return its output; exit if it fails, except for ``pan``."""
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=LIMIT, check=False)
    if done.returncode != 0 and command[0] != "./pan":
        sys.exit(f"{' '.join(command)} failed:\n{done.stdout}{done.stderr}")
    return done.stdout + done.stderr


def check(run: Run) -> tuple[int, int, bool]:
    """Return the numbers of errors and states, and whether the search was complete."""
    with tempfile.TemporaryDirectory() as folder:
        defines = [f"-D{name}" for name in run.defines]
        execute(["spin", *defines, "-a", str(SPEC / f"{run.model}.pml")], folder)
        kind = ["-DNFAIR=3"] if run.liveness else ["-DSAFETY"]
        execute(["gcc", "-O2", "-w", f"-DMEMLIM={MEMORY_MB}", *kind, "-o", "pan", "pan.c"], folder)
        search = ["-a", "-f"] if run.liveness else []
        output = execute(["./pan", f"-m{DEPTH}", *search], folder)
    errors = re.search(r"errors: (\d+)", output)
    states = re.search(r"(\d+) states, stored", output)
    if errors is None or states is None:
        sys.exit(f"unreadable output of pan:\n{output}")
    complete = "max search depth too small" not in output and "Search not completed" not in output
    return int(errors[1]), int(states[1]), complete


def main() -> int:
    """Run all checks; return 1 if any has an unexpected result."""
    missing = [tool for tool in TOOLS if shutil.which(tool) is None]
    if missing:
        sys.exit(f"model checking needs {' and '.join(missing)}: apt-get install -y spin gcc libc6-dev")
    wrong = 0
    for run in RUNS:
        errors, states, complete = check(run)
        good = errors > 0 if run.defect else errors == 0 and complete
        wrong += not good
        name = " ".join((run.model, *run.defines))
        found = "counterexample" if errors else "no error" + ("" if complete else " (incomplete)")
        print(f"{'ok' if good else 'WRONG':5} {name:45} {found:18} {states:>9} states")
    print(f"{len(RUNS) - wrong} passed, {wrong} failed")
    return 1 if wrong else 0


if __name__ == "__main__":
    raise SystemExit(main())
