"""Measures the CPU time per sub-request of a gateway node by fan-out.

This script starts stand-in servers, which answer at once, in a separate process, so that only the node's own
CPU time is measured: router, driver, connections, wire. Writes
``bench/results/gateway_subrequest.json``; ``--profile`` prints a profile instead.
"""

import asyncio
import cProfile
import pstats
import random
import statistics
import subprocess
import sys
import time
from typing import TypedDict

import anyio
from results_file import revision, write_results

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Configuration, Gather, Route, ServerRecord, ServiceLimits
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.router import GatewayRouter
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.header_names import HeaderNames
from yokesill.upstreams.server_client import ServerClient

FAN_OUTS = (8, 16, 64, 130)
SUB_REQUESTS = 8000
ROUNDS = 3
FIRST_PORT = 21300
HOST = "127.0.0.1"
BODY = bytes(range(16)) * 60


class Row(TypedDict):
    """One fan-out and its CPU time per sub-request in microseconds."""

    fan_out: int
    subrequest_us: float


async def serve_parts(ports: int) -> None:
    """Listen on ``ports`` ports and answer each request with one part of 60 records."""

    class Part(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            self.transport = transport

        def data_received(self, data: bytes) -> None:
            request_id = next(line for line in data.split(b"\r\n") if line.startswith(b"request-id: "))
            head = b"HTTP/1.1 200 OK\r\n" + request_id + b"\r\nserver-signature: s\r\n"
            answer = head + b"content-length: %d\r\n\r\n" % len(BODY) + BODY
            assert isinstance(self.transport, asyncio.Transport)
            self.transport.write(answer)

    loop = asyncio.get_running_loop()
    for port in range(FIRST_PORT, FIRST_PORT + ports):
        await loop.create_server(Part, HOST, port)
    print("listening", flush=True)
    await asyncio.sleep(600)


async def measure(fan_out: int) -> float:
    """Return the CPU time of this process per sub-request, in microseconds."""
    services = tuple(f"s{number}" for number in range(fan_out))
    route = Route("wide", "h", "/w/", True, 5.0, 4.0, 2, 1, Gather(services, 50, 1.0))
    router = GatewayRouter(GatewayOptions(zone="z1"), random.Random(1), anyio.current_time())
    driver = GatewayDriver(router, ServerClient(HeaderNames()), lambda note: None)
    limits = {name: ServiceLimits(100) for name in services}
    queries = max(10, SUB_REQUESTS // fan_out)
    async with anyio.create_task_group() as task_group:
        await task_group.start(driver.run)
        driver.feed(ev.ConfigurationReceived(Configuration(1, (route,), limits)))
        for number, name in enumerate(services):
            record = ServerRecord(f"i-{number}", name, HOST, FIRST_PORT + number, "z1", 4)
            driver.feed(ev.ServerListed(record))
        await ask(driver, 5, "warm")
        started = time.process_time()
        await ask(driver, queries, "run")
        used = time.process_time() - started
        task_group.cancel_scope.cancel()
    return used / (queries * fan_out) * 1e6


async def ask(driver: GatewayDriver, count: int, prefix: str) -> None:
    """Run ``count`` wide queries sequentially."""
    for number in range(count):
        key = f"{prefix}-{number}"
        headers = ((b"host", b"h"), (b"request-id", key.encode()), (b"accept", b"*/*"))
        request = GatewayRequest(
            key, key, b"GET", "h", "/w/x", b"/w/x", headers, b"", anyio.current_time(), 5.0
        )
        final = await driver.execute(request)
        assert isinstance(final, ev.Gathered), final
        assert final.missing == 0, final


def profile(fan_out: int) -> None:
    """Profile one run and print the functions with the most own time."""
    profiler = cProfile.Profile()
    profiler.enable()
    anyio.run(measure, fan_out)
    profiler.disable()
    pstats.Stats(profiler).sort_stats("tottime").print_stats(35)


def main() -> int:
    """Measure all fan-outs and write the results."""
    if sys.argv[1:] == ["serve"]:
        asyncio.run(serve_parts(max(FAN_OUTS)))
        return 0
    servers = subprocess.Popen([sys.executable, __file__, "serve"], stdout=subprocess.PIPE, text=True)
    try:
        assert servers.stdout is not None
        servers.stdout.readline()
        if sys.argv[1:] == ["--profile"]:
            profile(64)
            return 0
        rows: list[Row] = []
        for fan_out in FAN_OUTS:
            cost = statistics.median(anyio.run(measure, fan_out) for _ in range(ROUNDS))
            rows.append({"fan_out": fan_out, "subrequest_us": round(cost, 1)})
            print(f"{fan_out:>8} {cost:9.0f} us per sub-request", flush=True)
    finally:
        servers.terminate()
        servers.wait()
    write_results("gateway_subrequest", {"revision": revision(), "rows": rows})
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
