"""Requests reach servers long after their client got its final answer and closed its connection.

One node; twelve shards; a route that gathers from all of them. While some requests run, a second server of
each shard joins: two of these are full, the rest are slow, as servers are after their start. With the
trouble, the first servers crash then, within 20 ms. Each client closes its connection once it has its
answer.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from harness import Arrival, Case, Client, Server, configuration, route, run_case

SHARDS = [f"candidate-desk-{number}" for number in range(12)]
FULL = SHARDS[:2]
WORK_S, SLOW_WORK_S = 0.25, 0.9
JOIN_AFTER_S, CRASH_AFTER_S, BETWEEN_CRASHES_S = 0.03, 0.12, 0.02
REQUESTS, WARM_UP_ROUNDS, SETTLE_S = 3, 20, 3.0
GONE_AFTER_S, A_FEW = 0.5, 5
DEADLINE_MS = 4000


async def play(case: Case) -> list[str]:
    """Crash the first server of each shard while it runs some requests."""
    first = [await case.add_server(f"i-first-{shard}", shard) for shard in SHARDS]
    for server in first:
        server.work = lambda: asyncio.sleep(WORK_S)
    second = [await case.start_server(f"i-second-{shard}", shard) for shard in SHARDS]
    for server in second:
        load(server)
    gather = route(
        "booking-history", "/history/", "", True, gather=SHARDS, topK=20, minCoverage=0.89,
        timeoutMs=DEADLINE_MS, targetLatencyMs=1200,
    )  # fmt: skip
    case.store.configure(configuration(1, [gather], SHARDS))
    await case.start_nodes(1)
    client = Client(case.record)

    async def send_some(name: str) -> None:
        targets = [f"/history/{name}-{number}" for number in range(REQUESTS)]
        sends = (client.send(case.nodes[0], target, deadline_ms=DEADLINE_MS) for target in targets)
        await asyncio.gather(*sends)

    for number in range(WARM_UP_ROUNDS):
        await send_some(f"warm-{number}")
    sending = asyncio.create_task(send_some("last"))
    await asyncio.sleep(JOIN_AFTER_S)
    for server in second:
        case.list_server(server)
    await asyncio.sleep(CRASH_AFTER_S)
    if case.trouble:
        for server in first[: len(FULL)]:
            case.crash(server)
        await asyncio.sleep(BETWEEN_CRASHES_S)
        for server in first[len(FULL) :]:
            case.crash(server)
    await sending
    await asyncio.sleep(SETTLE_S)
    return broken_rules(case)


def load(server: Server) -> None:
    """Make a server full or slow."""

    async def reject(arrival: Arrival) -> bytes:
        return server.not_executed(arrival.request_id)

    if server.service in FULL:
        server.before = reject
    else:
        server.work = lambda: asyncio.sleep(SLOW_WORK_S)


def broken_rules(case: Case) -> list[str]:
    """Return the requests that reached servers long after their client had closed its connection."""
    closed_at = {each["id"]: each["t"] for each in case.record.find("client_got")}
    late = [
        each
        for each in case.record.find("arrived")
        if each["t"] > closed_at.get(each["id"], each["t"]) + GONE_AFTER_S
    ]
    if len(late) <= A_FEW:
        return []
    ids = ", ".join(sorted({each["id"] for each in late}))
    return [f"GONE: {len(late)} requests of {ids} reached servers over {GONE_AFTER_S} s after the close"]


if __name__ == "__main__":
    raise SystemExit(run_case(Path(__file__).resolve().parent, play))
