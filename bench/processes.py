"""Real processes under load while nodes are killed, frozen and stopped, and servers leave.

For each deployment: the thin baseline and the full system with the same stragglers and the same
lost servers, then the full system under faults of nodes with operators changing the policy. Counts
every promise's violations. Writes ``bench/results/processes.json``.
"""

import json
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from launcher import TOKEN, Deployment
from results_file import revision, write_results

BENCH = Path(__file__).parent
SECONDS = 15
FAULT_SECONDS = 30
# All back ends share one process here: the scenarios' full rates would fill it, not the nodes.
FACTOR = "0.3"
IN_FORCE_LIMIT = 5.0
ZONES = {"lima": ["z1", "z2", "z3", "z4"], "nairobi": ["z1", "z2", "z3"]}
THIN = "[routing]\nthin = true\n"
QUIET = '[logs]\nlevel = "error"\n'


def start(folder: str, name: str, extra: str) -> Deployment:
    """Start a deployment with its configuration in force everywhere."""
    deployment = Deployment(Path(folder), BENCH / "scenarios" / f"{name}.yaml", ZONES[name], QUIET + extra)
    deployment.start_stand_ins()
    for index in range(len(ZONES[name])):
        deployment.start_node(index)
    deployment.cli("apply", str(deployment.documents()), node=0)
    count = len(ZONES[name])
    deployment.wait(lambda: in_force(deployment, 0) == count)
    time.sleep(2)
    return deployment


def in_force(deployment: Deployment, node: int) -> int:
    """Return on how many members a node's configuration is in force."""
    status, body = deployment.call(node, "GET", "/v1/status")
    return int(body["in_force"]["members"]) if status == 200 else 0


def load(deployment: Deployment, name: str, seconds: int, killed: str = "") -> dict[str, Any]:
    """Run the load tool in its own process and return its summary."""
    command = [
        sys.executable,
        "-m",
        "yokesill.cli.main",
        "load",
        str(deployment.scenario),
        "--output",
        "json",
    ]
    command += [
        "--nodes",
        ",".join(deployment.nodes),
        "--token",
        TOKEN,
        "--seconds",
        str(seconds),
        "--factor",
        FACTOR,
    ]
    command += ["--first-port", deployment.first_server_port, "--killed", killed]
    done = subprocess.run(command, capture_output=True, text=True, timeout=seconds + 120, check=False)
    for line in done.stderr.splitlines():
        if "violation" in line or "rror" in line:
            print(f"  {name}: {line[:300]}", file=sys.stderr)
    summary: dict[str, Any] = json.loads(done.stdout)
    summary["name"] = name
    return summary


def hurt_servers(deployment: Deployment) -> None:
    """Make every server straggle (1 in 100, ten times slower) and freeze one replica of each service."""
    text = deployment.documents().read_text()
    first_of_service: dict[str, str] = {}
    for key, address in re.findall(r"key: (\S+/replicas/1/s0)\n.*?address: (\S+)", text, re.DOTALL):
        first_of_service.setdefault(key, address)
    for address in re.findall(r"address: (\S+)", text):
        frozen = address in first_of_service.values()
        faults = {"straggle_probability": 0.01, "straggle_factor": 10, "frozen": frozen}
        deployment.server(address, {"faults": faults})


def hurt_nodes(deployment: Deployment, events: list[list[Any]]) -> None:
    """Kill, freeze and stop nodes, and drain a server, each in its turn."""
    started = time.monotonic()
    last = len(deployment.nodes) - 1

    def at(seconds: float, what: str) -> None:
        time.sleep(max(0.0, started + seconds - time.monotonic()))
        events.append([round(time.monotonic() - started, 1), what])

    at(3, "kill a node")
    deployment.signal(last, signal.SIGKILL)
    at(6, "start it again")
    deployment.start_node(last)
    at(9, "freeze it")
    deployment.signal(last, signal.SIGSTOP)
    at(15, "thaw it")
    deployment.signal(last, signal.SIGCONT)
    at(18, "drain a server")
    address = re.findall(r"address: (\S+)", deployment.documents().read_text())[0]
    deployment.server(address, {"faults": {"leaving": True}})
    machine = {"address": address, "kind": "server", "leaving": True}
    deployment.store("POST", "/control", {"machines": [machine]})
    at(21, "stop a node as planned")
    deployment.signal(1, signal.SIGTERM)
    code = deployment.processes[deployment.nodes[1]].wait(60)
    at(0, f"it exited with {code}")
    deployment.start_node(1)


def operate(deployment: Deployment, done: threading.Event, times: list[float]) -> None:
    """Change the policy again and again; time until it is in force on every member that serves."""
    key = next(
        line.split()[1]
        for line in deployment.documents().read_text().splitlines()
        if re.match(r"key: \S+/services/[^/]+$", line)
    )
    number = 0
    while not done.is_set():
        number += 1
        _, current = deployment.call(0, "GET", f"/v1/{key}")
        document = current["document"]
        document["extra_load_budget"] = 0.05 + number / 100_000
        etag = f'"{current["revision"]}"'
        status, body = deployment.call(0, "PUT", f"/v1/{key}", document, **{"If-Match": etag})
        if status != 200:
            print(f"  a change was refused: {status} {body}", file=sys.stderr)
            time.sleep(1)
            continue
        changed = time.monotonic()
        while not everywhere(deployment) and time.monotonic() - changed < 20:
            time.sleep(0.02)
        times.append(time.monotonic() - changed)
        time.sleep(0.5)


def everywhere(deployment: Deployment) -> bool:
    """Whether every member that answers has the same configuration in force."""
    status, body = deployment.call(0, "GET", "/v1/status")
    if status != 200:
        return False
    answering = [each for each in body["members"] if each["state"] == "serving"]
    return all(each["in_force"] for each in answering)


def under_node_faults(folder: str, name: str) -> dict[str, Any]:
    """Run the full system while its nodes fail and operators work."""
    deployment = start(folder, name, "")
    events: list[list[Any]] = []
    times: list[float] = []
    done = threading.Event()
    try:
        threads = [
            threading.Thread(target=hurt_nodes, args=(deployment, events)),
            threading.Thread(target=operate, args=(deployment, done, times)),
        ]
        for thread in threads:
            thread.start()
        summary = load(deployment, f"{name} node faults full", FAULT_SECONDS, deployment.nodes[-1])
        threads[0].join()
        done.set()
        threads[1].join()
    finally:
        deployment.stop()
    late = sum(1 for each in times if each > IN_FORCE_LIMIT)
    summary["faults"] = events
    summary["changes"] = {"count": len(times), "slowest_s": max(times, default=0.0), "late": late}
    if late:
        summary["violations"]["configuration"] = late
    return summary


def under_server_faults(folder: str, name: str, mode: str, hurt: bool) -> dict[str, Any]:
    """Run one mode with healthy servers, or with stragglers and lost servers."""
    deployment = start(folder, name, THIN if mode == "thin" else "")
    try:
        if hurt:
            hurt_servers(deployment)
        variant = "stragglers+lost" if hurt else "plain"
        return load(deployment, f"{name} {variant} {mode}", SECONDS)
    finally:
        deployment.stop()


def main() -> int:
    """Run everything, print a line each and write the results."""
    runs = []
    for name in sys.argv[1:] or ZONES:
        for hurt in (False, True):
            for mode in ("full", "thin"):
                with tempfile.TemporaryDirectory() as folder:
                    runs.append(under_server_faults(folder, name, mode, hurt))
                print_row(runs[-1])
        with tempfile.TemporaryDirectory() as folder:
            runs.append(under_node_faults(folder, name))
        print_row(runs[-1])
        print(f"  faults {runs[-1]['faults']}; changes {runs[-1]['changes']}")
    write_results("processes", {"revision": revision(), "runs": runs})
    return 0


def print_row(run: dict[str, Any]) -> None:
    """Print one run's figures."""
    total = run["total"]
    latency = total["latency_ms"]
    print(
        f"{run['name']:32} p50 {latency.get('p50', 0):6.1f} p99 {latency.get('p99', 0):7.1f} "
        f"p99.9 {latency.get('p99.9', 0):7.1f} answered {total['answered'] / max(1, total['sent']):.4f} "
        f"coverage {total['mean_coverage']:.4f} extra {run['extra_load']:.4f} "
        f"refused {total['refused']} violations {run['violations'] or 'none'}",
        flush=True,
    )


if __name__ == "__main__":
    raise SystemExit(main())
