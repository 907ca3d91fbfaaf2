"""What a process meets between its start and its first answer, and at its end, doesn't end it by itself."""

import os
import shutil
import signal
import socket
import subprocess
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from node_process import HOST, ROOT, Node, wait_until_signals_are_held

from yokesill.serving.settings_wait import MAX_WAIT_S

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
# From the first line of the program on; before it, the interpreter's own start has the default reaction.
PROGRAM_STARTED_S = (0.06, 0.1, 0.15, 0.2, 0.3)
# What the interpreter itself may load from files before the program.
OF_THE_INTERPRETER = {"encodings"}
MISTAKEN = (
    signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM, signal.SIGPIPE, signal.SIGPROF, signal.SIGIO,
    signal.SIGXCPU, signal.SIGXFSZ,
)  # fmt: skip


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.05, 0.1, 0.15, 0.25])
def test_reload_signal_at_any_moment_of_the_start_does_not_end_the_process(
    delay_s: float, node: Node
) -> None:
    # Guards against: SIGHUP before its handler ended the process, exit by signal 1 in 6 of 6 starts.
    node.start()
    wait_until_signals_are_held(node.running.pid)
    time.sleep(delay_s)
    node.send_signal(signal.SIGHUP)
    node.wait_until_ready()
    assert node.ask().status == 200
    assert node.stop() == 0


# Stands in for the package: tells which signals are held and which modules came from files.
TELL_STATE = """
import _signal
import sys

print(*(int(each) for each in _signal.pthread_sigmask(_signal.SIG_BLOCK, ())))
specs = [module.__spec__ for name, module in sys.modules.items() if name != "__main__"]
print(*(spec.name for spec in specs if spec.origin not in ("built-in", "frozen")))
sys.stdout.flush()
raise SystemExit
"""


def test_signals_are_held_before_the_program_loads_a_file(node: Node, tmp_path: Path) -> None:
    # Guards against: SIGHUP while the program loads its first modules, exit by signal 1. Loading took half of
    # the time between the start of the process and the moment when signals were held.
    (tmp_path / "deploy").mkdir()
    shutil.copy(ROOT / "deploy" / "serve.py", tmp_path / "deploy")
    (tmp_path / "src" / "yokesill").mkdir(parents=True)
    (tmp_path / "src" / "yokesill" / "__init__.py").write_text(TELL_STATE)
    command, options = [node.python, "-S", "deploy/serve.py"], {"cwd": tmp_path, "env": node.environment}
    told = subprocess.run(command, capture_output=True, text=True, check=True, **options)
    held, from_files = told.stdout.splitlines()
    assert {int(each) for each in held.split()} >= {*HANDLED, *MISTAKEN} - {signal.SIGXFSZ}
    assert {each.partition(".")[0] for each in from_files.split()} <= {"yokesill", *OF_THE_INTERPRETER}


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_asked_for_during_the_start_is_a_planned_stop(number: signal.Signals, node: Node) -> None:
    # Guards against: a stop before the handlers ended the process by the signal.
    for delay_s in (0.0, 0.05, 0.12):
        node.start()
        wait_until_signals_are_held(node.running.pid)
        time.sleep(delay_s)
        node.send_signal(number)
        assert node.exit_code() == 0, node.output()


def test_signals_in_series_until_the_very_end_do_not_change_the_exit_code(node: Node) -> None:
    # Guards against: a SIGHUP between the end of the loop and that of the process, exit by signal 1.
    for _ in range(3):
        node.start().wait_until_ready()
        node.send_signal(signal.SIGTERM)
        while node.running.poll() is None:
            for number in HANDLED:
                node.send_signal(number)
            time.sleep(0.0005)
        assert node.exit_code() == 0, node.output()


@pytest.mark.parametrize("number", [signal.SIGUSR1, signal.SIGVTALRM])
def test_signal_without_a_meaning_while_the_program_loads_does_not_end_it(
    number: signal.Signals, node: Node
) -> None:
    # Guards against: SIGUSR1 between the first line of the program and its list of ignored signals.
    node.start()
    wait_until_signals_are_held(node.running.pid)
    for _ in range(20):
        node.send_signal(number)
        time.sleep(0.001)
    node.wait_until_ready()
    assert node.stop() == 0


def test_signals_without_a_meaning_do_not_end_the_process(node: Node) -> None:
    # Guards against: SIGUSR1, sent by a tool that expects a handler, ended the process; so did SIGXCPU, which
    # the system sends at a soft limit of processor time, and SIGIO.
    node.start().wait_until_ready()
    for number in MISTAKEN:
        node.send_signal(number)
    time.sleep(0.2)
    assert node.ask().status == 200


def _good(node: Node) -> str:
    return node.settings_text()


WRONG_SETTINGS: dict[str, Callable[[Node], bytes | None]] = {
    "missing": lambda _node: None,
    "empty": lambda _node: b"",
    "half written": lambda node: _good(node).encode()[:200],
    "not UTF-8": lambda node: _good(node).encode() + b"\n# \xe9\n",
    "zero bytes": lambda _node: b"\0" * 100,
    "nested deep": lambda node: _good(node).encode() + b"\n[x]\nx=" + b"[" * 5000 + b"]" * 5000,
    "number of 5000 digits": lambda node: _good(node).encode() + b"\n[x]\ny=" + b"9" * 5000,
    "time of 400 digits": lambda node: _good(node).replace("graceS = 6", "graceS = " + "9" * 400).encode(),
    "endless time": lambda node: _good(node).replace("graceS = 6", "graceS = inf").encode(),
    "port out of range": lambda node: _good(node).replace(str(node.front), "99999").encode(),
    "port that is no number": lambda node: (
        _good(node).replace(str(node.ready_port), "8\N{SUPERSCRIPT TWO}").encode()
    ),
    "seeds that are no list": lambda node: _good(node).replace("seedNodes = [", "seedNodes = 5 # [").encode(),
}


@pytest.mark.parametrize("kind", WRONG_SETTINGS)
def test_node_waits_for_settings_that_are_being_replaced(kind: str, node: Node) -> None:
    # Guards against: a file that is missing, half written or wrong for a moment ended the process.
    content = WRONG_SETTINGS[kind](node)
    if content is None:
        node.settings_path.unlink()
    else:
        node.settings_path.write_bytes(content)
    node.start()
    time.sleep(0.5)
    assert node.running.poll() is None, node.output()
    node.write_settings()
    node.wait_until_ready()
    if content is not None:
        node.settings_path.write_bytes(content)
        node.send_signal(signal.SIGHUP)
        time.sleep(0.2)
    assert node.ask().status == 200


def test_node_waits_for_settings_that_come_late(node: Node) -> None:
    # Guards against: settings that were missing for more than 10 s ended the process with code 3.
    node.settings_path.unlink()
    node.start()
    assert node.exit_code(MAX_WAIT_S + 1.5) is None, node.output()
    node.write_settings()
    node.wait_until_ready()
    assert node.ask().status == 200


def place_pipe(path: Path) -> None:
    """Place a named pipe, which nobody writes to."""
    os.mkfifo(path)


def place_endless_file(path: Path) -> None:
    """Place a link to bytes without end."""
    path.symlink_to("/dev/zero")


def place_large_file(path: Path) -> None:
    """Place a file of 1 GB without content, which takes no room."""
    with path.open("wb") as file:
        file.truncate(1_000_000_000)


@pytest.mark.parametrize("place", [place_pipe, place_endless_file, place_large_file])
def test_settings_that_are_no_file_of_their_size_neither_hold_nor_fill_the_process(
    place: Callable[[Path], None], node: Node
) -> None:
    # Guards against: in the place of the settings a pipe that nobody writes to, where the process ignored a
    # stop until it was killed, or bytes without end, which took 1,372 MB in 2 s.
    node.settings_path.unlink()
    place(node.settings_path)
    node.start()
    wait_until_signals_are_held(node.running.pid)
    time.sleep(1.0)
    assert node.running.poll() is None, node.output()
    assert node.memory_mb() < node.limits["memoryMb"]
    node.settings_path.unlink()
    node.write_settings()
    node.wait_until_ready()
    node.settings_path.unlink()
    place(node.settings_path)
    node.send_signal(signal.SIGHUP)
    time.sleep(1.0)
    assert node.ask().status == 200
    assert node.memory_mb() < node.limits["memoryMb"]
    assert node.stop() == 0


def test_stop_while_the_settings_are_wrong_ends_the_process_at_once(node: Node) -> None:
    # Guards against: a node that waits for its settings holds a stop back until it is killed.
    node.write_settings("")
    node.start()
    wait_until_signals_are_held(node.running.pid)
    time.sleep(0.3)
    node.send_signal(signal.SIGTERM)
    assert node.exit_code(2.0) == 0


def test_settings_with_a_byte_order_mark_or_empty_fields_are_read(node: Node) -> None:
    # Guards against: empty fields that the platform leaves for matters not in force ended the process.
    text = node.settings_text().replace(f'control = "{HOST}:{node.control}"', 'control = ""')
    node.settings_path.write_bytes(b"\xef\xbb\xbf" + text.encode())
    node.start().wait_until_ready()


@pytest.mark.parametrize("name", ["front", "ready_port", "control", "own"])
def test_node_waits_for_a_port_that_is_taken(name: str, node: Node) -> None:
    # Guards against: a port that a former process or a stranger holds for a moment ended the process.
    port = node.own[0] if name == "own" else getattr(node, name)
    with socket.socket() as stranger:
        stranger.bind((HOST, port))
        stranger.listen()
        node.start()
        time.sleep(0.8)
        assert node.running.poll() is None, node.output()
        assert node.is_ready() == (name in ("control", "own"))
    node.wait_until_ready()
    assert node.ask().status == 200
    assert node.stop() == 0


def test_stop_while_a_port_is_taken_ends_the_process_as_planned(node: Node) -> None:
    # Guards against: a node that waits for its port fails in its stop.
    with socket.socket() as stranger:
        stranger.bind((HOST, node.front))
        stranger.listen()
        node.start()
        time.sleep(0.5)
        assert node.stop() == 0


def test_closed_standard_streams_do_not_end_the_process(node: Node) -> None:
    # Guards against: a closed standard output ended the process before its first line of log.
    for closed in ((1,), (2,), (0, 1, 2)):
        node.start(
            stdin=None,
            stdout=None if 1 in closed else subprocess.DEVNULL,
            stderr=None if 2 in closed else subprocess.DEVNULL,
            preexec_fn=lambda closed=closed: [os.close(each) for each in closed],
        )
        node.wait_until_ready()
        assert node.ask().status == 200
        assert node.stop() == 0


@pytest.mark.parametrize("streams", [("stderr",), ("stdout",), ("stdout", "stderr")])
def test_streams_that_nobody_reads_do_not_stop_the_node(streams: tuple[str, ...], node: Node) -> None:
    # Guards against: after 2,112 lines of nonsense from callers the node waited for ever for the reader of
    # its standard error.
    reader, writer = os.pipe()
    try:
        node.start(**dict.fromkeys(streams, writer))
        os.close(writer)
        node.wait_until_ready()
        for _ in range(3000):
            with socket.create_connection((HOST, node.front), timeout=3.0) as caller:
                caller.sendall(b"nonsense nonsense\r\n\r\n")
                assert caller.recv(1000).startswith(b"HTTP/1.1 400")
        assert node.ask().status == 200
    finally:
        os.close(reader)
    assert node.ask().status == 200
    assert node.stop() == 0
