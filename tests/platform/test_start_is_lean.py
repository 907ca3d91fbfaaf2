"""What a starting node leaves out: parts of libraries, threads, and looking for garbage."""

import gc
import socket
import subprocess
import sys
import threading

import anyio
import pytest

from yokesill import gc_tuning
from yokesill.serving.datagrams import open_datagrams
from yokesill.serving.settings import Address

NODE = """
import sys
from yokesill import lazy_imports
lazy_imports.install()
import yokesill.platform.main
{rest}
"""
LEFT_OUT = ("_ssl", "_hashlib", "click", "multiprocessing", "uuid", "calendar", "logging.handlers")


def run(rest: str) -> str:
    """Return what a fresh interpreter prints that loaded what a node loads."""
    done = subprocess.run(
        [sys.executable, "-c", NODE.format(rest=rest)], capture_output=True, text=True, check=False
    )
    return done.stdout.strip() + done.stderr.strip().rpartition("\n")[2]


def test_a_node_loads_no_tls_no_command_line_and_nothing_that_starts_processes() -> None:
    assert run(f"print([name for name in {LEFT_OUT} if name in sys.modules])") == "[]"


@pytest.mark.parametrize(
    ("use", "result"),
    [
        ("import uvicorn.server; print(uvicorn.Server is uvicorn.server.Server)", "True"),
        (
            "import email.utils; print(email.utils.formatdate(0, usegmt=True))",
            "Thu, 01 Jan 1970 00:00:00 GMT",
        ),
        ("import logging.config; print(logging.config.dictConfig({'version': 1}))", "None"),
        ("import ssl; print(ssl.create_default_context().check_hostname)", "True"),
        (
            "import ssl as kept; from yokesill.lazy_imports import TLS_CONSTANTS; kept.CERT_REQUIRED;"
            "import ssl;"
            "print(TLS_CONSTANTS == {each: int(getattr(ssl, each)) for each in TLS_CONSTANTS})",
            "True",
        ),
        ("import platform; print(platform.python_implementation())", "CPython"),
    ],
)
def test_what_was_left_out_is_loaded_when_it_is_used_all_the_same(use: str, result: str) -> None:
    assert run(use) == result


def test_a_node_renders_its_figures_without_tls() -> None:
    use = "from yokesill.telemetry import exposition, figures\n"
    use += "told = figures.GatewayMetrics()\ntold.gauge('yokesill_nodes', 'Nodes', 3)\n"
    use += "print(exposition.render(told).decode().splitlines()[-1], '_ssl' in sys.modules)"
    assert run(use) == "yokesill_nodes 3.0 False"


def test_a_process_that_postponed_nothing_collects_as_before() -> None:
    before = gc.get_freeze_count()
    gc_tuning.freeze()
    assert (gc.isenabled(), gc.get_freeze_count()) == (True, before)


def test_what_a_start_made_is_not_looked_through_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gc_tuning, "_paused", False)
    try:
        gc_tuning.pause()
        assert not gc.isenabled()
        gc_tuning.freeze()
        assert gc.isenabled()
        assert gc.get_freeze_count() > 0
    finally:
        gc.enable()
        gc.unfreeze()


def test_sockets_for_datagrams_start_no_thread() -> None:
    async def open_and_count() -> int:
        before = threading.active_count()
        opened = await open_datagrams(Address("127.0.0.1", 0))
        assert opened is not None
        async with opened:
            return threading.active_count() - before

    assert anyio.run(open_and_count) == 0


def test_a_port_that_is_taken_leaves_a_node_without_datagrams() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        assert anyio.run(open_datagrams, Address(*taken.getsockname())) is None
