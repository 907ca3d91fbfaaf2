"""The command that starts a node of a checkout, from its deploy file."""

import sys
from pathlib import Path

from soak.deployed import run_command

ADDRESS = "127.0.0.1:8104"


def checkout(folder: Path, run: str) -> Path:
    """Return a checkout whose deploy file has this ``run`` line."""
    (folder / "deploy").mkdir()
    (folder / "deploy" / "system.toml").write_text(f'build = "true"\n[roles.any]\nrun = "{run}"\n')
    return folder


def test_earlier_run_line_is_started_by_the_soaks_interpreter(tmp_path: Path) -> None:
    # Guards against: a day on an earlier landing that plays another program than its deploy file names.
    found = run_command(ADDRESS, checkout(tmp_path, "python3 -S deploy/serve.py {{listenAddrs.front}}"))
    assert found == (sys.executable, "-S", "deploy/serve.py", ADDRESS)


def test_program_of_the_run_line_is_started_once_it_is_built(tmp_path: Path) -> None:
    # Guards against: days that never play the program that the platform starts.
    place = checkout(tmp_path, "target/node -S deploy/serve.py {{listenAddrs.front}}")
    assert run_command(ADDRESS, place)[0] == sys.executable
    (place / "target").mkdir()
    (place / "target" / "node").touch()
    assert run_command(ADDRESS, place) == ("target/node", "-S", "deploy/serve.py", ADDRESS)
