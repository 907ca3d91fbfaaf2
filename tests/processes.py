"""Starts and ends real processes for the feature files that need them."""

import json
import re
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

EXAMPLES = Path(__file__).parent.parent / "examples"
TOKEN = "first-operator"
START_LIMIT = 60.0
POLL = 0.05


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
    """The example deployment as separate processes: stand-ins and nodes."""

    def __init__(self, folder: Path, nodes: int = 2) -> None:
        self.folder = folder
        self.first = free_port_block(40)
        self.nodes = [f"127.0.0.1:{self.first + 1 + index}" for index in range(nodes)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def start_stand_ins(self) -> None:
        arguments = ["emulate", str(EXAMPLES / "scenario.yaml"), "--store-port", str(self.first)]
        self._spawn("stand-ins", [*arguments, "--first-port", str(self.first + 10)])
        self.wait(lambda: self._http("GET", f"127.0.0.1:{self.first}", "/machines")[0] == 200)

    def start_node(self, index: int) -> None:
        address = self.nodes[index]
        text = (EXAMPLES / f"node{index % 2 + 1}.toml").read_text()
        seeds = json.dumps(self.nodes)
        values = {"address": f'"{address}"', "seeds": seeds, "url": f'"http://127.0.0.1:{self.first}"'}
        for name, value in values.items():
            text = re.sub(rf"^{name} = .*$", f"{name} = {value}", text, flags=re.MULTILINE)
        path = self.folder / f"node{index}.toml"
        path.write_text(text)
        self._spawn(address, ["serve", str(path)])
        self.wait(lambda: self._http("GET", address, "/readyz")[0] == 200)

    def documents(self) -> Path:
        path = self.folder / "documents.yaml"
        self.cli("emulate", str(EXAMPLES / "scenario.yaml"), "--first-port", str(self.first + 10),
                 "--documents", str(path))  # fmt: skip
        return path

    def cli(self, *arguments: str, node: int | None = None, check: bool = True) -> str:
        command = [sys.executable, "-m", "yokesill.cli.main", *arguments]
        if node is not None:
            command += ["--node", self.nodes[node], "--token", TOKEN]
        done = subprocess.run(command, capture_output=True, text=True, timeout=START_LIMIT, check=False)
        if check:
            assert done.returncode == 0, done.stdout + done.stderr
        return done.stdout

    def call(self, node: int, method: str, path: str, body: Any = None, **headers: str) -> tuple[int, Any]:
        all_headers = {"Authorization": f"Bearer {TOKEN}", **headers}
        return self._http(method, self.nodes[node], path, body, all_headers)

    def wait(self, condition: Any, limit: float = START_LIMIT) -> None:
        end = time.monotonic() + limit
        while not condition():
            assert time.monotonic() < end, f"not within {limit} s"
            time.sleep(POLL)

    def stop(self) -> None:
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
