"""The build line leaves a folder that a node can start from, whatever it finds in its place."""

import importlib.util
import tomllib
from collections.abc import Callable
from pathlib import Path
from types import ModuleType

import pytest
from node_process import ROOT


def load_build() -> ModuleType:
    """Return the module of the build line's program."""
    line = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    assert line == "python3 deploy/build.py"
    spec = importlib.util.spec_from_file_location("build", ROOT / "deploy" / "build.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


BUILD = load_build()


def install_stubs(folder: Path) -> None:
    """Install empty modules, as pip would the real ones."""
    folder.mkdir()
    for name in BUILD.MODULES:
        (folder / f"{name}.py").touch()


def built(target: Path) -> Path:
    """Return the folder of a whole build."""
    BUILD.build(target, install_stubs)
    return target / "deps"


def broken_off(target: Path) -> None:
    (built(target) / BUILD.STAMP).unlink()
    (target / "deps" / "uvicorn.py").unlink()


def of_another_machine(target: Path) -> None:
    module = built(target) / "cbor2.py"
    module.write_text("raise ImportError('cannot open shared object file: wrong ELF class')")


def of_another_python(target: Path) -> None:
    (built(target) / BUILD.STAMP).write_text("of another Python")


def stamp_without_text(target: Path) -> None:
    (built(target) / BUILD.STAMP).write_bytes(b"\xff\xfe")


def a_file(target: Path) -> None:
    target.mkdir()
    (target / "deps").touch()


def a_link_to_nothing(target: Path) -> None:
    target.mkdir()
    (target / "deps").symlink_to(target / "gone")


def no_folder_at_all(target: Path) -> None:
    target.touch()


def half_of_another_build(target: Path) -> None:
    (target / "deps.partial" / "anyio").mkdir(parents=True)


def nothing(_target: Path) -> None:
    pass


FOUND = (
    nothing, broken_off, of_another_machine, of_another_python, stamp_without_text, a_file, a_link_to_nothing,
    no_folder_at_all, half_of_another_build,
)  # fmt: skip


@pytest.mark.parametrize("found", FOUND)
def test_build_replaces_whatever_is_not_a_whole_build_for_this_machine(
    found: Callable[[Path], None], tmp_path: Path
) -> None:
    # Guards against: a folder of another machine or Python, or one that was broken off, newer than the list
    # of packages, counted as built, and every start of a node ended with an ImportError.
    target = tmp_path / "target"
    found(target)
    built(target)
    assert BUILD.is_current(target / "deps", BUILD.fingerprint())
    assert not (target / "deps.partial").exists()


def test_whole_build_is_kept(tmp_path: Path) -> None:
    # Guards against: each build installs everything again.
    built(tmp_path / "target")

    def install_again(_folder: Path) -> None:
        raise AssertionError("installed again")

    BUILD.build(tmp_path / "target", install_again)


def test_build_that_is_broken_off_leaves_the_one_before(tmp_path: Path) -> None:
    # Guards against: a build that fails half way takes a usable folder's place.
    target = tmp_path / "target"
    (built(target) / BUILD.STAMP).write_text("for an older list")

    def broken_off_install(folder: Path) -> None:
        folder.mkdir()
        (folder / "anyio.py").touch()
        raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        BUILD.build(target, broken_off_install)
    assert BUILD.is_usable(target / "deps")
    built(target)
    assert BUILD.is_current(target / "deps", BUILD.fingerprint())
