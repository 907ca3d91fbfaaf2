"""Everything in under ten minutes: smaller sizes than the committed results, in a folder of their own."""

import os
import subprocess
import sys
import time
from pathlib import Path

BENCH = Path(__file__).parent
RUNS = (
    ["subrequest.py"],
    ["simulate.py"],
    ["overload.py", "--write", "overload"],
    ["processes.py", "lima"],
)


def main() -> int:
    """Run every bench in turn; return 1 if one failed."""
    environment = {**os.environ, "BENCH_RESULTS": str(BENCH / "results" / "quick")}
    failed = 0
    for run in RUNS:
        print(f"== {' '.join(run)}", flush=True)
        started = time.monotonic()
        done = subprocess.run([sys.executable, str(BENCH / run[0]), *run[1:]], env=environment, check=False)
        failed += done.returncode != 0
        print(f"-- exit {done.returncode} after {time.monotonic() - started:.0f} s", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
