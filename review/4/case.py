"""DRAIN: after the store was silent for some seconds, nodes learn of a leaving server too late.

Three nodes of one zone, one service with four servers. The store answers nothing for 4.5 s; the long polls that
wait in it then are never answered, also afterwards, while new calls work at once. Six seconds after its return one
server says ``draining``, serves on for ``drainMs`` and a little longer, and ends.
"""

import asyncio
import itertools
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig2 import (  # noqa: E402
    BOUNDS, Fleet, Message, Node, Store, answer, configuration, http, now, read_body, request, reset, route, run_case,
)  # fmt: skip

NODES, SERVERS, REQUESTS_PER_S, WORK_S = 3, 4, 20.0, 0.05
DRAIN_S, CONTACT_S = BOUNDS["drainMs"] / 1000, BOUNDS["contactMs"] / 1000
SILENT_S, STALE_READS_S, LITTLE_LONGER_S = 4.5, 3.0, 0.1
CALM_S = CONTACT_S + 1.0


async def behave(server, head, reader, writer):
    """Run a request; a server that has ended resets whatever still comes."""
    arrived = now()
    message = Message(head[0], head[1], await read_body(reader, head[1]))
    fleet = server.fleet
    if not fleet.expected(server, message, writer):
        return True
    fleet.came.append((arrived, server.instance, message.headers[b"x-yokesill-request-id"].decode()))
    if arrived >= fleet.ends_at.get(server.instance, float("inf")):
        reset(writer)
        return False
    fleet.ran(server, message)
    await asyncio.sleep(WORK_S)
    writer.write(answer(server, message, b"done"))
    await writer.drain()
    return True


async def main(record, nodes, trouble):
    store = Store()
    store.stale_s = STALE_READS_S
    await store.start()
    fleet = Fleet(store)
    fleet.behave, fleet.came, fleet.ends_at = behave, [], {}
    routes = [route("one", "a.example", "/q/", kind="non_idempotent", target_ms=900, service="question-bank")]
    store.put("config", "main", configuration(7, routes, ["question-bank"]))
    for _ in range(SERVERS):
        await fleet.add("question-bank", "upper-hill")
    await asyncio.sleep(STALE_READS_S + 0.5)
    nodes += [Node(f"front-upper-hill-{each}", store, host=f"127.0.1.{each}") for each in range(1, NODES + 1)]
    for node in nodes:
        node.seeds = [f"{each.host}:{each.control}" for each in nodes]
        await node.start()
    for node in nodes:
        if not await node.until_ready():
            raise RuntimeError("a node did not become ready")
    await asyncio.sleep(8.0)
    if trouble:
        store.set_silent(True)
        record.write("the store answers nothing from now on")
    await asyncio.sleep(SILENT_S)
    if trouble:
        store.set_silent(False)
        record.write("the store answers new calls again")
    await asyncio.sleep(CALM_S - 1.0)

    ids, answers, tasks, stop = itertools.count(1), [], [], asyncio.Event()

    async def one(node):
        request_id = f"q{next(ids)}"
        record.write(f"{request_id} is sent to {node.name}")
        data = request("POST", f"/q/{request_id}", "a.example", request_id, body=b"x")
        status, _, _, how = await http(node.host, node.front, data, 6.0)
        answers.append((request_id, status))
        record.write(f"{node.name} answered {request_id} with {status or how}")

    async def load(node):
        due = now()
        while not stop.is_set():
            tasks.append(asyncio.create_task(one(node)))
            due += 1.0 / REQUESTS_PER_S
            await asyncio.sleep(max(0.0, due - now()))

    loads = [asyncio.create_task(load(node)) for node in nodes]
    await asyncio.sleep(1.0)
    leaving = next(iter(fleet.servers.values()))
    leaving.enter("draining")
    taken_at = now()
    fleet.ends_at[leaving.instance] = taken_at + DRAIN_S + LITTLE_LONGER_S
    record.write(f"{leaving.instance} says draining; the store has taken it at revision {store.revision}")
    await asyncio.sleep(7.0)
    stop.set()
    await asyncio.gather(*loads)
    await asyncio.gather(*tasks)

    for at, instance, _, request_id, *_ in fleet.runs:
        record.write(f"{instance} runs {request_id}", at)
    late = []
    for at, instance, request_id in fleet.came:
        leaves = instance == leaving.instance and at > taken_at
        record.write(
            f"{request_id} reaches {instance}"
            + (f", {at - taken_at:.3f} s after draining" if leaves else ""),
            at,
        )
        if leaves and at - taken_at > DRAIN_S:
            late.append((request_id, round(at - taken_at, 3)))
    statuses = dict(answers)
    failed = [each for each, _ in late if statuses.get(each) != 200]
    record.write(f"answers: {dict(Counter(status for _, status in answers))}")
    record.write(f"later than {DRAIN_S:g} s: {late}; of these not answered with 200: {len(failed)}")
    return bool(late)


run_case(main, FOLDER / "record.txt")
