"""A node's start: the socket for callers is opened first, and only declared packages are loaded."""

import re
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from yokesill.platform.main import run as run_node
from yokesill.platform.start import listen_early

ROOT = Path(__file__).resolve().parents[2]
PRINT_LOADED_PACKAGES = """
import sys
before = set(sys.modules)
import yokesill.platform.main
import yokesill.platform.start
names = {name.partition(".")[0] for name in set(sys.modules) - before}
paths = {name: getattr(sys.modules.get(name), "__file__", None) or "" for name in names}
print(" ".join(sorted(name for name in names if "site-packages" in paths[name])))
"""
PRINT_LARGE_PACKAGE_LOADED = """
import sys
import yokesill.platform.start
print(any(name.startswith(("anyio", "uvicorn", "structlog")) for name in sys.modules))
"""
SETTINGS = """
nodeName = "n1"
zone = "z1"
ip = "127.0.0.1"
[listenAddrs]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[platform]
address = "127.0.0.1:3"
"""
# Packages whose import name differs from their name.
PACKAGE_OF_IMPORT = {
    "typing_extensions": "typing-extensions",
    "_cbor2": "cbor2",
    "prometheus_client": "prometheus-client",
}


def run(code: str) -> str:
    return subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.strip()


def test_callers_that_connect_during_imports_wait_in_the_sockets_queue() -> None:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    listening = listen_early(f"127.0.0.1:{port}")
    assert listening is not None
    with listening, socket.create_connection(("127.0.0.1", port), timeout=1.0) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
        accepted, _ = listening.accept()
        with accepted:
            assert accepted.recv(100).startswith(b"GET /")


@pytest.mark.parametrize("address", ["", "nowhere", "127.0.0.1:", "127.0.0.1:99999999", "300.1.1.1:80"])
def test_unusable_address_is_reported_and_opens_no_socket(
    address: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert listen_early(address) is None
    assert repr(address) in capsys.readouterr().err


def test_unknown_switch_ends_the_start_with_an_error(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    monkeypatch.setenv("YOKESILL_CONFIG", str(path))
    monkeypatch.setenv("YOKESILL_SWITCHED_OFF", "paces paging")
    assert run_node() != 0
    assert "YOKESILL_SWITCHED_OFF: no such switch: paging; known: " in capsys.readouterr().err


def test_no_large_package_is_loaded_before_the_socket_is_open() -> None:
    assert run(PRINT_LARGE_PACKAGE_LOADED) == "False"


def test_serving_node_loads_only_declared_packages() -> None:
    text = (ROOT / "requirements-serve.txt").read_text()
    declared = {re.split("[=<>]", line)[0].replace("_", "-") for line in text.split()}
    loaded = {
        PACKAGE_OF_IMPORT.get(name, name.replace("_", "-")) for name in run(PRINT_LOADED_PACKAGES).split()
    } - {"yokesill"}
    # Optional dependencies of the declared packages, which use them only if they are installed.
    optional = {
        "rich",
        "pygments",
        "better-exceptions",
        "colorama",
        "attr",
        "attrs",
        "yaml",
        "dotenv",
        "sniffio",
    }
    assert loaded - optional <= declared


def test_every_package_list_has_the_versions_of_the_full_list() -> None:
    whole = set((ROOT / "requirements.txt").read_text().split())
    for name in ("requirements-serve.txt", "requirements-demo.txt"):
        assert set((ROOT / name).read_text().split()) <= whole, name
