"""A checkout as the ``build`` line of the deploy file leaves it, and the words of its ``run`` line."""

import importlib.metadata
import importlib.util
import shutil
import tomllib
from pathlib import Path
from types import ModuleType

from node_process import ROOT


def run_line(address: str) -> list[str]:
    """Return the words of the ``run`` line of a node whose callers' address is ``address``."""
    line = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]["run"]
    return [word.replace("{{listenAddrs.front}}", address) for word in line.split()]


def load_build(checkout: Path = ROOT) -> ModuleType:
    """Return the module of the build line's program."""
    line = tomllib.loads((checkout / "deploy" / "system.toml").read_text())["build"]
    assert line == "python3 deploy/build.py"
    spec = importlib.util.spec_from_file_location("build", checkout / "deploy" / "build.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def install_copies(folder: Path) -> None:
    """Copy the listed packages from the environment of the tests, where pip has installed them."""
    for line in (ROOT / "requirements-serve.txt").read_text().split():
        for each in importlib.metadata.files(line.partition("==")[0]) or ():
            source = Path(str(each.locate()))
            if ".." not in each.parts and "__pycache__" not in each.parts and source.exists():
                (folder / each).parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(source, folder / each)


def build_checkout(root: Path) -> Path:
    """Build in ``root``, with the sources of this repository; return ``root``."""
    for name in ("deploy", "src"):
        (root / name).symlink_to(ROOT / name)
    load_build().build(root / "target", install_copies)
    return root
