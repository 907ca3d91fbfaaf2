"""Guards against a request that crashes each server that runs it and is retried on any node.

Seen: all 30 servers of a service crashed within 0.2 s, nine times in 80 s; each time most callers' requests
were refused or failed until the servers were back. Two requests crashed more than 90 servers each.

Sequence: a wide request went to ten shards, and its ten servers crashed. Each lost attempt was retried
immediately on another server of its shard, so one request crashed twenty servers. Its caller got a 502 and
retried on another node, which had no record of the request and sent it to the ten remaining servers. Some
seconds later, with the servers back, the request was sent again.

Cause: a server's crash was attributed to the server alone. Neither the request, nor its node, nor the other
nodes recorded which request had been running. The logs of one request showed twenty attempts lost one by one,
40 to 130 ms after each was sent; with fingerprints in the logs, the same request appears on every node that
lost servers.
"""

import anyio
from crash_fleet import DEADLY, RESTART_S, SHARDS, CrashFleet, run_crash_fleet

from yokesill.gateway import events as ev
from yokesill.verdict import Verdict

# Time for a caller to retry on another node: receive the refusal, connect, and send the request.
CALLER_RETRY_S = 0.012


def test_request_is_refused_on_every_node_after_it_crashed_three_servers() -> None:
    async def body(fleet: CrashFleet) -> None:
        fleet.tasks.start_soon(fleet.send_other_requests, 40.0, 24.0)
        await anyio.sleep(4.0)
        for pause_s, node in ((0.0, "n0"), (0.3, "n1"), (4.0, "n2"), (0.3, "n3")):
            await anyio.sleep(pause_s)
            await fleet.send_request(node)
        await anyio.sleep(2.0)
        for node in ("n4", "n5", "n0", "n6"):
            await anyio.sleep(2.0 * RESTART_S)
            final = await fleet.send_request(node)
            assert isinstance(final, ev.Refuse)
            assert final.failure.verdict is Verdict.NOT_RUN
        assert fleet.sent_after_bound() == 0
        # One server of each shard for the first request, and two more for the trials.
        assert len(fleet.servers.crashed_at_s) <= len(SHARDS) + 2
        assert fleet.sent(DEADLY) <= len(SHARDS) + 2

    run_crash_fleet(body)


def test_simultaneous_requests_on_different_nodes_crash_no_servers_after_the_bound() -> None:
    async def body(fleet: CrashFleet) -> None:
        async with anyio.create_task_group() as tasks:
            for node in ("n0", "n1", "n2"):
                tasks.start_soon(fleet.send_request, node)
        await anyio.sleep(7.0)
        await fleet.send_request("n4")
        assert fleet.sent_after_bound() == 0

    run_crash_fleet(body)


def test_isolated_node_gets_the_quarantine_from_the_registry() -> None:
    async def body(fleet: CrashFleet) -> None:
        fleet.node("n4").isolated = True
        await fleet.send_request("n0")
        await anyio.sleep(6.0)
        await fleet.send_request("n4")
        assert fleet.sent_after_bound() == 0

    run_crash_fleet(body)


def test_nodes_get_the_quarantine_from_their_peers_while_the_registry_is_down() -> None:
    async def body(fleet: CrashFleet) -> None:
        fleet.registry.down = True
        await fleet.send_request("n0")
        await anyio.sleep(1.0)
        before = fleet.sent()
        for node in ("n1", "n5", "n8"):
            await fleet.send_request(node)
        assert fleet.sent() == before
        fleet.registry.down = False
        await anyio.sleep(3.0)
        assert len(fleet.registry.recorded) == 1

    run_crash_fleet(body)


def test_quarantine_survives_a_restart_of_all_nodes_in_the_registry() -> None:
    async def body(fleet: CrashFleet) -> None:
        await fleet.send_request("n0")
        await anyio.sleep(1.0)
        for node in list(fleet.nodes):
            node.kill()
        for number in range(9):
            fleet.start_node(f"n{number}")
        await anyio.sleep(6.0)
        before = fleet.sent()
        for number in range(9):
            await fleet.send_request(f"n{number}")
        assert fleet.sent() == before

    run_crash_fleet(body)


def test_other_requests_are_answered_and_not_quarantined() -> None:
    async def body(fleet: CrashFleet) -> None:
        fleet.tasks.start_soon(fleet.send_other_requests, 60.0, 12.0)
        await anyio.sleep(4.0)
        await fleet.send_request("n0")
        await anyio.sleep(CALLER_RETRY_S)
        await fleet.send_request("n1")
        await anyio.sleep(10.0)
        outcomes = {outcome: count for (kind, outcome), count in fleet.finals.items() if kind == "other"}
        assert outcomes.get("quarantined", 0) == 0
        assert outcomes["answered"] >= 0.95 * sum(outcomes.values())

    run_crash_fleet(body)


def test_unrelated_server_crashes_quarantine_no_request() -> None:
    async def body(fleet: CrashFleet) -> None:
        fleet.tasks.start_soon(fleet.send_other_requests, 60.0, 20.0)
        await anyio.sleep(4.0)
        for _ in range(3):
            # A third of all servers at once, the largest loss that every shard of three survives.
            for record in fleet.servers.records()[::3]:
                fleet.servers.crash(record.instance)
            await anyio.sleep(5.0)
        assert not fleet.registry.recorded
        outcomes = {outcome: count for (_, outcome), count in fleet.finals.items()}
        assert outcomes.get("quarantined", 0) == 0
        assert outcomes["answered"] >= 0.97 * sum(outcomes.values())

    run_crash_fleet(body)
