"""Measures a node from its start to its first answers, and its memory: a real process over loopback.

A copy of the sources and of the declared packages, compiled as in the build of the deploy file, runs
``python3 -S deploy/serve.py`` against stand-ins for the store and for 675 servers, with 1,400 routes
(``--routes``). Callers connect at once, as after a power failure, and wait in the socket's backlog.
CPU time in ms (``/proc/PID/schedstat``), medians; the rows are successive readings and cumulative.
Memory in MB: ``resident`` and its ``peak``, and ``private``, which is shared with no other process.
``--label NAME`` saves the figures under that name in ``bench/results/startup.json``; ``--lean`` sends no
wide requests. Since a machine's speed drifts, ``--against DIRECTORY`` measures another checkout
alternately with this one, and saves its figures under ``NAME, against``.
"""

import argparse
import asyncio
import json
import os
import re
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from importlib.metadata import distribution
from pathlib import Path

import standins
from results_file import folder, revision

ROOT = Path(__file__).parents[1]
RUNS, REQUESTS, ROUTES = 10, 100, 1400
NODE, FIRST_PORT = "127.0.0.1", 22000
CALLERS, PROBES, CONTROL, STORE_PORT = 21900, 21901, 21902, 21903
SETTINGS = f"""
nodeName = "front-1"
zone = "z1"
ip = "{NODE}"
portRange = [21910, 21925]
seedNodes = ["{NODE}:{CONTROL}"]
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
[zones]
z1 = "r1"
z2 = "r1"
z3 = "r1"
[listenAddrs]
front = "{NODE}:{CALLERS}"
ready = "{NODE}:{PROBES}"
control = "{NODE}:{CONTROL}"
[limits]
cpuShare = 0.5
cpuCores = 1
[bounds]
drainMs = 3000
configApplyMs = 3000
contactMs = 4000
graceS = 6
[platform]
address = "{standins.STORE}:{STORE_PORT}"
"""
STEPS = {
    "interpreter": "pass",
    "callers' socket": "import yokesill.platform.start",
    "imports": (
        "import yokesill.platform.start\n"
        "try:\n    import yokesill.lazy_imports as lazy\n"
        # Older checkouts call it ``leave_out``.
        "    (getattr(lazy, 'install', None) or lazy.leave_out)()\n"
        "except ImportError:\n    pass  # A checkout without lazy imports.\n"
        "import yokesill.platform.main"
    ),
}


def build(place: Path, root: Path = ROOT) -> dict[str, str]:
    """Copy and compile the files of a node of the checkout ``root``; return the node's environment."""
    for name in ("src", "deploy"):
        shutil.copytree(root / name, place / name, ignore=shutil.ignore_patterns("__pycache__"))
    packages = place / "target" / "deps"
    for line in (ROOT / "requirements-serve.txt").read_text().split():
        found = distribution(re.split("[=<>]", line)[0])
        for file in found.files or ():
            if ".." not in file.parts and "__pycache__" not in file.parts:
                target = packages / file
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(str(found.locate_file(file)), target)
    by_hash = [sys.executable, "-m", "compileall", "-q", "--invalidation-mode", "checked-hash"]
    subprocess.run([*by_hash, str(packages), str(place / "src")], check=True)
    (place / "node.toml").write_text(SETTINGS)
    kept = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
    paths = os.pathsep.join((str(place / "src"), str(packages)))
    return {**kept, "PYTHONPATH": paths, "YOKESILL_CONFIG": str(place / "node.toml")}


def step_ms(place: Path, environment: dict[str, str], code: str) -> float:
    """Return the CPU time of an interpreter that runs ``code``, in ms."""
    process = subprocess.Popen([sys.executable, "-S", "-c", code], cwd=place, env=environment)
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = status
    assert status == 0, code
    return (usage.ru_utime + usage.ru_stime) * 1000


def cpu_time_ms(pid: int) -> float:
    """Return the CPU time of a running process, in ms."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e6


def memory_mb(pid: int) -> dict[str, float]:
    """Return the memory of a process, in MB."""
    text = Path(f"/proc/{pid}/status").read_text()
    sizes = {name: int(size) / 1024 for name, size in re.findall(r"(\w+):\s+(\d+) kB", text)}
    return {"resident": sizes["VmRSS"], "peak": sizes["VmHWM"], "private": sizes["RssAnon"]}


async def ask(path: str, number: int) -> None:
    """Send one request over a new connection and read the answer."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(NODE, CALLERS)
            break
        except ConnectionRefusedError:
            await asyncio.sleep(0.002)
    head = f"GET {path} HTTP/1.1\r\nhost: {standins.HOST}\r\nx-yokesill-request-id: q{number}\r\n"
    writer.write(f"{head}x-yokesill-deadline-ms: 4000\r\n\r\n".encode())
    answer = await reader.readuntil(b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 200"), answer
    length = re.search(rb"content-length: (\d+)", answer)
    await reader.readexactly(int(length[1]) if length else 0)
    writer.close()


def start(command: list[str], place: Path, environment: dict[str, str]) -> subprocess.Popen[bytes]:
    """Start a process with its standard output in a pipe."""
    return subprocess.Popen(command, cwd=place, env=environment, stdout=subprocess.PIPE)


async def run_node(place: Path, environment: dict[str, str], lean: bool) -> dict[str, float]:
    """Start a node, send it requests and kill it; return its figures."""
    command = [sys.executable, "-S", "deploy/serve.py", f"{NODE}:{CALLERS}"]
    started = time.monotonic()
    process = start(command, place, environment)
    assert process.stdout is not None
    reader = asyncio.StreamReader(limit=1 << 24)
    loop = asyncio.get_running_loop()
    pipe, _ = await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), process.stdout)
    row: dict[str, float] = {}

    def mark(name: str) -> None:
        row[f"{name} ms"] = cpu_time_ms(process.pid)
        row[f"{name} wall ms"] = (time.monotonic() - started) * 1000

    first = asyncio.ensure_future(ask("/one/x", 0))
    try:
        async for line in reader:
            entry = json.loads(line)
            if entry["event"] == "listening":
                mark("listening")
            if entry["event"] == "state":
                mark("ready")
                break
        rest = asyncio.ensure_future(reader.read())
        await first
        mark("first answer")
        row |= {f"start {name} MB": size for name, size in memory_mb(process.pid).items()}
        if not lean:
            await ask("/wide/x", 1)
            mark("first wide answer")
            for number in range(REQUESTS):
                await ask("/wide/x", number + 2)
        row |= {f"load {name} MB": size for name, size in memory_mb(process.pid).items()}
        mark("load")
    finally:
        process.kill()
        process.wait()
        pipe.close()
    await rest
    return row


async def measure(roots: list[Path], runs: int, lean: bool, routes: int) -> list[dict[str, float]]:
    """Return the medians of all figures per checkout; the checkouts run alternately."""
    servers = standins.SERVICES * standins.REPLICAS
    configuration = standins.Configuration(routes, range(FIRST_PORT, FIRST_PORT + servers))
    await standins.serve(configuration, STORE_PORT)
    rows: list[list[dict[str, float]]] = [[] for _ in roots]
    with tempfile.TemporaryDirectory() as folder_name:
        places = [Path(folder_name, str(number)) for number in range(len(roots))]
        environments = [build(place, root) for place, root in zip(places, roots, strict=True)]
        for _ in range(runs):
            for place, environment, kept in zip(places, environments, rows, strict=True):
                row = {f"{name} ms": step_ms(place, environment, code) for name, code in STEPS.items()}
                kept.append(row | await run_node(place, environment, lean))
    return [
        {name: round(statistics.median(row[name] for row in kept), 1) for name in kept[0]} for kept in rows
    ]


def main() -> int:
    """Measure and print the figures; save them under their label."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--label", default="")
    parser.add_argument("--runs", type=int, default=RUNS)
    parser.add_argument("--routes", type=int, default=ROUTES, help="routes besides the two that get requests")
    parser.add_argument("--lean", action="store_true")
    parser.add_argument("--against", type=Path, help="another checkout, measured alternately with this one")
    given = parser.parse_args()
    roots = [ROOT, given.against] if given.against else [ROOT]
    medians = asyncio.run(measure(roots, given.runs, given.lean, given.routes))
    for name in medians[0]:
        print(f"{name:28}" + "".join(f" {each[name]:9.1f}" for each in medians))
    if given.label:
        save_figures(given.label, given.runs, medians)
    return 0


def save_figures(label: str, runs: int, medians: list[dict[str, float]]) -> None:
    """Save the figures in the results file."""
    path = folder() / "startup.json"
    results = json.loads(path.read_text()) if path.exists() else {}
    for name, figures in zip((label, f"{label}, against"), medians, strict=False):
        results[name] = {"revision": revision(), "runs": runs, "medians": figures}
    path.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    raise SystemExit(main())
