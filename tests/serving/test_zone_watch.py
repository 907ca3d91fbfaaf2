"""Every node reaches the registry's state within the bound, whatever faults the zone's watchers have."""

import random

import anyio
import pytest
from zone import CHANGE_BOUND_S, Zone, ZoneNode, run_in_zone

from yokesill.gateway.events import ServerRemoved, ServersReplaced
from yokesill.positions import Position
from yokesill.registry.feed_states import SERVERS
from yokesill.registry.feeds import Batch
from yokesill.watchers.messages import FeedReport, Report, encode_report
from yokesill.watchers.role import WatchRole

# The rest of the bound is left for a request's network delay.
ARRIVAL_LIMIT_S = 0.95 * CHANGE_BOUND_S


# Each feed is requested separately; ``Zone.change`` changes every feed.
FEEDS = 3


def test_two_watchers_keep_twenty_nodes_up_to_date() -> None:
    async def main(zone: Zone) -> None:
        before, checks = zone.calls_for_feeds(), zone.exact_checks()
        for _ in range(20):
            zone.change()
            await anyio.sleep(1.5)
            assert zone.stale_nodes() == []
        # Every other change reopens a zone, before which each watcher reads the servers anew.
        assert zone.calls_for_feeds() - before <= 2 * (FEEDS * 22 + 10)
        zone.assert_few_checks(checks, 20 * 1.5)

    run_in_zone(main)


def test_calls_without_changes_are_few_and_independent_of_the_number_of_nodes() -> None:
    async def main(zone: Zone) -> None:
        before, checks = zone.calls_for_feeds(), zone.exact_checks()
        await anyio.sleep(60.0)
        assert zone.calls_for_feeds() - before <= 14
        zone.assert_few_checks(checks, 60.0)

    run_in_zone(main, 40)


@pytest.mark.parametrize("fault", ["kill", "freeze", "silent", "busy"])
@pytest.mark.parametrize("after_s", [0.0, 0.25, 0.5, 0.8])
def test_a_change_arrives_within_the_bound_after_all_watchers_failed(fault: str, after_s: float) -> None:
    async def main(zone: Zone) -> None:
        await anyio.sleep(random.Random(after_s).random())
        faulty = zone.watchers()
        for node in faulty:
            if fault == "kill":
                node.kill()
            elif fault == "freeze":
                node.paused = True
            else:
                node.store_mode = fault
        await anyio.sleep(after_s)
        zone.change()
        await anyio.sleep(ARRIVAL_LIMIT_S)
        names = {node.contact.node for node in faulty}
        assert set(zone.stale_nodes()) <= (names if fault == "freeze" else set())

    run_in_zone(main)


def test_resumed_watchers_report_no_older_state_and_catch_up() -> None:
    async def main(zone: Zone) -> None:
        faulty = zone.watchers()
        for node in faulty:
            node.paused = True
        for _ in range(4):
            zone.change()
            await anyio.sleep(2.0)
        for node in faulty:
            node.paused = False
        for _ in range(20):
            await anyio.sleep(0.05)
            others = {node.contact.node for node in faulty}
            assert set(zone.stale_nodes()) <= others
        await anyio.sleep(2.0)
        assert zone.stale_nodes() == []
        assert len(zone.watchers()) == 2

    run_in_zone(main)


def test_nodes_that_cannot_reach_the_store_keep_up_through_the_watchers() -> None:
    async def main(zone: Zone) -> None:
        followers = [node for node in zone.nodes if not node.watching]
        for node in followers:
            node.store_mode = "silent"
        zone.change()
        await anyio.sleep(1.5)
        assert zone.stale_nodes() == []

    run_in_zone(main)


def test_a_node_that_receives_no_datagrams_calls_the_store_itself() -> None:
    async def main(zone: Zone) -> None:
        isolated = next(node for node in zone.nodes if not node.watching)
        isolated.drops_datagrams = True
        zone.change()
        await anyio.sleep(ARRIVAL_LIMIT_S)
        assert zone.stale_nodes() == []
        assert isolated.watch.role is not WatchRole.FOLLOWING
        zone.change()
        await anyio.sleep(ARRIVAL_LIMIT_S)
        assert zone.stale_nodes() == []
        isolated.drops_datagrams = False
        await anyio.sleep(3.0)
        assert isolated.watch.role is WatchRole.FOLLOWING

    run_in_zone(main, 60)


def test_a_node_that_cannot_fetch_a_whole_feed_calls_the_store_itself() -> None:
    async def main(zone: Zone) -> None:
        isolated = next(node for node in zone.nodes if not node.watching)
        isolated.can_fetch = False
        for number in range(200):
            zone.list_server(f"many-{number}")
        await anyio.sleep(ARRIVAL_LIMIT_S)
        assert zone.stale_nodes() == []

    run_in_zone(main, 60)


@pytest.mark.parametrize("loss", [0.1, 0.4])
def test_lost_datagrams_are_detected_and_recovered(loss: float) -> None:
    async def main(zone: Zone) -> None:
        zone.loss = loss
        for _ in range(10):
            zone.change()
            await anyio.sleep(ARRIVAL_LIMIT_S)
            assert zone.stale_nodes() == []

    run_in_zone(main)


def test_changes_read_while_a_report_is_sent_are_reported_right_after() -> None:
    async def main(zone: Zone) -> None:
        await anyio.sleep(2.0)
        zone.send_delay_s = 0.01
        for node in zone.nodes:
            node.fetched.clear()
        zone.configure()
        await anyio.sleep(0.05)
        zone.list_server("i-0", "draining")
        await anyio.sleep(1.0)
        assert zone.stale_nodes() == []
        assert [feed for node in zone.nodes for feed in node.fetched if feed == SERVERS] == []

    run_in_zone(main)


def test_changes_that_do_not_fit_a_datagram_are_fetched_as_a_whole_feed() -> None:
    async def main(zone: Zone) -> None:
        for number in range(200):
            zone.list_server(f"many-{number}")
        await anyio.sleep(ARRIVAL_LIMIT_S)
        assert zone.stale_nodes() == []

    run_in_zone(main)


@pytest.mark.parametrize("mode", ["busy", "silent"])
def test_a_store_that_lost_its_history_in_an_outage_is_followed_again(mode: str) -> None:
    async def main(zone: Zone) -> None:
        zone.standin.mode = mode
        await anyio.sleep(15.0)
        before = zone.full_price_calls()
        zone.standin.remove("servers", "i-3")
        zone.standin.forget_history()
        zone.standin.mode = "up"
        zone.change()
        await anyio.sleep(3.5)
        assert zone.stale_nodes() == []
        assert len(zone.watchers()) == 2
        assert zone.full_price_calls() - before <= 20 * 6

    run_in_zone(main)


def test_an_unavailable_store_receives_only_cheap_calls() -> None:
    async def main(zone: Zone) -> None:
        zone.standin.mode = "busy"
        zone.standin.forget_history()
        await anyio.sleep(5.0)
        before = zone.full_price_calls()
        await anyio.sleep(30.0)
        assert zone.full_price_calls() - before <= 2 * FEEDS

    run_in_zone(main)


def test_nodes_stay_up_to_date_while_most_of_the_zone_is_killed_one_by_one() -> None:
    async def main(zone: Zone) -> None:
        for node in zone.nodes[:12]:
            node.kill()
            zone.change()
            await anyio.sleep(ARRIVAL_LIMIT_S)
            assert zone.stale_nodes() == []
        assert len(zone.watchers()) == 2

    run_in_zone(main)


def test_changes_in_quick_succession_all_arrive_within_the_bound() -> None:
    async def main(zone: Zone) -> None:
        for _ in range(6):
            zone.change()
            await anyio.sleep(0.15)
        await anyio.sleep(ARRIVAL_LIMIT_S)
        assert zone.stale_nodes() == []

    run_in_zone(main)


def test_nodes_stay_up_to_date_after_many_are_killed_at_once() -> None:
    async def main(zone: Zone) -> None:
        watchers = zone.watchers()
        others = [node for node in zone.nodes if node not in watchers]
        for node in (*watchers, *others[:6]):
            node.kill()
        zone.change()
        await anyio.sleep(ARRIVAL_LIMIT_S)
        assert zone.stale_nodes() == []
        await anyio.sleep(3.0)
        assert len(zone.watchers()) == 2

    run_in_zone(main)


def test_nodes_that_start_during_a_store_outage_learn_from_running_nodes() -> None:
    async def main(zone: Zone) -> None:
        zone.standin.mode = "silent"
        await anyio.sleep(6.0)
        joined = [ZoneNode(zone, number) for number in range(20, 60)]
        zone.join(joined)
        await anyio.sleep(5.0)
        assert {node.version for node in joined} == {zone.nodes[0].version}
        zone.standin.mode = "up"
        zone.change()
        await anyio.sleep(6.0)
        assert zone.stale_nodes() == []
        assert len(zone.watchers()) == 2

    run_in_zone(main)


def test_reports_from_unknown_nodes_or_addresses_are_ignored() -> None:
    async def main(zone: Zone) -> None:
        node = next(each for each in zone.nodes if not each.watching)
        watcher = zone.watchers()[0].contact
        reported = tuple(FeedReport(name, 0, 10**6, []) for name in node.followers)
        report = encode_report(Report(watcher.node, True, reported))
        node.watch.receive(report, "10.66.0.1:2", anyio.current_time())
        unknown = encode_report(Report("stranger", True, reported))
        node.watch.receive(unknown, "10.66.0.1:2", anyio.current_time())
        with pytest.raises(ValueError, match="malformed"):
            node.watch.receive(b"\xffnonsense", watcher.reports, anyio.current_time())
        assert max(each.revision or 0 for each in node.followers.values()) < 10**6
        zone.change()
        await anyio.sleep(ARRIVAL_LIMIT_S)
        assert zone.stale_nodes() == []

    run_in_zone(main)


def at(revision: int) -> Position:
    return Position(0, revision)


def test_late_changes_and_older_feeds_are_not_applied() -> None:
    async def main(zone: Zone) -> None:
        node = next(each for each in zone.nodes if not each.watching)
        servers = node.followers[SERVERS]
        old = servers.revision or 0
        zone.change()
        await anyio.sleep(1.5)
        now = servers.revision or 0
        known = dict(node.servers)
        assert servers.apply_changes(at(old - 1), Batch(at(old), (ServerRemoved("i-0"),)))
        assert servers.apply_changes(at(old), Batch(at(now), (ServerRemoved("i-0"),)))
        servers.apply_whole(Batch(at(old), (ServersReplaced(()),)))
        assert (servers.revision, node.servers) == (now, known)

    run_in_zone(main)


def test_the_only_node_of_a_zone_calls_the_store_itself() -> None:
    async def main(zone: Zone) -> None:
        zone.change()
        await anyio.sleep(1.5)
        assert zone.stale_nodes() == []

    run_in_zone(main, 1)


def test_strong_nodes_watch_and_are_the_coordinators_of_weak_nodes() -> None:
    async def main(zone: Zone) -> None:
        assert {node.contact.node for node in zone.watchers()} == {"n4", "n9"}
        weak, strong = zone.nodes[0], zone.nodes[4]
        assert set(weak.watch.coordinators()) == {"n4", "n9"}
        assert strong.watch.coordinators() == {}
        zone.standin.mode = "busy"
        await anyio.sleep(6.0)
        assert set(weak.watch.coordinators()) == {"n4", "n9"}
        strong.kill()
        await anyio.sleep(1.0)
        assert set(weak.watch.coordinators()) == {"n9"}

    run_in_zone(main, strong=frozenset({4, 9}))


def test_equally_strong_nodes_have_no_coordinators() -> None:
    async def main(zone: Zone) -> None:
        assert all(node.watch.coordinators() == {} for node in zone.nodes)

    run_in_zone(main)


@pytest.mark.parametrize("missed", [0.0, 0.3])
def test_rollout_orders_and_their_records_arrive_within_the_bound(missed: float) -> None:
    async def main(zone: Zone) -> None:
        zone.loss = missed
        for _ in range(9):
            zone.change()
            await anyio.sleep(ARRIVAL_LIMIT_S)
            assert zone.stale_nodes() == []

    run_in_zone(main, with_rollouts=True)
