"""Starts and ends the processes of a deployment, for the features that need real ones.

Nothing in the product starts a process; this launcher stands in for the machines' own.
"""

import hashlib
import json
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

TOKEN = "first-operator"
START_LIMIT = 60.0
POLL = 0.05
PORTS = 120
BACKEND_PROCESSES = 3
SETTINGS = """
[node]
address = "{address}"
zone = "{zone}"
seeds = {seeds}
[store]
url = "{store}"
[cluster]
keys = ["000102030405060708090a0b0c0d0e0f"]
[administration]
token_sha256 = "{token}"
"""


def free_port_block(size: int) -> int:
    """Return the first of ``size`` consecutive ports that are free now."""
    for first in range(20000, 60000, 97):
        sockets = []
        try:
            for port in range(first, first + size):
                sockets.append(socket.socket())
                sockets[-1].bind(("127.0.0.1", port))
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
        return first
    raise RuntimeError("no free ports")


class Deployment:
    """A scenario's stand-ins and some nodes as separate processes on loopback."""

    def __init__(self, folder: Path, scenario: Path, zones: list[str], extra_settings: str = "") -> None:
        self.folder = folder
        self.scenario = scenario
        self.zones = zones
        self.first = free_port_block(PORTS)
        self.nodes = [f"127.0.0.1:{self.first + 1 + index}" for index in range(len(zones))]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._extra_settings = extra_settings

    @property
    def first_server_port(self) -> str:
        """The port of the first back end."""
        return str(self.first + 20)

    def start_stand_ins(self) -> None:
        """Start the platform and the back ends, and wait until they answer."""
        arguments = ["emulate", str(self.scenario), "--first-port", self.first_server_port]
        self._spawn("platform", [*arguments, "--store-port", str(self.first), "--no-backends"])
        for part in range(BACKEND_PROCESSES):
            more = ["--store-port", "0", "--part", f"{part}/{BACKEND_PROCESSES}"]
            self._spawn(f"servers{part}", [*arguments, *more])
        self.wait_until(lambda: self.store("GET", "/machines")[0] == 200)
        last = int(self.first_server_port) + BACKEND_PROCESSES - 1
        for port in range(int(self.first_server_port), last + 1):
            self.wait_until(lambda port=port: self._http("GET", f"127.0.0.1:{port}", "/health")[0] == 200)

    def start_node(self, index: int) -> None:
        """Start a node, and wait until it serves."""
        address = self.nodes[index]
        path = self.folder / f"node{index}.toml"
        path.write_text(
            SETTINGS.format(
                address=address,
                zone=self.zones[index],
                seeds=json.dumps(self.nodes),
                store=f"http://127.0.0.1:{self.first}",
                token=hashlib.sha256(TOKEN.encode()).hexdigest(),
            )
            + self._extra_settings
        )
        self._spawn(address, ["serve", str(path)])
        self.wait_until(lambda: self._http("GET", address, "/readyz")[0] == 200)

    def signal(self, index: int, number: int) -> None:
        """Send a signal to a node's process."""
        self.processes[self.nodes[index]].send_signal(number)

    def store(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Call the platform's stand-in."""
        return self._http(method, f"127.0.0.1:{self.first}", path, body)

    def server(self, address: str, body: Any) -> tuple[int, Any]:
        """Give a back end's stand-in an order."""
        return self._http("POST", address, "/control", body)

    def documents(self) -> Path:
        """Write the scenario's configuration documents and return the file."""
        path = self.folder / "documents.yaml"
        arguments = ["emulate", str(self.scenario), "--first-port", self.first_server_port]
        self.cli(*arguments, "--documents", str(path))
        return path

    def cli(self, *arguments: str, node: int | None = None, check: bool = True) -> str:
        """Run the command line and return its output."""
        command = [sys.executable, "-m", "yokesill.cli.main", *arguments]
        if node is not None:
            command += ["--node", self.nodes[node], "--token", TOKEN]
        done = subprocess.run(command, capture_output=True, text=True, timeout=START_LIMIT, check=False)
        if check:
            assert done.returncode == 0, done.stdout + done.stderr
        return done.stdout

    def call(self, node: int, method: str, path: str, body: Any = None, **headers: str) -> tuple[int, Any]:
        """Call a node's API; status 0 is a refused connection, -1 one that was cut."""
        all_headers = {"Authorization": f"Bearer {TOKEN}", **headers}
        return self._http(method, self.nodes[node], path, body, all_headers)

    def wait_until(self, condition: Any, limit: float = START_LIMIT) -> None:
        """Wait until a condition holds."""
        end = time.monotonic() + limit
        while not condition():
            assert time.monotonic() < end, f"not within {limit} s"
            time.sleep(POLL)

    def stop(self) -> None:
        """End every process."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def _spawn(self, name: str, arguments: list[str]) -> None:
        log = (self.folder / f"{name.replace(':', '_')}.log").open("ab")
        command = [sys.executable, "-m", "yokesill.cli.main", *arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    @staticmethod
    def _http(
        method: str, address: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> tuple[int, Any]:
        data = body if isinstance(body, bytes) else None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{address}{path}", data=data, method=method, headers=headers or {}
        )
        try:
            with urllib.request.urlopen(request, timeout=30) as reply:
                content, status = reply.read(), reply.status
        except urllib.error.HTTPError as error:
            content, status = error.read(), error.code
        except urllib.error.URLError as error:
            refused = isinstance(error.reason, ConnectionRefusedError)
            return (0, None) if refused else (-1, repr(error))
        except OSError as error:
            return -1, repr(error)
        try:
            return status, json.loads(content)
        except ValueError:
            return status, content.decode(errors="replace")
