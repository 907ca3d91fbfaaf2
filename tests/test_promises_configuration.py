"""Steps of the configuration scenarios in ``promises.feature``."""

from typing import Any

import anyio
from conftest import run_cluster
from helpers import HOURS, change_service, changed_policy, revision_of, stale_object, wait_in_force
from pytest_bdd import scenario, then, when
from simulation.cluster import SimulatedCluster

from yokesill.emulator.faults import StoreFaults
from yokesill.membership.records import MemberStatus
from yokesill.routing.events import Answer, Refuse
from yokesill.store.changes import Accepted, InDoubt, Rejected
from yokesill.verdict import Verdict

FEATURE = "features/promises.feature"


def in_force(cluster: SimulatedCluster, wait: float) -> bool:
    return all(wait_in_force(running.node) == wait for running in cluster.nodes.values())


@scenario(FEATURE, "A change is in force everywhere within seconds")
def test_change_is_in_force_on_every_node_within_5_seconds() -> None: ...


@when("an operator changes the policy on one of seven nodes")
def change_on_one(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        started = anyio.current_time()
        result = await change_service(cluster.node(4), changed_policy(cluster, 1))
        await cluster.until(lambda: in_force(cluster, 1001), 30)
        return result, anyio.current_time() - started

    outcome["result"], outcome["seconds"] = run_cluster(body, nodes=7)


@then("every node has it in force within 5 seconds")
def within_five(outcome: dict[str, Any]) -> None:
    assert isinstance(outcome["result"], Accepted)
    assert outcome["seconds"] <= 5.0


@scenario(FEATURE, "The network loses and doubles a third of all datagrams")
def test_change_is_in_force_within_5_seconds_despite_datagram_loss_and_duplication() -> None: ...


@when("an operator changes the policy while datagrams are lost and doubled")
def change_lossy(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        cluster.network.loss = cluster.network.duplication = 0.33
        started = anyio.current_time()
        result = await change_service(cluster.node(4), changed_policy(cluster, 1))
        await cluster.until(lambda: in_force(cluster, 1001), 30)
        return result, anyio.current_time() - started

    outcome["result"], outcome["seconds"] = run_cluster(body, nodes=7)


@scenario(FEATURE, "Operators race each other")
def test_concurrent_changes_accept_exactly_one() -> None: ...


@when("five operators change the same service at once through different nodes")
def race(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        results: list[Any] = []

        async def operator(number: int) -> None:
            value = changed_policy(cluster, number)
            results.append((number, await change_service(cluster.node(number), value, f"n{number}")))

        async with anyio.create_task_group() as task_group:
            for number in range(5):
                task_group.start_soon(operator, number)
        (winner,) = [number for number, result in results if isinstance(result, Accepted)]
        await cluster.until(lambda: in_force(cluster, 1000 + winner), 5)
        return [result for _, result in results]

    outcome["results"] = run_cluster(body, nodes=5)


@then("exactly one is accepted and the others are told of its revision")
def one_accepted(outcome: dict[str, Any]) -> None:
    accepted = [each for each in outcome["results"] if isinstance(each, Accepted)]
    rejected = [each for each in outcome["results"] if isinstance(each, Rejected)]
    assert (len(accepted), len(rejected)) == (1, 4)
    assert all(each.conflict and each.current == accepted[0].stored for each in rejected)


@scenario(FEATURE, "The store's answer is lost after its effect")
def test_change_with_lost_reply_is_reported_accepted() -> None: ...


@when("the answer to a write is lost after its effect")
def answer_lost(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        cluster.store_model.set_faults(StoreFaults(lose_answers=1))
        started = anyio.current_time()
        result = await change_service(cluster.node(1), changed_policy(cluster, 7))
        await cluster.until(lambda: in_force(cluster, 1007), 10)
        return result, anyio.current_time() - started

    outcome["result"], outcome["seconds"] = run_cluster(body)


@then("the change is reported accepted and is in force everywhere")
def accepted_after_all(outcome: dict[str, Any]) -> None:
    assert isinstance(outcome["result"], Accepted)
    assert outcome["seconds"] <= 5.0


@scenario(FEATURE, "A write is lost and comes late")
def test_write_arriving_after_its_rejection_has_no_effect() -> None: ...


@when("a write is delayed beyond the time-out and arrives after the operator was answered")
def late_write(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        model, node = cluster.store_model, cluster.node(1)
        base = revision_of(node)
        # To the node, the request appears to be lost on the way ...
        model.set_faults(StoreFaults(lose_requests=1))
        result = await change_service(node, changed_policy(cluster, 9), "late")
        # ... and arrives once the operator has been answered.
        await model.put(HOURS.key, base, "late", changed_policy(cluster, 9))
        await anyio.sleep(5)
        history = [each.change_id for each in await model.history(HOURS.key)]
        return result, history, [wait_in_force(running.node) for running in cluster.nodes.values()]

    outcome["result"], outcome["history"], outcome["waits"] = run_cluster(body)


@then("the change was reported rejected and never takes effect")
def never_effective(outcome: dict[str, Any]) -> None:
    assert isinstance(outcome["result"], Rejected)
    assert "late" not in outcome["history"]
    assert set(outcome["waits"]) == {1000}


@scenario(FEATURE, "A node is paused while the configuration changes")
def test_paused_node_synchronises_before_it_answers() -> None: ...


@when("a node is paused for 30 seconds and the policy changes meanwhile")
def pause(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        running = cluster.nodes[cluster.address_of(2)]
        # While the node is paused nothing reaches it; afterwards its clock jumps between two ticks.
        cluster.network.down.add(cluster.address_of(2))
        running.store.reachable = False
        await change_service(cluster.node(0), changed_policy(cluster, 3))
        await anyio.sleep(30)
        missed = wait_in_force(running.node)
        cluster.network.down.clear()
        running.store.reachable = True
        running.node._paused()
        refused = await running.node.query(cluster.call("hours", "search"))
        await cluster.until(lambda: running.node.ready, 10)
        return missed, refused, wait_in_force(running.node)

    outcome["missed"], outcome["refused"], outcome["wait"] = run_cluster(body)


@then("it has the change in force before it answers a request again")
def synced_first(outcome: dict[str, Any]) -> None:
    assert outcome["missed"] == 1000
    assert isinstance(outcome["refused"], Refuse)
    assert outcome["refused"].failure.verdict is Verdict.NOT_RUN
    assert outcome["wait"] == 1003


@scenario(FEATURE, "A node restarts while the store is down")
def test_node_restarted_while_store_is_down_uses_peer_configuration() -> None: ...


@when("the store goes down and a node is killed and started again")
def store_down(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        await change_service(cluster.node(0), changed_policy(cluster, 5))
        await cluster.until(lambda: in_force(cluster, 1005), 5)
        cluster.store_model.set_faults(StoreFaults(down=True))
        cluster.kill_node(2)
        await anyio.sleep(5)
        cluster.start_node(2)
        node = cluster.node(2)
        await cluster.until(lambda: node.ready, 20)
        wait_at_ready = wait_in_force(node)
        await cluster.until(lambda: all(s.holdings for s in node.router.servers.all()), 10)
        final = await cluster.query(2, cluster.call("hours", "search"))
        refused = await change_service(cluster.node(1), changed_policy(cluster, 6))
        return wait_at_ready, final, refused

    outcome["wait"], outcome["final"], outcome["refused"] = run_cluster(body)


@then("it serves with the configuration of its peers")
def peers_configuration(outcome: dict[str, Any]) -> None:
    assert outcome["wait"] == 1005
    assert isinstance(outcome["final"], Answer)


@then("changes are refused clearly")
def refused_clearly(outcome: dict[str, Any]) -> None:
    assert isinstance(outcome["refused"], Rejected)
    assert "store" in outcome["refused"].detail


@scenario(FEATURE, "An older revision comes late from any source")
def test_older_revision_does_not_replace_newer_one() -> None: ...


@when("old revisions come by gossip, by bulk sync and from a stale read of the store")
def older_revisions(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        cluster.store_model.set_faults(StoreFaults(stale_reads=True))
        result = await change_service(cluster.node(0), changed_policy(cluster, 2))
        await cluster.until(lambda: in_force(cluster, 1002), 5)
        revisions = [revision_of(running.node) for running in cluster.nodes.values()]
        for running in cluster.nodes.values():
            node = running.node
            node.gossip.merge_objects([stale_object()], anyio.current_time())
            node.sync._merge([stale_object(2)])
            await node.apply_committed(stale_object(3))
            await node.watcher.load()
        await anyio.sleep(3)
        after = [revision_of(running.node) for running in cluster.nodes.values()]
        return result, revisions, after, in_force(cluster, 1002)

    outcome["result"], outcome["before"], outcome["after"], outcome["kept"] = run_cluster(body)


@then("no node's revision of the service goes back")
def never_back(outcome: dict[str, Any]) -> None:
    assert not isinstance(outcome["result"], InDoubt)
    assert outcome["after"] == outcome["before"]
    assert outcome["kept"]


@scenario(FEATURE, "A zone is cut off for a minute")
def test_reconnected_zone_gets_change_within_5_seconds() -> None: ...


@when("a zone is cut off, the policy changes, and the cut heals")
def zone_cut(outcome: dict[str, Any]) -> None:
    async def body(cluster: SimulatedCluster) -> Any:
        cluster.cut("z3")
        await anyio.sleep(20)
        await change_service(cluster.node(0), changed_policy(cluster, 4))
        await anyio.sleep(40)
        behind = [wait_in_force(n.node) for n in cluster.nodes.values() if n.node.table.own.zone == "z3"]
        dead = [
            r for n in cluster.nodes.values() for r in n.node.table.all() if r.status is MemberStatus.DEAD
        ]
        # Now only peers can inform the zone, and their rumors of the change have long expired.
        cluster.store_model.set_faults(StoreFaults(down=True))
        cluster.heal()
        seconds = await cluster.until(lambda: in_force(cluster, 1004), 60)
        return behind, dead, seconds

    outcome["behind"], outcome["dead"], outcome["seconds"] = run_cluster(body, nodes=9)


@then("the zone's nodes get the change within 5 seconds of the healing")
def healed(outcome: dict[str, Any]) -> None:
    assert set(outcome["behind"]) == {1000}
    assert outcome["seconds"] <= 5.0


@then("no node was held for dead by another for its zone's cut")
def none_dead(outcome: dict[str, Any]) -> None:
    assert not outcome["dead"]
