"""Makes the program of the deploy file's ``run`` line: an interpreter that holds signals from its start on.

It is compiled anew by each build, in a tenth of a second, so none of another machine or Python stays in use.
Where it can't be compiled, or doesn't run, a link to the interpreter takes its place: a node runs by it all
the same, but a signal in the interpreter's own start ends the process.
"""

import json
import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

COMPILERS = ("cc", "gcc", "clang")
COMPILE_TIMEOUT_S = 60.0
LOAD_TIMEOUT_S = 30.0
# As the linker names it, in a file name.
LIBRARY_PREFIX = "libpython"
# Prints the path of the program that runs; in hex, since a path may hold any bytes.
TELL_PROGRAM = "import os; print(os.fsencode(os.readlink('/proc/self/exe')).hex())"
# Messages may hold any bytes, too.
UNDECODABLE = "backslashreplace"


def place_launcher(source, program, trial_problem):
    """Make ``program`` from ``source``, in one move; whatever else stands in its place is replaced.

    ``trial_problem`` returns what fails when a node is loaded by the program given, or an empty text.
    """
    partial = program.with_name(f"{program.name}.partial")
    remove(partial)
    problem = compile_problem(source, partial) or load_problem(partial) or trial_problem(partial)
    if problem:
        print(f"warning: no launcher, a signal may end the start of a node: {problem}", file=sys.stderr)
        remove(partial)
        partial.symlink_to(interpreter())
    if program.is_dir() and not program.is_symlink():
        remove(program)
    partial.replace(program)


def run_captured(command, timeout_s, **options):
    """Run ``command`` and return it as ended, with its output as text, whatever bytes that has."""
    captured = {"capture_output": True, "text": True, "errors": UNDECODABLE}
    return subprocess.run(command, timeout=timeout_s, check=False, **captured, **options)


def remove(path):
    """Remove a file, a link or a folder, if there is one."""
    if path.is_dir() and not path.is_symlink():
        shutil.rmtree(path)
    elif path.is_symlink() or path.exists():
        path.unlink()


def interpreter():
    """Return the path of the interpreter that runs this program, without links."""
    return os.path.realpath(sys.executable)


def compile_problem(source, program):
    """Compile ``program`` from ``source`` for this interpreter; return what failed, or an empty text."""
    compiler = next(filter(None, map(shutil.which, COMPILERS)), None)
    if compiler is None:
        return f"there is no C compiler ({', '.join(COMPILERS)})"
    library = shared_library()
    if library is None:
        return f"{interpreter()} has no shared library"
    paths = {"PYTHON": interpreter(), "LIBPYTHON": library}
    literals = [f"-D{name}={json.dumps(path, ensure_ascii=False)}" for name, path in paths.items()]
    command = [compiler, "-O2", *literals, "-o", str(program), str(source), "-ldl"]
    # The compiler's temporary files.
    environment = {**os.environ, "TMPDIR": str(program.parent)}
    try:
        compiled = run_captured(command, COMPILE_TIMEOUT_S, env=environment)
    except (OSError, subprocess.TimeoutExpired) as error:
        return str(error)
    return f"{compiler} failed: {compiled.stderr.strip()}" if compiled.returncode else ""


def load_problem(program):
    """Return why the interpreter doesn't run within ``program``, or an empty text if it does."""
    command = [str(program), "-S", "-c", TELL_PROGRAM]
    try:
        tried = run_captured(command, LOAD_TIMEOUT_S)
    except (OSError, subprocess.TimeoutExpired) as error:
        return str(error)
    runs_within = tried.stdout.rstrip("\n") == os.fsencode(os.path.realpath(program)).hex()
    return "" if runs_within else tried.stderr.strip() or f"it can't load {shared_library()}"


def shared_library():
    """Return the path of the interpreter's shared library, or ``None`` if there is none."""
    return loaded_library() or installed_library()


def loaded_library():
    """Return the path of the interpreter's shared library that this process has loaded, or ``None``."""
    lines = Path("/proc/self/maps").read_text().splitlines()
    paths = [line.split(maxsplit=5)[-1] for line in lines if "/" in line]
    return next((path for path in paths if os.path.basename(path).startswith(LIBRARY_PREFIX)), None)


def installed_library():
    """Return the path of the shared library beside an interpreter that is linked statically, or ``None``."""
    folder, name = sysconfig.get_config_var("LIBDIR"), sysconfig.get_config_var("INSTSONAME")
    if not folder or not name or ".so" not in name:
        return None
    path = Path(folder, name)
    return str(path) if path.is_file() else None
