"""Which servers get work: near ones, sound ones, never leaving ones."""

from dataclasses import replace

from harness import (
    BUDGET,
    RouterHarness,
    configuration,
    failure,
    gather_route,
    reply,
    server,
    single_route,
)

from yokesill.gateway import events as ev
from yokesill.gateway.messages import Load, ServerReply
from yokesill.gateway.options import GatewayOptions
from yokesill.verdict import Reason, Verdict

ONE_SHARD = gather_route(services=("s1",))
PLACES = 3


def ask(harness: RouterHarness, latency: float = 0.02) -> str:
    """Ask once; the first server answers after ``latency``, any other one at once. Returns the first."""
    key = harness.arrive()
    attempt = harness.attempts(key)[0]
    answered = 1
    end = harness.now + latency
    while harness.now < end:
        harness.advance(min(0.005, end - harness.now))
        for each in harness.attempts(key)[answered:]:
            harness.answer(each)
            answered += 1
    harness.answer(attempt)
    harness.advance(0.05)
    return attempt.server.instance


def test_the_nearest_server_gets_the_work() -> None:
    harness = RouterHarness(ONE_SHARD)
    assert {ask(harness) for _ in range(20)} == {"s1-z1"}


def test_work_goes_further_when_the_near_server_is_full() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    keys = [harness.arrive() for _ in range(4)]
    zones = [harness.attempts(key)[0].server.zone for key in keys]
    assert zones.count("z2") >= 1


def test_a_reported_queue_moves_work_away() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    key = harness.arrive()
    busy = ServerReply(200, (), b"", b"sig", Load(2, 6, 2))
    harness.answer(harness.attempts(key)[0], busy)
    assert harness.attempts(harness.arrive())[0].server.zone == "z2"
    harness.advance(1.0)
    assert harness.attempts(harness.arrive())[0].server.zone == "z1"


def test_a_report_of_this_very_request_alone_moves_nothing() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    key = harness.arrive()
    harness.answer(harness.attempts(key)[0], ServerReply(200, (), b"", b"sig", Load(2, 0, 2)))
    assert harness.attempts(harness.arrive())[0].server.zone == "z1"


def test_what_a_new_connection_costs_everywhere_is_not_distance() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    for seconds in (0.0062, 0.030, 0.0064):
        key = harness.arrive()
        assert harness.attempts(key)[0].server.zone == "z1"
        harness.answer(harness.attempts(key)[0], connected_in=seconds)
        harness.advance(0.05)
    harness.feed(ev.ServerListed(server("s1-z1", "s1", leaving=True)))
    key = harness.arrive()
    harness.answer(harness.attempts(key)[0], connected_in=0.0078)
    harness.feed(ev.ServerListed(server("s1-z1b", "s1", "z1")))
    assert ask(harness) == "s1-z1b"
    distances = harness.router.servers.distances
    assert distances.extra_round_trip("z1") == 0.0
    assert 0.0 < distances.extra_round_trip("z2") < 0.003


def test_one_slow_answer_is_a_pause_two_in_a_row_are_a_slow_server() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    assert ask(harness, 0.15) == "s1-z1"
    assert ask(harness, 0.15) == "s1-z1"
    assert ask(harness) == "s1-z2"
    assert any(note.details.get("state") == "ejected" for note in harness.logged)


def test_a_pause_does_not_keep_work_away_once_it_is_over() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    ask(harness, 0.15)
    assert [ask(harness) for _ in range(5)] == ["s1-z1"] * 5


def test_a_slow_server_is_tried_again_and_comes_back() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    ask(harness, 0.15)
    ask(harness, 0.15)
    harness.advance(1.0)
    ask(harness)
    assert [ask(harness) for _ in range(3)] == ["s1-z1"] * 3


def test_while_an_attempt_is_stalled_its_server_gets_no_first_attempts() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    stalled = harness.attempts(harness.arrive())[0]
    harness.advance(0.06)
    assert harness.attempts(harness.arrive())[0].server.instance != stalled.server.instance


def test_a_server_that_lost_one_answer_is_not_taken_for_dark() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    lost, *later = [harness.attempts(harness.arrive())[0] for _ in range(3)]
    same = [each for each in later if each.server.instance == lost.server.instance]
    if not same:
        harness.advance(0.001)
        same = [harness.attempts(harness.arrive())[0]]
    harness.advance(0.02)
    for each in later + same:
        harness.answer(each)
    harness.advance(0.1)
    assert harness.now - lost.request.arrived_at_s > 0.1
    assert ask(harness) == lost.server.instance


def test_a_dark_shard_costs_neither_budget_nor_time() -> None:
    harness = RouterHarness(gather_route())
    for _ in range(3):
        key = harness.arrive()
        for attempt in harness.attempts(key):
            if attempt.server.service != "s1":
                harness.answer(attempt)
        harness.advance(1.6)
        for attempt in harness.attempts(key):
            harness.fail(attempt, failure(Reason.TIMED_OUT))
    key = harness.arrive()
    rest = harness.attempts(key)
    assert {each.server.service for each in rest} == {"s2", "s3", "s4"}
    for attempt in rest:
        harness.answer(attempt)
    assert isinstance(harness.finals[key], ev.Gathered)


def test_a_single_request_tries_a_failing_server_rather_than_nobody() -> None:
    harness = RouterHarness(single_route(), servers=(server("a", "desk"),))
    for _ in range(3):
        key = harness.arrive("/one/x", 6.0)
        harness.fail(harness.attempts(key)[0])
    assert len(harness.attempts(harness.arrive("/one/x", 6.0))) == 1


def test_a_leaving_server_gets_no_new_work_of_any_kind() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.feed(ev.ServerListed(server("s1-z1", "s1", leaving=True)))
    harness.advance(60.0)
    assert {ask(harness) for _ in range(10)} == {"s1-z2"}
    key = harness.arrive()
    harness.fail(harness.attempts(key)[0])
    assert {each.server.instance for each in harness.attempts(key)} == {"s1-z2"}


def test_an_entry_that_vanished_is_a_last_resort_for_a_moment_only() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.feed(ev.ServerRemoved("s1-z1"))
    assert ask(harness) == "s1-z2"
    harness.feed(ev.ServerRemoved("s1-z2"))
    assert ask(harness) in {"s1-z1", "s1-z2"}
    harness.advance(2.0)
    assert harness.attempts(harness.arrive()) == []
    harness.feed(ev.ServerListed(server("s1-z1", "s1")))
    assert ask(harness) == "s1-z1"


def test_a_full_list_removes_whom_it_does_not_name() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.feed(ev.ServersReplaced((server("s1-z2", "s1", "z2"),)))
    assert ask(harness) == "s1-z2"


def test_a_reused_address_is_another_server() -> None:
    harness = RouterHarness(ONE_SHARD)
    key = harness.arrive()
    first = harness.attempts(key)[0]
    harness.fail(first, failure(Reason.BACKEND_LEAVING, Verdict.NOT_RUN))
    again = harness.attempts(key)[1]
    assert again.server.instance != first.server.instance
    harness.answer(again)
    assert {ask(harness) for _ in range(5)} == {again.server.instance}


def test_a_server_that_rejects_is_left_alone_for_a_moment_but_not_ejected() -> None:
    harness = RouterHarness(ONE_SHARD)
    key = harness.arrive()
    harness.fail(harness.attempts(key)[0], failure(Reason.SHED, Verdict.NOT_RUN))
    harness.answer(harness.attempts(key)[1])
    again = harness.attempts(harness.arrive())[0]
    assert again.server.instance == "s1-z2"
    harness.answer(again)
    harness.advance(0.2)
    assert ask(harness) == "s1-z1"


def test_connections_to_a_server_are_shared_among_the_nodes() -> None:
    harness = RouterHarness(ONE_SHARD, nodes=8)
    first = harness.attempts(harness.arrive())[0]
    assert first.connection_limit == 1
    harness.answer(first)
    harness.warm_up(requests=40)
    limit = harness.attempts(harness.arrive())[0].connection_limit
    assert 8 * limit <= 100 < 8 * (limit + 3)


def test_a_failing_servers_error_counts_against_it() -> None:
    harness = RouterHarness(single_route())
    key = harness.arrive("/one/x", 6.0)
    first = harness.attempts(key)[0]
    harness.answer(first, reply(status=500))
    harness.answer(harness.attempts(key)[1])
    assert harness.attempts(harness.arrive("/one/x", 6.0))[0].server.instance != first.server.instance


def test_a_server_whose_connections_are_all_in_use_is_not_the_first_choice() -> None:
    harness = RouterHarness(ONE_SHARD, nodes=90)
    harness.warm_up()
    first = harness.attempts(harness.arrive())[0]
    assert first.connection_limit == 1
    assert harness.attempts(harness.arrive())[0].server.instance != first.server.instance


def test_a_server_that_is_long_gone_is_forgotten_with_all_that_is_kept_for_it() -> None:
    harness = RouterHarness(ONE_SHARD)
    forgotten: list[str] = []
    for number in range(50):
        harness.feed(ev.ServerListed(server(f"n{number}", "s1")))
        harness.advance(1.0)
        actions = harness.feed(ev.ServerRemoved(f"n{number}"))
        forgotten += [each.instance for each in actions if isinstance(each, ev.ForgetServer)]
    assert len(harness.router.servers) < 10
    assert forgotten[:3] == ["n0", "n1", "n2"]


def test_a_server_with_work_in_flight_is_not_forgotten_yet() -> None:
    harness = RouterHarness(ONE_SHARD)
    attempt = harness.attempts(harness.arrive())[0]
    harness.feed(ev.ServerRemoved(attempt.server.instance))
    harness.advance(60.0)
    harness.feed(ev.ServerRemoved("nobody"))
    assert harness.router.servers.get(attempt.server.instance) is not None


def test_what_was_learnt_of_routes_that_are_gone_is_forgotten() -> None:
    harness = RouterHarness(gather_route())
    for version in range(2, 60):
        route = replace(gather_route(services=(f"s{version}",)), name=f"r{version}")
        harness.feed(ev.ConfigurationLearnt(configuration(version, route)))
        harness.feed(ev.ServerListed(server(f"i{version}", f"s{version}")))
        harness.arrive()
        harness.advance(0.1)
    assert harness.router.kept_estimates() <= 8


def test_a_caller_without_patience_does_not_get_sound_servers_ejected() -> None:
    harness = RouterHarness(gather_route())
    harness.warm_up()
    key = harness.arrive(timeout_s=0.040)
    harness.advance(0.026)
    for attempt in harness.attempts(key):
        harness.fail(attempt, failure(Reason.TIMED_OUT))
    assert not any(note.details.get("state") == "ejected" for note in harness.logged)
    after = harness.arrive()
    assert len(harness.attempts(after)) == 4


def test_a_server_that_is_silent_for_long_is_ejected() -> None:
    harness = RouterHarness(gather_route())
    harness.warm_up()
    key = harness.arrive()
    harness.advance(0.3)
    harness.fail(harness.attempts(key)[0], failure(Reason.TIMED_OUT))
    assert any(note.details.get("state") == "ejected" for note in harness.logged)


def observed(harness: RouterHarness) -> list[str]:
    return [each.instance for each in harness.observed]


def test_a_suspected_server_gets_no_first_attempts_until_it_is_over() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    harness.feed(ev.ServerSuspected("s1-z1", 1.0))
    assert ask(harness) == "s1-z2"
    harness.advance(1.0)
    assert ask(harness) == "s1-z1"


def test_the_last_server_that_nobody_suspects_is_not_suspected() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    harness.feed(ev.ServerSuspected("s1-z1", 1.0))
    harness.feed(ev.ServerSuspected("s1-z2", 1.0))
    assert ask(harness) == "s1-z2"


def test_a_late_answer_is_told_once_a_pause() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    keys = [harness.arrive() for _ in range(3)]
    attempts = [each for key in keys for each in harness.attempts(key) if each.server.instance == "s1-z1"]
    harness.advance(0.12)
    for attempt in attempts:
        harness.answer(attempt)
    assert observed(harness) == ["s1-z1"]


def test_a_server_that_is_silent_for_long_is_told_of_before_the_attempt_ends() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    key = harness.arrive()
    first = harness.attempts(key)[0]
    harness.advance(0.05)
    for hedge in harness.attempts(key)[1:]:
        harness.answer(hedge)
    harness.advance(0.25)
    harness.arrive("/none")
    assert observed(harness) == []
    harness.advance(0.3)
    harness.arrive("/none")
    assert observed(harness) == [first.server.instance]
    harness.advance(0.2)
    harness.arrive("/none")
    assert observed(harness) == [first.server.instance]


def test_what_this_node_was_late_itself_is_not_held_against_a_server() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    harness.router._context.lateness_s = 0.05
    attempt = harness.attempts(harness.arrive())[0]
    harness.advance(0.055)
    harness.answer(attempt)
    assert observed(harness) == []


def test_the_good_answers_beside_a_late_one_are_told_with_it() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up(requests=30)
    attempt = harness.attempts(harness.arrive())[0]
    harness.advance(0.12)
    harness.answer(attempt)
    assert [each.good_answers >= 3 for each in harness.observed] == [True]


def test_after_a_suspicion_one_request_at_a_time_tries_the_server() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    harness.feed(ev.ServerSuspected("s1-z1", 1.0))
    harness.advance(1.0)
    first, second = (harness.attempts(harness.arrive())[0] for _ in range(2))
    assert (first.server.instance, second.server.instance) == ("s1-z1", "s1-z2")
    harness.advance(0.01)
    harness.answer(first)
    again = [harness.attempts(harness.arrive())[0].server.instance for _ in range(2)]
    assert again == ["s1-z1", "s1-z1"]


def nodes_of(servers: int, nodes: int, connections: int) -> dict[str, int]:
    """How many of the nodes first ask each server, when each asks twice at a time."""
    route = gather_route(services=("s1",))
    records = tuple(server(f"srv-{number}", "s1") for number in range(servers))
    asked: dict[str, int] = dict.fromkeys((each.instance for each in records), 0)
    for number in range(nodes):
        options = GatewayOptions(zone="z1", node=f"node-{number}", budget=BUDGET)
        harness = RouterHarness(route, servers=records, options=options, nodes=nodes)
        harness.feed(ev.ConfigurationLearnt(configuration(2, route, connections=connections)))
        used = set()
        for _ in range(20):
            key = harness.arrive()
            used |= {each.server.instance for each in harness.attempts(key)}
            for attempt in harness.attempts(key):
                harness.answer(attempt)
        for instance in used:
            asked[instance] += 1
    return asked


def test_where_connections_are_few_each_node_keeps_to_some_servers_and_none_gets_too_many() -> None:
    asked = nodes_of(servers=3, nodes=64, connections=54)
    assert sum(asked.values()) == 64 * 2
    assert max(asked.values()) <= 54


def test_where_connections_are_many_every_node_may_use_every_server() -> None:
    assert nodes_of(servers=3, nodes=4, connections=54) == {"srv-0": 4, "srv-1": 4, "srv-2": 4}


def test_a_server_where_work_takes_longer_at_this_moment_is_gone_around() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    key = harness.arrive()
    harness.answer(
        harness.attempts(key)[0], ServerReply(200, (), b"", b"sig", Load(1, 0, 2, work_percent=400))
    )
    assert harness.attempts(harness.arrive())[0].server.zone == "z2"
    harness.advance(1.0)
    assert harness.attempts(harness.arrive())[0].server.zone == "z1"


def test_a_restored_registrys_older_entries_neither_bring_back_nor_call_off_a_leaving_server() -> None:
    harness = RouterHarness(gather_route())
    listed = harness.router.servers.records()
    left, gone, stays = listed[:3]
    harness.feed(ev.ServerListed(replace(left, leaving=True)))
    harness.feed(ev.ServerRemoved(gone.instance))
    harness.feed(ev.ServersRestored(tuple(listed)))
    known = {each.instance: each.leaving for each in harness.router.servers.records()}
    assert known[left.instance] is True
    assert gone.instance not in known
    assert known[stays.instance] is False
    harness.feed(ev.ServersReplaced(tuple(listed)))
    assert len(harness.router.servers.records()) == len(listed)


def test_a_server_that_a_restored_registry_lacks_counts_as_gone() -> None:
    harness = RouterHarness(gather_route())
    first, *others = harness.router.servers.records()
    harness.feed(ev.ServersRestored(tuple(others)))
    assert first.instance not in {each.instance for each in harness.router.servers.records()}


# Servers that crashed are started anew at the same addresses under other ids; the entries of the crashed ones
# stand for three heartbeats more, and again as long in a registry that came back from an older copy. Each
# node sent a request to each of them, which the server there turned away (421); a wide request at a node just
# started met three of them and had budget for two: 502 after 5 ms. The run of a minute that showed it had 52
# such arrivals, 0.2 to 11 s after the successors' start; node logs chose the successors for the retries.
def test_a_server_started_at_anothers_address_has_taken_its_place() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    crashed = server("s1-z1", "s1")
    harness.feed(ev.ServerListed(replace(crashed, instance="s1-new")))
    assert {ask(harness) for _ in range(20)} == {"s1-new"}
    noted = [each.details for each in harness.logged if each.name == "server_entry"]
    assert {"instance": "s1-z1", "change": "replaced"} in noted


def test_of_a_lists_servers_at_one_address_the_newest_one_is_there() -> None:
    harness = RouterHarness(ONE_SHARD)
    old = [server(f"s1-{number}", "s1") for number in range(PLACES)]
    new = [replace(each, instance=f"{each.instance}-new") for each in old]
    harness.feed(ev.ServersReplaced((*old, *new)))
    assert {ask(harness) for _ in range(20)} <= {each.instance for each in new}
    told = [each.instance for each in harness.router.servers.records()]
    assert told == [each.instance for each in (*old, *new)]


def test_an_older_list_takes_no_address_from_a_server_that_is_there() -> None:
    """What a registry that came back from an older copy lists may have gone long ago."""
    harness = RouterHarness(ONE_SHARD)
    there = server("s1-z1", "s1")
    gone = replace(there, instance="s1-gone")
    harness.feed(ev.ServersReplaced((there,)))
    harness.feed(ev.ServersRestored((gone,)))
    harness.feed(ev.ServersReplaced((gone, there)))
    assert {ask(harness) for _ in range(20)} == {"s1-z1"}


def test_a_list_that_lacks_the_newer_server_brings_the_older_one_not_back() -> None:
    """A node that starts reads a list that may be seconds old after it has heard of newer servers."""
    harness = RouterHarness(ONE_SHARD)
    old = server("s1-z1", "s1")
    new, other = replace(old, instance="s1-new"), server("s1-z2", "s1")
    harness.feed(ev.ServersReplaced((old, other, new)))
    harness.feed(ev.ServersReplaced((old, other)))
    assert {ask(harness) for _ in range(20)} == {"s1-z2"}
    harness.feed(ev.ServersReplaced((old, other, new)))
    assert "s1-new" in {ask(harness) for _ in range(20)}


def test_a_server_gets_work_again_when_its_successor_is_long_gone() -> None:
    """An entry by another writer came and went: the server whose address it named was there all the time."""
    harness = RouterHarness(ONE_SHARD)
    there = server("s1-z1", "s1")
    harness.feed(ev.ServersReplaced((there,)))
    harness.feed(ev.ServerListed(replace(there, instance="s1-nobody")))
    harness.feed(ev.ServerRemoved("s1-nobody"))
    harness.advance(30.0)
    harness.feed(ev.ServerListed(there))
    assert {ask(harness) for _ in range(20)} == {"s1-z1"}


def test_an_entry_whose_server_is_not_there_takes_nobodys_place_for_long() -> None:
    """Entries may also come from another writer, and name an address that is a sound server's."""
    harness = RouterHarness(ONE_SHARD)
    there = server("s1-z1", "s1")
    harness.feed(ev.ServersReplaced((there,)))
    harness.feed(ev.ServerListed(replace(there, instance="s1-nobody")))
    key = harness.arrive()
    (first,) = harness.attempts(key)
    harness.fail(first, failure(Reason.BACKEND_LEAVING, Verdict.NOT_RUN))
    assert [each.server.instance for each in harness.attempts(key)] == ["s1-nobody", "s1-z1"]
    harness.answer(harness.attempts(key)[1])
    assert {ask(harness) for _ in range(20)} == {"s1-z1"}


def test_one_address_may_serve_several_services() -> None:
    harness = RouterHarness(gather_route(services=("s1", "s2")))
    first = server("one", "s1")
    harness.feed(ev.ServersReplaced((first, replace(first, instance="two", service="s2"))))
    assert {each.server.instance for each in harness.attempts(harness.arrive())} == {"one", "two"}
