"""A starting node loads no unused library modules, starts no threads and collects no garbage."""

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
{code}
"""
UNUSED_MODULES = ("_ssl", "_hashlib", "click", "multiprocessing", "uuid", "calendar", "logging.handlers")


def run(code: str) -> str:
    """Return what a new interpreter prints after it has loaded a node's modules."""
    done = subprocess.run(
        [sys.executable, "-c", NODE.format(code=code)], capture_output=True, text=True, check=False
    )
    return done.stdout.strip() + done.stderr.strip().rpartition("\n")[2]


def test_node_loads_no_tls_command_line_or_multiprocessing_modules() -> None:
    assert run(f"print([name for name in {UNUSED_MODULES} if name in sys.modules])") == "[]"


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
def test_deferred_module_is_loaded_when_it_is_used(use: str, result: str) -> None:
    assert run(use) == result


def test_node_renders_its_metrics_without_tls() -> None:
    use = "from yokesill.telemetry import exposition, figures\n"
    use += "metrics = figures.GatewayMetrics()\nmetrics.gauge('yokesill_nodes', 'Nodes', 3)\n"
    use += "print(exposition.render(metrics).decode().splitlines()[-1], '_ssl' in sys.modules)"
    assert run(use) == "yokesill_nodes 3.0 False"


def test_freeze_without_pause_changes_nothing() -> None:
    before = gc.get_freeze_count()
    gc_tuning.freeze()
    assert (gc.isenabled(), gc.get_freeze_count()) == (True, before)


def test_objects_created_at_start_are_excluded_from_collections(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_datagram_socket_starts_no_thread() -> None:
    async def open_and_count() -> int:
        before = threading.active_count()
        opened = await open_datagrams(Address("127.0.0.1", 0))
        assert opened is not None
        async with opened:
            return threading.active_count() - before

    assert anyio.run(open_and_count) == 0


def test_port_in_use_leaves_a_node_without_datagrams() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        assert anyio.run(open_datagrams, Address(*taken.getsockname())) is None
