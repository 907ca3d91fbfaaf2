#!/bin/sh
# The stand-ins of cases 4 to 8 are Python 3.11 files of the standard library: nothing to build but a check.
cd "$(dirname "$0")/.." && exec python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in [pathlib.Path("review/rig2.py"), *sorted(pathlib.Path("review").glob("[4-8]/*.py"))]:
    ast.parse(path.read_text())
assert pathlib.Path("target/yokesill-node").exists(), "run the build line of deploy/system.toml first"
PY
