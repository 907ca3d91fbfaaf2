"""Every node knows what the registry says within the bound, whatever happens to those who watch it."""

import random

import anyio
import pytest
from zone import BOUND_S, Zone, ZoneNode, in_a_zone

from yokesill.gateway.events import ServerRemoved, ServersReplaced
from yokesill.positions import Position
from yokesill.registry.feed_states import SERVERS
from yokesill.registry.feeds import Batch
from yokesill.watchers.messages import FeedReport, Report, encode_report
from yokesill.watchers.role import WatchRole

# What the bound leaves for a request's way.
WITHIN_S = 0.95 * BOUND_S


# Each feed is asked for by itself; a change of the zone is one of every feed.
FEEDS = 3


def test_two_nodes_ask_and_twenty_know() -> None:
    async def main(zone: Zone) -> None:
        before = zone.full_calls()
        for _ in range(20):
            zone.change()
            await anyio.sleep(1.5)
            assert zone.behind() == []
        assert zone.full_calls() - before <= 2 * FEEDS * 22

    in_a_zone(main)


def test_quiet_costs_hardly_a_call_whatever_the_number_of_nodes() -> None:
    async def main(zone: Zone) -> None:
        before = zone.full_calls()
        await anyio.sleep(60.0)
        assert zone.full_calls() - before <= 14

    in_a_zone(main, 40)


@pytest.mark.parametrize("fault", ["kill", "freeze", "silent", "busy"])
@pytest.mark.parametrize("after_s", [0.0, 0.25, 0.5, 0.8])
def test_a_change_is_known_in_time_whatever_happened_to_the_watchers_just_before(
    fault: str, after_s: float
) -> None:
    async def main(zone: Zone) -> None:
        await anyio.sleep(random.Random(after_s).random())
        struck = zone.watchers()
        for node in struck:
            if fault == "kill":
                node.kill()
            elif fault == "freeze":
                node.frozen = True
            else:
                node.store_mode = fault
        await anyio.sleep(after_s)
        zone.change()
        await anyio.sleep(WITHIN_S)
        names = {node.contact.node for node in struck}
        assert set(zone.behind()) <= (names if fault == "freeze" else set())

    in_a_zone(main)


def test_watchers_that_thaw_tell_nothing_older_and_are_up_to_date_soon() -> None:
    async def main(zone: Zone) -> None:
        struck = zone.watchers()
        for node in struck:
            node.frozen = True
        for _ in range(4):
            zone.change()
            await anyio.sleep(2.0)
        for node in struck:
            node.frozen = False
        for _ in range(20):
            await anyio.sleep(0.05)
            others = {node.contact.node for node in struck}
            assert set(zone.behind()) <= others
        await anyio.sleep(2.0)
        assert zone.behind() == []
        assert len(zone.watchers()) == 2

    in_a_zone(main)


def test_a_node_that_the_store_turns_away_keeps_up_through_the_others() -> None:
    async def main(zone: Zone) -> None:
        followers = [node for node in zone.nodes if not node.watching]
        for node in followers:
            node.store_mode = "silent"
        zone.change()
        await anyio.sleep(1.5)
        assert zone.behind() == []

    in_a_zone(main)


def test_a_node_that_hears_nobody_keeps_up_by_itself() -> None:
    async def main(zone: Zone) -> None:
        deaf = next(node for node in zone.nodes if not node.watching)
        deaf.deaf = True
        zone.change()
        await anyio.sleep(WITHIN_S)
        assert zone.behind() == []
        assert deaf.watch.role is not WatchRole.FOLLOWING
        zone.change()
        await anyio.sleep(WITHIN_S)
        assert zone.behind() == []
        deaf.deaf = False
        await anyio.sleep(3.0)
        assert deaf.watch.role is WatchRole.FOLLOWING

    in_a_zone(main, 60)


def test_a_node_that_cannot_fetch_what_a_report_left_out_asks_for_itself() -> None:
    async def main(zone: Zone) -> None:
        cut = next(node for node in zone.nodes if not node.watching)
        cut.fetches = False
        for number in range(200):
            zone.list_server(f"many-{number}")
        await anyio.sleep(WITHIN_S)
        assert zone.behind() == []

    in_a_zone(main, 60)


@pytest.mark.parametrize("loss", [0.1, 0.4])
def test_lost_datagrams_are_noticed_and_made_good(loss: float) -> None:
    async def main(zone: Zone) -> None:
        zone.loss = loss
        for _ in range(10):
            zone.change()
            await anyio.sleep(WITHIN_S)
            assert zone.behind() == []

    in_a_zone(main)


def test_what_is_read_while_a_report_goes_out_is_told_right_after() -> None:
    async def main(zone: Zone) -> None:
        await anyio.sleep(2.0)
        zone.sending_s = 0.01
        for node in zone.nodes:
            node.fetched.clear()
        zone.configure()
        await anyio.sleep(0.05)
        zone.list_server("i-0", "draining")
        await anyio.sleep(1.0)
        assert zone.behind() == []
        assert [feed for node in zone.nodes for feed in node.fetched if feed == SERVERS] == []

    in_a_zone(main)


def test_many_changes_at_once_that_fit_no_datagram_are_fetched_whole() -> None:
    async def main(zone: Zone) -> None:
        for number in range(200):
            zone.list_server(f"many-{number}")
        await anyio.sleep(WITHIN_S)
        assert zone.behind() == []

    in_a_zone(main)


@pytest.mark.parametrize("mode", ["busy", "silent"])
def test_a_store_that_was_away_and_forgot_its_history_is_followed_again(mode: str) -> None:
    async def main(zone: Zone) -> None:
        zone.standin.mode = mode
        await anyio.sleep(15.0)
        before = zone.full_calls()
        zone.standin.remove("servers", "i-3")
        zone.standin.forget_history()
        zone.standin.mode = "up"
        zone.change()
        await anyio.sleep(3.5)
        assert zone.behind() == []
        assert len(zone.watchers()) == 2
        assert zone.full_calls() - before <= 20 * 6

    in_a_zone(main)


def test_a_store_that_is_away_gets_cheap_questions_only() -> None:
    async def main(zone: Zone) -> None:
        zone.standin.mode = "busy"
        zone.standin.forget_history()
        await anyio.sleep(5.0)
        before = zone.full_calls()
        await anyio.sleep(30.0)
        assert zone.full_calls() - before <= 2 * FEEDS

    in_a_zone(main)


def test_most_of_the_zone_restarted_one_after_the_other_keeps_the_rest_up_to_date() -> None:
    async def main(zone: Zone) -> None:
        for node in zone.nodes[:12]:
            node.kill()
            zone.change()
            await anyio.sleep(WITHIN_S)
            assert zone.behind() == []
        assert len(zone.watchers()) == 2

    in_a_zone(main)


def test_changes_in_quick_succession_all_arrive_in_time() -> None:
    async def main(zone: Zone) -> None:
        for _ in range(6):
            zone.change()
            await anyio.sleep(0.15)
        await anyio.sleep(WITHIN_S)
        assert zone.behind() == []

    in_a_zone(main)


def test_many_nodes_killed_at_one_moment_leave_the_others_up_to_date() -> None:
    async def main(zone: Zone) -> None:
        watchers = zone.watchers()
        others = [node for node in zone.nodes if node not in watchers]
        for node in (*watchers, *others[:6]):
            node.kill()
        zone.change()
        await anyio.sleep(WITHIN_S)
        assert zone.behind() == []
        await anyio.sleep(3.0)
        assert len(zone.watchers()) == 2

    in_a_zone(main)


def test_nodes_that_start_while_the_store_is_dark_learn_from_those_that_know() -> None:
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
        assert zone.behind() == []
        assert len(zone.watchers()) == 2

    in_a_zone(main)


def test_a_stranger_is_not_listened_to() -> None:
    async def main(zone: Zone) -> None:
        node = next(each for each in zone.nodes if not each.watching)
        watcher = zone.watchers()[0].contact
        far = tuple(FeedReport(name, 0, 10**6, []) for name in node.followers)
        report = encode_report(Report(watcher.node, True, far))
        node.watch.receive(report, "10.66.0.1:2", anyio.current_time())
        unknown = encode_report(Report("stranger", True, far))
        node.watch.receive(unknown, "10.66.0.1:2", anyio.current_time())
        with pytest.raises(ValueError, match="malformed"):
            node.watch.receive(b"\xffnonsense", watcher.reports, anyio.current_time())
        assert max(each.revision or 0 for each in node.followers.values()) < 10**6
        zone.change()
        await anyio.sleep(WITHIN_S)
        assert zone.behind() == []

    in_a_zone(main)


def at(revision: int) -> Position:
    return Position(0, revision)


def test_what_is_told_late_changes_nothing() -> None:
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

    in_a_zone(main)


def test_a_zone_of_one_node_asks_for_itself() -> None:
    async def main(zone: Zone) -> None:
        zone.change()
        await anyio.sleep(1.5)
        assert zone.behind() == []

    in_a_zone(main, 1)


def test_strong_nodes_watch_and_are_the_coordinators_that_weak_ones_hear_of() -> None:
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

    in_a_zone(main, strong=frozenset({4, 9}))


def test_where_all_are_alike_nobody_gathers_for_others() -> None:
    async def main(zone: Zone) -> None:
        assert all(node.watch.coordinators() == {} for node in zone.nodes)

    in_a_zone(main)


@pytest.mark.parametrize("missed", [0.0, 0.3])
def test_orders_of_roll_outs_and_their_records_are_told_like_all_else(missed: float) -> None:
    async def main(zone: Zone) -> None:
        zone.loss = missed
        for _ in range(9):
            zone.change()
            await anyio.sleep(WITHIN_S)
            assert zone.behind() == []

    in_a_zone(main, rolls_out=True)
