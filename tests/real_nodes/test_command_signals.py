"""``yokesill gateway`` and ``yokesill serve`` aren't ended by a signal that comes during their start."""

import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from node_process import ROOT, call, wait_until_signals_are_held
from ports import free_ports

START_TIMEOUT_S = 30.0
# Moments of the start after signals are held: while modules load, and about when handlers are installed.
DELAYS_S = (0.0, 0.2, 0.5)

Command = list[str]


@pytest.fixture
def probes() -> int:
    """Provide a free port for readiness probes."""
    return int(free_ports(1)[0])


@pytest.fixture
def gateway(tmp_path: Path, probes: int) -> Command:
    """Provide a command that runs a gateway from a file."""
    text = (ROOT / "examples" / "gateway.toml").read_text()
    text = text.replace("7301", str(free_ports(1)[0])).replace("7302", str(probes))
    (tmp_path / "gateway.toml").write_text(text)
    return ["gateway", str(tmp_path / "gateway.toml")]


@pytest.fixture
def serve(tmp_path: Path) -> Command:
    """Provide a command that runs a query node whose store can't be reached."""
    node, seed, store = free_ports(3)
    text = (ROOT / "examples" / "node1.toml").read_text()
    for before, after in (("7101", node), ("7102", seed), ("7000", store)):
        text = text.replace(before, str(after))
    (tmp_path / "node.toml").write_text(text)
    return ["serve", str(tmp_path / "node.toml")]


@pytest.fixture
def started() -> Iterator[list[subprocess.Popen[bytes]]]:
    """Provide a list of processes, which are ended with the test."""
    processes: list[subprocess.Popen[bytes]] = []
    yield processes
    for each in processes:
        each.kill()
        each.wait()


def start(command: Command) -> subprocess.Popen[bytes]:
    """Start a command; return once it holds its signals."""
    process = subprocess.Popen(
        [sys.executable, "-m", "yokesill.cli.main", *command],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    wait_until_signals_are_held(process.pid)
    return process


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("name", ["gateway", "serve"])
def test_stop_asked_for_while_a_command_loads_is_a_planned_stop(
    name: str, delay_s: float, request: pytest.FixtureRequest, started: list[subprocess.Popen[bytes]]
) -> None:
    # Guards against: SIGTERM in the first 0.6 s of a start ended the process by signal 15.
    started.append(start(request.getfixturevalue(name)))
    time.sleep(delay_s)
    started[0].send_signal(signal.SIGTERM)
    assert started[0].wait(START_TIMEOUT_S) == 0


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_reload_asked_for_while_the_gateway_loads_does_not_end_it(
    delay_s: float, gateway: Command, probes: int, started: list[subprocess.Popen[bytes]]
) -> None:
    # Guards against: SIGHUP in the first 0.6 s of a start ended the process by signal 1.
    started.append(start(gateway))
    time.sleep(delay_s)
    started[0].send_signal(signal.SIGHUP)
    end_s = time.monotonic() + START_TIMEOUT_S
    while not answers(probes):
        assert started[0].poll() is None
        assert time.monotonic() < end_s
        time.sleep(0.02)
    started[0].send_signal(signal.SIGTERM)
    assert started[0].wait(START_TIMEOUT_S) == 0


def answers(port: int) -> bool:
    """Whether a probe is answered at ``port``, with whatever status."""
    try:
        return call(port, "GET", "/ready", {}, 1.0).status > 0
    except OSError:
        return False
