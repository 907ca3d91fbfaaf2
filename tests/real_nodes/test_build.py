"""The build line leaves a folder that a node can start from, whatever it finds in its place."""

import os
import shutil
import signal
import stat
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from deployed import install_copies, load_build, run_line
from node_process import HOST, ROOT, Node, call

BUILD = load_build()


def built(target: Path) -> Path:
    """Return the folder of a whole build."""
    BUILD.build(target, install_copies)
    return target / "deps"


def broken_off(target: Path) -> None:
    (built(target) / BUILD.STAMP).unlink()
    (target / "deps" / "uvicorn" / "server.py").unlink()


def without_a_folder(target: Path) -> None:
    shutil.rmtree(built(target) / "anyio" / "_backends")


def with_a_file_cut_short(target: Path) -> None:
    module = built(target) / "prometheus_client" / "registry.py"
    module.write_text(module.read_text()[:100])


def with_a_file_of_zeros(target: Path) -> None:
    module = built(target) / "prometheus_client" / "registry.py"
    module.write_bytes(bytes(module.stat().st_size))


def with_a_stamp_cut_short(target: Path) -> None:
    stamp = built(target) / BUILD.STAMP
    stamp.write_text(stamp.read_text()[:-10])


def of_another_machine(target: Path) -> None:
    module = built(target) / "cbor2" / "__init__.py"
    module.write_text("raise ImportError('cannot open shared object file: wrong ELF class')")
    # Installed like this, so that only the trial can tell.
    BUILD.write_stamp(target / "deps", BUILD.fingerprint())


def without_what_is_loaded_late(target: Path) -> None:
    module = built(target) / "prometheus_client" / "core.py"
    module.write_text("raise ImportError('loaded with the first scrape')")
    BUILD.write_stamp(target / "deps", BUILD.fingerprint())


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
    nothing, broken_off, without_a_folder, with_a_file_cut_short, with_a_file_of_zeros,
    with_a_stamp_cut_short, of_another_machine, without_what_is_loaded_late, of_another_python,
    stamp_without_text, a_file, a_link_to_nothing, no_folder_at_all, half_of_another_build,
)  # fmt: skip


@pytest.mark.parametrize("found", FOUND)
def test_build_replaces_whatever_is_not_a_whole_build_for_this_machine(
    found: Callable[[Path], None], tmp_path: Path
) -> None:
    # Guards against: a folder of another machine or Python, or one that was broken off, newer than the list
    # of packages, counted as built, and every start of a node ended with an ImportError. So did one with its
    # stamp but without a part of a package, as after a copy that was broken off.
    target = tmp_path / "target"
    found(target)
    built(target)
    assert BUILD.is_current(target / "deps", BUILD.fingerprint())
    assert (target / "deps" / "anyio" / "_backends" / "_asyncio.py").exists()
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
    assert BUILD.trial_problem(target / "deps") == ""
    built(target)
    assert BUILD.is_current(target / "deps", BUILD.fingerprint())


def test_folder_that_is_replaced_is_never_there_in_part(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: a node that starts while the packages are replaced finds half of them.
    target = tmp_path / "target"
    of_another_python(target)
    removed = []
    rmtree = shutil.rmtree
    monkeypatch.setattr(shutil, "rmtree", lambda path: (removed.append(path), rmtree(path)))
    built(target)
    assert removed and target / "deps" not in removed
    assert [each.name for each in target.iterdir() if each.name.startswith("deps")] == ["deps"]


@pytest.fixture
def private_umask() -> Iterator[None]:
    """Let new files be readable for their owner only."""
    before = os.umask(0o077)
    yield
    os.umask(before)


def private_checkout(root: Path) -> Path:
    """Copy what the build needs into ``root``, with the permissions of the present umask."""
    root.mkdir()
    shutil.copyfile(BUILD.REQUIREMENTS, root / BUILD.REQUIREMENTS.name)
    for name in ("deploy", "src"):
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / name, root / name, copy_function=shutil.copyfile, ignore=ignored)
    for path in (root, *root.rglob("*")):
        path.chmod(0o700 if path.is_dir() else 0o600)
    return root


def closed_paths(root: Path) -> list[Path]:
    """Return what a node reads in the checkout at ``root`` and another user can't read, or enter."""
    folders = [root / name for name in ("deploy", "src", "target")]
    paths = [root, *folders, *(path for folder in folders for path in folder.rglob("*"))]
    enter_and_read = stat.S_IXOTH | stat.S_IROTH
    needed = {path: enter_and_read if path.is_dir() else stat.S_IROTH for path in paths}
    needed[root / "target" / BUILD.PROGRAM] = enter_and_read
    return [path for path, bits in needed.items() if path.stat().st_mode & bits != bits]


@pytest.mark.usefixtures("private_umask")
def test_every_user_can_read_what_a_node_loads_whatever_the_umask(tmp_path: Path) -> None:
    # Guards against: built under umask 077 and run by another user, a node ended with exit 1 at its first
    # import, at every start.
    checkout = private_checkout(tmp_path / "checkout")
    assert load_build(checkout).main(install_copies) == 0
    assert (checkout / "target" / "deps" / BUILD.STAMP).exists()
    assert list((checkout / "src").rglob("*.pyc"))
    assert closed_paths(checkout) == []


@pytest.mark.usefixtures("private_umask")
def test_every_user_can_read_a_build_that_was_closed_to_them(tmp_path: Path) -> None:
    # Guards against: a build line that takes a folder for current leaves it closed to other users.
    checkout = private_checkout(tmp_path / "checkout")
    built(checkout / "target")
    assert closed_paths(checkout)
    assert load_build(checkout).main(install_copies) == 0
    assert closed_paths(checkout) == []


def test_build_tells_which_folder_other_users_cannot_enter(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against: a checkout below a private folder, which the build can't open, and nobody is told.
    private = tmp_path / "private"
    private.mkdir()
    checkout = private_checkout(private / "checkout")
    private.chmod(0o700)
    assert load_build(checkout).main(install_copies) == 0
    assert f"warning: only some users can read {private};" in capsys.readouterr().err
    assert stat.S_IMODE(private.stat().st_mode) == 0o700


def test_build_fails_if_the_sources_cannot_be_loaded(tmp_path: Path) -> None:
    # Guards against: sources without a module that a node loads late pass the build, and each node fails.
    checkout = private_checkout(tmp_path / "checkout")
    (checkout / "src" / "yokesill" / "telemetry" / "exposition.py").unlink()
    with pytest.raises(SystemExit, match=r"yokesill\.telemetry\.exposition"):
        load_build(checkout).main(install_copies)


def test_build_replaces_compiled_sources_that_are_cut_short(tmp_path: Path) -> None:
    # Guards against: a compiled file that a copy or a loss of power cut short ends each node at its import.
    checkout = private_checkout(tmp_path / "checkout")
    assert load_build(checkout).main(install_copies) == 0
    compiled = list((checkout / "src").rglob("*.pyc"))
    sizes = {path: path.stat().st_size for path in compiled}
    for path in compiled:
        path.write_bytes(path.read_bytes()[:20])
    assert load_build(checkout).main(install_copies) == 0
    assert {path: path.stat().st_size for path in compiled} == sizes


def test_trial_has_the_options_of_the_run_line() -> None:
    # Guards against: a trial that doesn't do what the process will do.
    run = run_line(HOST)
    assert [f"target/{BUILD.PROGRAM}", *BUILD.TRIAL[:-1]] == run[: run.index("deploy/serve.py")]


# Runs the trial and tells what it has loaded.
TELL_MODULES = """
import runpy, sys
sys.path[0] = "deploy"
runpy.run_path("deploy/trial.py", run_name="__main__")
print(*sys.modules)
"""


def imported_modules(errors: str) -> set[str]:
    """Return the modules that ``-X importtime`` names on standard error, in its lines' last column."""
    lines = [line for line in errors.splitlines() if line.startswith("import time:")]
    return {line.rpartition("|")[2].strip() for line in lines}


def test_trial_loads_all_that_a_node_loads(node: Node, tmp_path: Path) -> None:
    # Guards against: a module that is loaded late, as with the first scrape, is missing in no trial.
    interpreter = tmp_path / "python"
    interpreter.write_text(f'#!/bin/sh\nexec {sys.executable} -X importtime "$@"\n')
    interpreter.chmod(0o755)
    node.python = str(interpreter)
    node.start().wait_until_ready()
    assert node.ask().status == 200
    assert call(node.own[0], "GET", "/metrics", {"host": HOST}, 5.0).status == 200
    node.send_signal(signal.SIGHUP)
    assert node.stop() == 0
    loaded = imported_modules((node.folder / "node.err").read_text())
    assert {"yokesill.platform.main", "prometheus_client.core"} <= loaded
    command = [interpreter, "-S", "-c", TELL_MODULES]
    tried = subprocess.run(
        command, cwd=ROOT, env=node.environment, capture_output=True, text=True, check=True
    )
    # A module that is optional, and not there, is named on standard error alone.
    assert loaded <= {*tried.stdout.split(), *imported_modules(tried.stderr)}


class Registry:
    """Stands in for pip, which ends with the next of ``codes`` and leaves a folder each time."""

    def __init__(self, *codes: int) -> None:
        self.codes = list(codes)

    def run_pip(self, folder: Path) -> int:
        folder.mkdir()
        return self.codes.pop(0)


@pytest.mark.parametrize("codes", [(1, 0), (1, 1, 0)])
def test_registry_that_fails_for_a_moment_does_not_end_the_build(
    codes: tuple[int, ...], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: one failure of the package registry ended the build, and with it each start.
    registry = Registry(*codes)
    monkeypatch.setattr(BUILD, "run_pip", registry.run_pip)
    monkeypatch.setattr(BUILD, "INSTALL_PAUSES_S", (0.0, 0.0))
    BUILD.install(tmp_path / "deps")
    assert not registry.codes
    assert (tmp_path / "deps").is_dir()


def test_registry_that_stays_away_ends_the_build_with_what_failed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: a build that tries again for longer than it may take.
    registry = Registry(1, 1, 2, 0)
    assert sum(BUILD.INSTALL_PAUSES_S) < 60
    monkeypatch.setattr(BUILD, "run_pip", registry.run_pip)
    monkeypatch.setattr(BUILD, "INSTALL_PAUSES_S", (0.0, 0.0))
    with pytest.raises(SystemExit, match="pip ended with 2"):
        BUILD.install(tmp_path / "deps")
    assert registry.codes == [0]
