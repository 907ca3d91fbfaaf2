"""SIGHUP while a process starts: it ends instead of reading its settings again.

Three nodes, one server, some clients. Each time that nodes have started, the platform adds their addresses to
the seeds in all settings files and sends SIGHUP to all nodes, 0.05 s after the start. A process that ends is
started again after a short delay, as the platform does. No process is killed, stopped or terminated.
"""

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from harness import Case, Client, Node, configuration, route, run_case

SERVICE = "question-bank"
ROUNDS, ENDS_ALLOWED, MACHINES_ALLOWED = 3, 2, 1
SIGHUP_AFTER_START_S, RESTART_DELAY_S, SETTLE_S = 0.05, 0.3, 2.0


async def play(case: Case) -> list[str]:
    """Change the settings each time that nodes start, and count the processes that end."""
    await case.add_server("i-a", SERVICE)
    case.store.configure(configuration(1, [route("next-question", "/next/", SERVICE, True)], [SERVICE]))
    ends: Counter[int] = Counter()
    nodes = case.nodes = case.create_nodes(3)
    starting = list(nodes)
    for round_number in range(ROUNDS):
        for node in starting:
            await node.start()
        await asyncio.sleep(SIGHUP_AFTER_START_S)
        if case.trouble:
            change_settings(case, nodes, round_number)
        await asyncio.sleep(RESTART_DELAY_S)
        starting = [
            node for node in nodes if node.process is not None and node.process.returncode is not None
        ]
        for node in starting:
            ends[node.number] += 1
            case.record.write("process_ended", node=node.number, code=node.process.returncode)
    for node in starting:
        await node.start()
    await asyncio.gather(*(node.wait_ready() for node in nodes))
    client = Client(case.record)
    for number in range(9):
        await client.send(nodes[number % len(nodes)], f"/next/{number}")
    await late_sighup(case, nodes, ends)
    return broken_rules(ends)


def change_settings(case: Case, nodes: list[Node], round_number: int) -> None:
    """Write settings files with other seeds, then tell all processes."""
    for node in nodes:
        node.seeds = [each.control for each in nodes[round_number:] + nodes[:round_number]]
        node.write_settings()
    for node in nodes:
        node.send(signal.SIGHUP)


async def late_sighup(case: Case, nodes: list[Node], ends: Counter[int]) -> None:
    """Send SIGHUP to nodes that have long been ready, which they must outlive just as well."""
    for node in nodes:
        node.send(signal.SIGHUP)
    await asyncio.sleep(SETTLE_S)
    for node in nodes:
        if node.process is not None and node.process.returncode is not None:
            ends[node.number] += 1
            case.record.write("process_ended", node=node.number, code=node.process.returncode)


def broken_rules(ends: Counter[int]) -> list[str]:
    """Return the machines whose processes ended by themselves three times, if these are two or more."""
    often = [number for number, count in sorted(ends.items()) if count > ENDS_ALLOWED]
    if len(often) <= MACHINES_ALLOWED:
        return []
    return [f"Fault: processes of node {number} ended by themselves {ends[number]} times" for number in often]


if __name__ == "__main__":
    raise SystemExit(run_case(Path(__file__).resolve().parent, play))
