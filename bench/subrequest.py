"""The processor time of one sub-request through the real stack, as the fan-out grows.

The stand-in servers run in a process of their own (started by this launcher), so that the figures
are the node's: the router, the driver, the connection set, the wire. Both kinds of connection are
measured in turns in one run; the ratio between them is what to look at. Writes
``bench/results/subrequest.json``.
"""

import random
import statistics
import subprocess
import sys
import time
from typing import Any

import anyio
import anyio.lowlevel
import yaml
from results_file import folder, revision, write_results

from yokesill.backends.connections import new_connection
from yokesill.backends.http_backend import HttpBackendClient
from yokesill.backends.httptools_connection import HttptoolsConnection
from yokesill.emulator.scenario import Scenario, documents_of, place_servers
from yokesill.query.driver import QueryDriver
from yokesill.replication.catalog import Catalog
from yokesill.replication.state import ReplicatedState
from yokesill.resources.keys import ServiceName
from yokesill.resources.objects import StoredObject
from yokesill.routing.events import Answer, ServerObserved, ServiceInstalled
from yokesill.routing.messages import QueryRequest
from yokesill.routing.options import RoutingOptions
from yokesill.routing.router import Router

FAN_OUTS = (8, 16, 64, 130)
SUB_REQUESTS = 4000
ROUNDS = 3
FIRST_PORT = 21000
KINDS = {"h11": new_connection, "httptools": HttptoolsConnection}


def scenario_of(fan_out: int) -> dict[str, Any]:
    """Return a scenario of one service with ``fan_out`` fast servers."""
    service = {
        "name": "wide",
        "shards": fan_out,
        "replicas": 1,
        "slots": 64,
        "service_time_ms": 0.01,
        "records": fan_out,
        "classes": {"all": {"rules": [{"then": {"wait_ms": 20000}}]}},
    }
    return {"name": "wide", "namespace": "bench", "zones": ["z1"], "services": [service]}


async def measure(fan_out: int, kind: str) -> float:
    """Return microseconds of this process's processor time for one sub-request."""
    scenario = Scenario.model_validate(scenario_of(fan_out))
    state = ReplicatedState()
    documents = documents_of(scenario, place_servers(scenario, "127.0.0.1", FIRST_PORT))
    for number, (key, value) in enumerate(documents.items(), start=1):
        state.merge(StoredObject(key, number, "bench", value))
    catalog = Catalog(state)
    catalog.refresh(documents)
    name = ServiceName("bench", "wide")
    router = Router(RoutingOptions(zone="z1"), random.Random(1))
    backends = HttpBackendClient(8, KINDS[kind])
    driver = QueryDriver(router, backends, lambda action: None)
    queries = max(10, SUB_REQUESTS // fan_out)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(driver.run)
        await anyio.lowlevel.checkpoint()
        driver.feed(ServiceInstalled(catalog.services[name]))
        for server in list(router.servers.all()):
            report = await backends.check(server.address)
            driver.feed(ServerObserved(server.address, report, anyio.current_time()))
        await ask(driver, name, 3, "warm")
        started = time.process_time()
        await ask(driver, name, queries, "run")
        used = time.process_time() - started
        task_group.cancel_scope.cancel()
    return used / (queries * fan_out) * 1e6


async def ask(driver: QueryDriver, name: ServiceName, count: int, prefix: str) -> None:
    """Run ``count`` wide queries one after the other."""
    for number in range(count):
        deadline = anyio.current_time() + 20
        query = QueryRequest(f"{prefix}-{number}", name, "all", {"q": 1}, 10, deadline, True)
        final = await driver.execute(query)
        assert isinstance(final, Answer), final


def main() -> int:
    """Measure every fan-out with both kinds, in turns."""
    rows = []
    print(f"{'fan-out':>8} {'h11 us':>9} {'httptools us':>13} {'ratio':>6}")
    for fan_out in FAN_OUTS:
        path = folder() / "wide.tmp.yaml"
        path.write_text(yaml.safe_dump(scenario_of(fan_out)))
        command = [sys.executable, "-m", "yokesill.cli.main", "emulate", str(path), "--store-port", "0"]
        servers = subprocess.Popen(
            [*command, "--first-port", str(FIRST_PORT)], stdout=subprocess.PIPE, text=True
        )
        try:
            assert servers.stdout is not None
            servers.stdout.readline()
            figures: dict[str, list[float]] = {kind: [] for kind in KINDS}
            for _ in range(ROUNDS):
                for kind in KINDS:
                    figures[kind].append(anyio.run(measure, fan_out, kind))
        finally:
            servers.terminate()
            servers.wait()
            path.unlink()
        h11, httptools = (statistics.median(figures[kind]) for kind in KINDS)
        rows.append({"fan_out": fan_out, "h11_us": h11, "httptools_us": httptools})
        print(f"{fan_out:>8} {h11:9.0f} {httptools:13.0f} {httptools / h11:6.2f}", flush=True)
    write_results("subrequest", {"revision": revision(), "rows": rows})
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
