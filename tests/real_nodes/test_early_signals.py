"""A node of the deploy file's ``run`` line lives on when it is told of new settings at once."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from deployed import build_checkout, run_line
from node_process import HOST, Node

from yokesill.serving.signals import HANDLED, IGNORED

# Of the process's own processor time, which doesn't depend on what else the machine does.
USED_CPU_S = (0.002, 0.005, 0.011, 0.02)
# By the clock; a busy machine may not have run the process at all until then.
DELAYS_S = (0.0, 0.002, 0.005, 0.011, 0.02)
STARTS = 5
BUSY_PROCESSES = 2 * (os.cpu_count() or 1)
# A start takes several times as long beside the busy processes.
READY_TIMEOUT_S = 60.0


@pytest.fixture(scope="module")
def checkout(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Provide a checkout that is built."""
    return build_checkout(tmp_path_factory.mktemp("checkout"))


@contextlib.contextmanager
def busy_processes(count: int) -> Iterator[None]:
    """Keep the machine busy with processes that only calculate."""
    started = []
    try:
        for _ in range(count):
            started.append(subprocess.Popen([sys.executable, "-S", "-c", "while True: pass"]))
        yield
    finally:
        for each in started:
            each.kill()
            each.wait()


@contextlib.contextmanager
def reloads_at_once(node: Node, checkout: Path) -> Iterator[None]:
    """Start a node, and after the block send it SIGHUP and wait until it is ready."""
    node.start_as_deployed(checkout, run_line(f"{HOST}:{node.front}"))
    yield
    node.send_signal(signal.SIGHUP)
    node.wait_until_ready(READY_TIMEOUT_S)
    node.kill()


@pytest.mark.parametrize("busy", [0, BUSY_PROCESSES])
@pytest.mark.parametrize("used_s", USED_CPU_S)
def test_reload_signal_after_little_processor_time_does_not_end_the_process(
    used_s: float, busy: int, node: Node, checkout: Path
) -> None:
    # Guards against: SIGHUP while the interpreter starts, before the program's first line, ended the process
    # by signal 1, in its first 10 ms of processor time: 20 of 20.
    with busy_processes(busy):
        for _ in range(STARTS):
            with reloads_at_once(node, checkout):
                node.wait_for_cpu_time(used_s)


def test_reload_signal_soon_after_the_start_by_the_clock_does_not_end_the_process(
    node: Node, checkout: Path
) -> None:
    # Guards against: SIGHUP before the first instruction of the program's own, ended by signal 1: at once
    # after the start, and some milliseconds later where a busy machine hasn't run the process yet.
    for busy in (0, BUSY_PROCESSES):
        with busy_processes(busy):
            for delay_s in DELAYS_S:
                for _ in range(STARTS):
                    with reloads_at_once(node, checkout):
                        time.sleep(delay_s)


def test_program_holds_the_signals_that_a_node_handles_or_ignores(checkout: Path) -> None:
    # Guards against: a signal that the program of the run line doesn't hold ends the interpreter's start.
    tell = "import _signal; print(*(int(each) for each in _signal.pthread_sigmask(_signal.SIG_BLOCK, ())))"
    command = [run_line(HOST)[0], "-S", "-c", tell]
    told = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=True)
    assert {int(each) for each in told.stdout.split()} == {*HANDLED, *IGNORED}
