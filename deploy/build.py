"""Makes ``target/deps``, all that a node needs, and the program that starts it; what is there is also usable.

A folder may have been built on another kind of machine, by another Python or for other requirements, or its
build may have been broken off, or a copy of it. It is therefore made beside its place, tried out, and moved
there whole; one that is there is kept only if it was made for this machine, Python and list, each of its
files is as it was installed, and all that a node loads can be loaded. ``launcher_build`` makes the program.
"""

import compileall
import fcntl
import functools
import hashlib
import os
import py_compile
import stat
import subprocess
import sys
import sysconfig
import time
from pathlib import Path

from launcher_build import place_launcher, remove, run_captured

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "requirements-serve.txt"
LAUNCHER_SOURCE = ROOT / "deploy" / "launcher.c"
# The program of the ``run`` line, in the target folder.
PROGRAM = "yokesill-node"
MIN_PYTHON = (3, 11)
STAMP = ".built-for"
# What a node reads, whoever runs it.
READ_BY_NODES = ("deploy", "src", "target")
READ = stat.S_IRUSR | stat.S_IRGRP | stat.S_IROTH
ENTER = stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH
MAX_WARNINGS = 3
# Before another attempt to install; pip itself repeats single downloads, but not a failed index or build.
INSTALL_PAUSES_S = (5.0, 20.0)
# The options and the environment are those of the ``run`` line.
TRIAL = ("-S", "deploy/trial.py")
TRIAL_TIMEOUT_S = 120.0
INHERITED_VARIABLES = ("PATH", "HOME", "LANG")


def fingerprint():
    """Return a text that is the same only for this Python, this kind of machine and these requirements."""
    described = [sysconfig.get_platform(), sys.version, REQUIREMENTS.read_text()]
    return hashlib.sha256("\n".join(described).encode()).hexdigest()


def trial_problem(folder, program=sys.executable):
    """Load all that a node loads, by ``program`` and with the packages in ``folder``; return what fails."""
    environment = {name: os.environ[name] for name in INHERITED_VARIABLES if name in os.environ}
    environment["PYTHONPATH"] = str(folder)
    try:
        tried = run_captured([str(program), *TRIAL], TRIAL_TIMEOUT_S, cwd=ROOT, env=environment)
    except (OSError, subprocess.TimeoutExpired) as error:
        return str(error)
    if tried.returncode == 0:
        return ""
    return (tried.stderr.strip() or f"exit code {tried.returncode}").splitlines()[-1]


def installed_files(folder):
    """Return a line for each file in ``folder`` but the stamp: the hash of its content, and its path."""
    paths = sorted(path for path in folder.rglob("*") if path.is_file() and path != folder / STAMP)
    hashes = [hashlib.sha256(path.read_bytes()).hexdigest() for path in paths]
    return [f"{digest}  {path.relative_to(folder)}" for digest, path in zip(hashes, paths, strict=True)]


def write_stamp(folder, wanted):
    """Write what ``folder`` was built for and which files it has; the last line is their number."""
    files = installed_files(folder)
    (folder / STAMP).write_text("\n".join([wanted, *files, str(len(files))]))


def is_whole(folder, wanted):
    """Return whether ``folder`` was built for ``wanted``, and each file is as it was installed.

    More files may be there: another Python compiles modules into files of its own.
    """
    try:
        made_for, *files, count = (folder / STAMP).read_text().split("\n")
        found = set(installed_files(folder))
    except (OSError, ValueError):
        return False
    return made_for == wanted and count == str(len(files)) and found.issuperset(files)


def is_current(folder, wanted):
    """Return whether ``folder`` was built for ``wanted`` to the end, and can be used."""
    return is_whole(folder, wanted) and not trial_problem(folder)


def install(folder):
    """Install the listed packages into ``folder``; raise ``SystemExit`` if that fails again and again."""
    code = run_pip(folder)
    for pause_s in INSTALL_PAUSES_S:
        if not code:
            return
        print(f"warning: pip ended with {code}; another attempt in {pause_s:.0f} s", file=sys.stderr)
        time.sleep(pause_s)
        remove(folder)
        code = run_pip(folder)
    if code:
        raise SystemExit(f"error: pip ended with {code}")


def run_pip(folder):
    """Install the listed packages into ``folder``; return pip's exit code."""
    options = ["--quiet", "--disable-pip-version-check", "--no-deps", "--target", str(folder)]
    command = [sys.executable, "-m", "pip", "install", *options, "-r", str(REQUIREMENTS)]
    return subprocess.run(command, check=False).returncode


def build(target, install=install):
    """Make ``target/deps`` and the program current; whatever else stands in their places is replaced."""
    if target.is_symlink() or not target.is_dir():
        remove(target)
    target.mkdir(parents=True, exist_ok=True)
    with (target / ".build-lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        place_dependencies(target, install)
        place_launcher(LAUNCHER_SOURCE, target / PROGRAM, functools.partial(trial_problem, target / "deps"))


def place_dependencies(target, install):
    """Make ``target/deps`` current, unless it is."""
    dependencies, partial, replaced = target / "deps", target / "deps.partial", target / "deps.replaced"
    wanted = fingerprint()
    remove(partial)
    remove(replaced)
    if is_current(dependencies, wanted):
        return
    install(partial)
    problem = trial_problem(partial)
    if problem:
        raise SystemExit(f"error: a node can't be loaded by {sys.executable} from {partial}: {problem}")
    write_stamp(partial, wanted)
    # Two moves: for a moment there is no folder, but never one with some of its files.
    if dependencies.is_symlink() or dependencies.exists():
        dependencies.rename(replaced)
    partial.rename(dependencies)
    remove(replaced)


def let_everybody_read(path):
    """Let every user read a file or enter a folder; return whether that is so now."""
    mode = stat.S_IMODE(path.stat().st_mode)
    wanted = mode | READ
    if path.is_dir() or mode & stat.S_IXUSR:
        wanted |= ENTER
    if wanted != mode:
        try:
            path.chmod(wanted)
        except OSError:
            return False
    return True


def is_own(path):
    """Return whether there is a file or folder at ``path`` itself, rather than a link to one elsewhere."""
    return not path.is_symlink() and path.exists()


def open_to_every_user(root):
    """Let every user run a node from ``root``, whatever the mask of new files was; tell what stays closed."""
    folders = [root / name for name in READ_BY_NODES]
    paths = [root, *folders, *(path for folder in folders for path in folder.rglob("*"))]
    closed = [path for path in paths if is_own(path) and not let_everybody_read(path)]
    closed += [path for path in root.parents if not path.stat().st_mode & stat.S_IXOTH]
    for path in closed[:MAX_WARNINGS]:
        print(f"warning: only some users can read {path}; no other can run a node from here", file=sys.stderr)


def compile_sources(root):
    """Compile the sources by their hash; a node that can't write beside them would do so at each start."""
    mode = py_compile.PycInvalidationMode.CHECKED_HASH
    if not compileall.compile_dir(str(root / "src"), quiet=2, invalidation_mode=mode):
        print("warning: not all sources could be compiled; nodes start more slowly", file=sys.stderr)


def main(install=install):
    """Build; return the exit code."""
    if sys.version_info < MIN_PYTHON:
        wanted, found = ".".join(map(str, MIN_PYTHON)), sys.version.split()[0]
        print(f"error: Python {wanted} or newer is needed, this is {found}", file=sys.stderr)
        return 1
    compile_sources(ROOT)
    build(ROOT / "target", install)
    open_to_every_user(ROOT)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
