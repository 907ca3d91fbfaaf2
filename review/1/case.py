"""A server's surplus answer, late and in the place of the next one due, says ``Not-Executed`` of another
request.

Two servers, one node, a route whose requests may run once. Server ``a`` is full for a moment and rejects a
request: it is sent to ``b``. With the trouble, ``a`` is faulty meanwhile: the rejection is a surplus answer
too, and arrives on the kept connection once more, in the place of the next answer due. Its id names the
rejected request. ``a`` runs the next request all the same.
"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import Arrival, Case, Client, configuration, route, run_case

PROMISES = (408, 421, 429, 503)
SERVICE = "question-bank"
# A server repeats one in 20 of its answers: the site file's largest dose is 0.03, and may be doubled.
ROUNDS, REJECT_EVERY, PAUSE_S = 400, 20, 0.01


async def play(case: Case) -> list[str]:
    """Send requests that may run once, in turn, while ``a`` rejects some of them."""
    first = await case.add_server("i-a", SERVICE)
    second = await case.add_server("i-b", SERVICE)
    case.store.configure(configuration(1, [route("next-question", "/next/", SERVICE, False)], [SERVICE]))
    await case.start_nodes(1)
    surplus: dict[int, bytes] = {}
    arrivals = Counter[str]()

    def behave(server):
        async def before(arrival: Arrival) -> bytes | None:
            """Reject each twentieth request; send the rejection again in the place of the next answer."""
            connection = arrival.writer.get_extra_info("peername")[1]
            if (late := surplus.pop(connection, None)) is not None:
                stamp = server.run(arrival.request, arrival.request_id)
                case.record.write("surplus_sent", server=server.instance, instead_of=arrival.request_id)
                arrival.writer.write(late)
                await arrival.writer.drain()
                await asyncio.sleep(0.03)
                return server.success(arrival.request_id, stamp)
            arrivals[server.instance] += 1
            if arrivals[server.instance] % REJECT_EVERY:
                return None
            rejection = server.not_executed(arrival.request_id)
            case.record.write("rejected", server=server.instance, id=arrival.request_id)
            if case.trouble:
                surplus[connection] = rejection
            return rejection

        return before

    first.before, second.before = behave(first), behave(second)
    client = Client(case.record)
    for number in range(ROUNDS):
        await client.send(case.nodes[0], f"/next/{number}", method="POST", body=b"item")
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(0.5)
    return broken_rules(case)


def broken_rules(case: Case) -> list[str]:
    """Return each request that ran twice, or that ran although its answer promises that it did not."""
    runs = Counter(each["id"] for each in case.record.find("run"))
    broken = [f"TWICE: {name} ran {count} times" for name, count in runs.items() if count > 1]
    for got in case.record.find("client_got"):
        if got["status"] in PROMISES and runs[got["id"]]:
            broken.append(f"REFUSED: {got['id']} got {got['status']} and ran")
    return broken


if __name__ == "__main__":
    raise SystemExit(run_case(Path(__file__).resolve().parent, play))
