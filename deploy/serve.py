"""Entry file of the deploy file's role: finds the package beside it and starts a node."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from yokesill.platform.main import main

if __name__ == "__main__":
    raise SystemExit(main())
