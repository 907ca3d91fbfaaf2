"""Removes each guard from a temporary copy of the sources and checks that its test fails then."""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import yaml

TESTS = Path(__file__).parent
SOURCES = TESTS.parent / "src"
TESTS_FAILED = 1
TIMEOUT_S = 300


def check(entry: dict[str, str]) -> str | None:
    """Return a description of the problem, or ``None`` if the test fails without its guard."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "src"
        shutil.copytree(SOURCES, copy)
        for prefix in ("", "and_"):
            if prefix + "file" not in entry:
                continue
            path = copy / "yokesill" / entry[prefix + "file"]
            text = path.read_text()
            if entry[prefix + "find"] not in text:
                return f"the text to remove is not in {entry[prefix + 'file']}: {entry[prefix + 'find']!r}"
            path.write_text(text.replace(entry[prefix + "find"], entry[prefix + "replace"]))
        # To render its own traces, pytest parses sources, which CPython 3.11 can fail to do after a
        # RecursionError: pytest then ends with an internal error, and the test's failure is not told.
        options = ["-p", "no:cacheprovider", "--tb=native"]
        command = [sys.executable, "-m", "pytest", *options, str(TESTS / entry["test"])]
        environment = {**os.environ, "PYTHONPATH": str(copy)}
        try:
            done = subprocess.run(
                command, env=environment, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
            )
        except subprocess.TimeoutExpired:
            return f"the test did not end within {TIMEOUT_S} s without its guard"
    if done.returncode != TESTS_FAILED:
        return f"pytest exited with {done.returncode}, expected {TESTS_FAILED}\n{done.stdout[-2000:]}"
    return None


def main() -> int:
    """Check every guard; return 1 if any test does not fail without its guard."""
    entries = yaml.safe_load((TESTS / "guards.yaml").read_text())
    with ThreadPoolExecutor(max_workers=max(1, (os.cpu_count() or 2) // 2)) as pool:
        results = list(pool.map(check, entries))
    for entry, problem in zip(entries, results, strict=True):
        print(f"{'fails without' if problem is None else 'NOT DETECTED'}: {entry['guard']} ({entry['test']})")
        if problem is not None:
            print(f"  {problem}")
    return 0 if not any(results) else 1


if __name__ == "__main__":
    raise SystemExit(main())
