"""The build leaves a program by which the ``run`` line starts a node, whatever the machine has or lacks."""

import os
import signal
import stat
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

import launcher_build
import pytest
from deployed import build_checkout, load_build, run_line
from node_process import HOST, Node

BUILD = load_build()
TRIAL_PASSED: Callable[[Path], str] = lambda _program: ""  # noqa: E731 (a typed stand-in)


def place(program: Path, trial_problem: Callable[[Path], str] = TRIAL_PASSED) -> None:
    """Make ``program`` as the build does."""
    launcher_build.place_launcher(BUILD.LAUNCHER_SOURCE, program, trial_problem)


def is_launcher(program: Path) -> bool:
    """Whether ``program`` is a compiled program rather than a link to the interpreter."""
    return not program.is_symlink() and program.read_bytes().startswith(b"\x7fELF")


def without_a_compiler(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(launcher_build, "COMPILERS", ("no-such-compiler",))


def with_a_compiler_that_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(launcher_build, "COMPILERS", ("false",))


def with_a_compiler_that_does_not_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(launcher_build, "COMPILERS", ("yes",))
    monkeypatch.setattr(launcher_build, "COMPILE_TIMEOUT_S", 0.2)


def with_a_compiler_that_makes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(launcher_build, "COMPILERS", ("true",))


def without_a_shared_library(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(launcher_build, "shared_library", lambda: None)


def with_a_library_that_cannot_be_loaded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(launcher_build, "shared_library", lambda: "/nowhere/libpython3.so")


@pytest.mark.parametrize(
    "lacking",
    [
        without_a_compiler,
        with_a_compiler_that_fails,
        with_a_compiler_that_does_not_end,
        with_a_compiler_that_makes_nothing,
        without_a_shared_library,
        with_a_library_that_cannot_be_loaded,
    ],
)
def test_machine_that_cannot_make_the_launcher_builds_and_starts_nodes(
    lacking: Callable[[pytest.MonkeyPatch], None],
    node: Node,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Guards against: a build that fails for want of a compiler or a library ends every start.
    lacking(monkeypatch)
    root = tmp_path / "checkout"
    root.mkdir()
    build_checkout(root)
    program = root / "target" / BUILD.PROGRAM
    assert program.readlink() == Path(os.path.realpath(sys.executable))
    assert "warning: no launcher, a signal may end the start of a node: " in capsys.readouterr().err
    node.start_as_deployed(root, run_line(f"{HOST}:{node.front}")).wait_until_ready()
    assert node.ask().status == 200
    assert node.stop() == 0


def test_launcher_whose_trial_fails_is_not_used(tmp_path: Path) -> None:
    # Guards against: a launcher that can be compiled but can't load a node ends every start.
    program = tmp_path / BUILD.PROGRAM
    place(program, lambda _program: "ImportError")
    assert not is_launcher(program)


def test_trial_runs_the_program_that_takes_the_place(tmp_path: Path) -> None:
    # Guards against: a trial of the interpreter, where the run line starts another program.
    tried: list[bytes] = []

    def trial_problem(program: Path) -> str:
        tried.append(program.read_bytes())
        return ""

    place(tmp_path / BUILD.PROGRAM, trial_problem)
    assert tried == [(tmp_path / BUILD.PROGRAM).read_bytes()]


def test_launcher_whose_library_is_gone_runs_the_interpreter_on_the_path(
    node: Node, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: built where Python lies in another place, each node ended at its start. Signals are held
    # there too.
    library = tmp_path / "libpython3.so"
    library.symlink_to(str(launcher_build.shared_library()))
    monkeypatch.setattr(launcher_build, "shared_library", lambda: str(library))
    root = tmp_path / "checkout"
    root.mkdir()
    build_checkout(root)
    assert is_launcher(root / "target" / BUILD.PROGRAM)
    library.unlink()
    node.environment["PATH"] = os.path.dirname(sys.executable)
    node.start_as_deployed(root, run_line(f"{HOST}:{node.front}"))
    node.wait_for_cpu_time(0.005)
    node.send_signal(signal.SIGHUP)
    node.wait_until_ready()
    assert node.ask().status == 200
    assert node.stop() == 0


def of_another_machine(program: Path) -> None:
    program.write_bytes(b"\x7fELF of another machine")
    program.chmod(0o755)


def cut_short(program: Path) -> None:
    place(program)
    program.write_bytes(program.read_bytes()[:100])


def a_link(program: Path) -> None:
    program.symlink_to("/usr/bin/env")


def a_link_to_nothing(program: Path) -> None:
    program.symlink_to(program.parent / "gone")


def a_folder(program: Path) -> None:
    (program / "folder").mkdir(parents=True)


def half_of_another_build(program: Path) -> None:
    program.with_name(f"{program.name}.partial").mkdir()


@pytest.mark.parametrize(
    "found", [of_another_machine, cut_short, a_link, a_link_to_nothing, a_folder, half_of_another_build]
)
def test_build_replaces_whatever_stands_in_the_launchers_place(
    found: Callable[[Path], None], tmp_path: Path
) -> None:
    # Guards against: a launcher of another machine or Python, carried over, ends every start.
    program = tmp_path / BUILD.PROGRAM
    found(program)
    place(program, partial(BUILD.trial_problem, Path(launcher_build.sysconfig.get_paths()["purelib"])))
    assert is_launcher(program)
    assert stat.S_IMODE(program.stat().st_mode) & stat.S_IXUSR
    assert list(tmp_path.iterdir()) == [program]


def test_build_that_is_broken_off_leaves_the_launcher_before(tmp_path: Path) -> None:
    # Guards against: a node that starts during a build finds no program, or half of one.
    program = tmp_path / BUILD.PROGRAM
    of_another_machine(program)
    before = program.read_bytes()

    def broken_off(_program: Path) -> str:
        assert program.read_bytes() == before
        raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        place(program, broken_off)
    assert program.read_bytes() == before


def test_paths_with_unusual_characters_are_compiled_as_they_are(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: a quote, a backslash or a blank in a path, which the compiler would take for its own.
    odd = tmp_path / 'py "th\\on \N{LATIN SMALL LETTER E WITH ACUTE}'
    odd.mkdir()
    library = odd / "libpython3.so"
    library.symlink_to(launcher_build.shared_library())
    monkeypatch.setattr(launcher_build, "shared_library", lambda: str(library))
    place(tmp_path / BUILD.PROGRAM)
    assert str(library).encode() in (tmp_path / BUILD.PROGRAM).read_bytes()


def test_launcher_is_made_under_a_path_that_is_no_text(tmp_path: Path) -> None:
    # Guards against: a folder whose name has bytes of another encoding ends the build.
    folder = Path(os.fsdecode(os.fsencode(tmp_path) + b"/caf\xe9"))
    folder.mkdir()
    place(folder / BUILD.PROGRAM)
    assert is_launcher(folder / BUILD.PROGRAM)


def test_compiler_whose_message_is_no_text_ends_no_build(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against: a compiler that fails in another encoding ends the build, where a link would do.
    compiler = tmp_path / "compiler"
    compiler.write_text("#!/bin/sh\nprintf 'caf\\351' >&2\nexit 1\n")
    compiler.chmod(0o755)
    monkeypatch.setattr(launcher_build, "COMPILERS", (str(compiler),))
    place(tmp_path / BUILD.PROGRAM)
    assert (tmp_path / BUILD.PROGRAM).is_symlink()
    assert "warning: no launcher" in capsys.readouterr().err
