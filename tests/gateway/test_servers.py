"""Which servers get requests: near and healthy ones, and never leaving ones."""

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
SERVERS = 3


def send_request(harness: RouterHarness, latency: float = 0.02) -> str:
    """Send a request; its first server answers after ``latency``, others at once. Return the first."""
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


def test_nearest_server_is_selected() -> None:
    harness = RouterHarness(ONE_SHARD)
    assert {send_request(harness) for _ in range(20)} == {"s1-z1"}


def test_requests_go_to_another_zone_if_the_nearest_server_is_full() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    keys = [harness.arrive() for _ in range(4)]
    zones = [harness.attempts(key)[0].server.zone for key in keys]
    assert zones.count("z2") >= 1


def test_server_that_reports_a_queue_is_avoided_while_the_report_is_fresh() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    key = harness.arrive()
    busy = ServerReply(200, (), b"", b"sig", Load(2, 6, 2))
    harness.answer(harness.attempts(key)[0], busy)
    assert harness.attempts(harness.arrive())[0].server.zone == "z2"
    harness.advance(1.0)
    assert harness.attempts(harness.arrive())[0].server.zone == "z1"


def test_load_report_that_only_includes_its_own_request_changes_nothing() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    key = harness.arrive()
    harness.answer(harness.attempts(key)[0], ServerReply(200, (), b"", b"sig", Load(2, 0, 2)))
    assert harness.attempts(harness.arrive())[0].server.zone == "z1"


def test_connecting_cost_common_to_all_zones_does_not_count_as_distance() -> None:
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
    assert send_request(harness) == "s1-z1b"
    distances = harness.router.servers.distances
    assert distances.extra_round_trip("z1") == 0.0
    assert 0.0 < distances.extra_round_trip("z2") < 0.003


def test_two_slow_answers_in_a_row_eject_a_server_but_one_does_not() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    assert send_request(harness, 0.15) == "s1-z1"
    assert send_request(harness, 0.15) == "s1-z1"
    assert send_request(harness) == "s1-z2"
    assert any(note.details.get("state") == "ejected" for note in harness.logged)


def test_one_pause_does_not_divert_requests_once_it_is_over() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    send_request(harness, 0.15)
    assert [send_request(harness) for _ in range(5)] == ["s1-z1"] * 5


def test_ejected_server_is_probed_and_returns() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    send_request(harness, 0.15)
    send_request(harness, 0.15)
    harness.advance(1.0)
    send_request(harness)
    assert [send_request(harness) for _ in range(3)] == ["s1-z1"] * 3


def test_server_with_a_stalled_attempt_gets_no_first_attempts() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    stalled = harness.attempts(harness.arrive())[0]
    harness.advance(0.06)
    assert harness.attempts(harness.arrive())[0].server.instance != stalled.server.instance


def test_server_that_lost_one_answer_is_not_treated_as_stalled() -> None:
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
    assert send_request(harness) == lost.server.instance


def test_shard_whose_servers_are_failing_is_skipped() -> None:
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


def test_single_request_tries_a_failing_server_if_there_is_no_other() -> None:
    harness = RouterHarness(single_route(), servers=(server("a", "desk"),))
    for _ in range(3):
        key = harness.arrive("/one/x", 6.0)
        harness.fail(harness.attempts(key)[0])
    assert len(harness.attempts(harness.arrive("/one/x", 6.0))) == 1


def test_leaving_server_gets_no_new_requests() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.feed(ev.ServerListed(server("s1-z1", "s1", leaving=True)))
    harness.advance(60.0)
    assert {send_request(harness) for _ in range(10)} == {"s1-z2"}
    key = harness.arrive()
    harness.fail(harness.attempts(key)[0])
    assert {each.server.instance for each in harness.attempts(key)} == {"s1-z2"}


def test_server_whose_entry_vanished_is_a_last_resort_during_the_grace_period() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.feed(ev.ServerRemoved("s1-z1"))
    assert send_request(harness) == "s1-z2"
    harness.feed(ev.ServerRemoved("s1-z2"))
    assert send_request(harness) in {"s1-z1", "s1-z2"}
    harness.advance(2.0)
    assert harness.attempts(harness.arrive()) == []
    harness.feed(ev.ServerListed(server("s1-z1", "s1")))
    assert send_request(harness) == "s1-z1"


def test_complete_list_removes_servers_that_it_does_not_contain() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.feed(ev.ServersReplaced((server("s1-z2", "s1", "z2"),)))
    assert send_request(harness) == "s1-z2"


def test_server_that_is_no_longer_at_its_address_gets_no_more_requests() -> None:
    harness = RouterHarness(ONE_SHARD)
    key = harness.arrive()
    first = harness.attempts(key)[0]
    harness.fail(first, failure(Reason.BACKEND_LEAVING, Verdict.NOT_RUN))
    again = harness.attempts(key)[1]
    assert again.server.instance != first.server.instance
    harness.answer(again)
    assert {send_request(harness) for _ in range(5)} == {again.server.instance}


def test_server_that_rejects_a_request_is_avoided_briefly_but_not_ejected() -> None:
    harness = RouterHarness(ONE_SHARD)
    key = harness.arrive()
    harness.fail(harness.attempts(key)[0], failure(Reason.SHED, Verdict.NOT_RUN))
    harness.answer(harness.attempts(key)[1])
    again = harness.attempts(harness.arrive())[0]
    assert again.server.instance == "s1-z2"
    harness.answer(again)
    harness.advance(0.2)
    assert send_request(harness) == "s1-z1"


def test_connection_limit_is_divided_among_the_nodes() -> None:
    harness = RouterHarness(ONE_SHARD, nodes=8)
    first = harness.attempts(harness.arrive())[0]
    assert first.connection_limit == 1
    harness.answer(first)
    harness.warm_up(requests=40)
    limit = harness.attempts(harness.arrive())[0].connection_limit
    assert 8 * limit <= 100 < 8 * (limit + 3)


def test_server_error_diverts_the_next_request_to_another_server() -> None:
    harness = RouterHarness(single_route())
    key = harness.arrive("/one/x", 6.0)
    first = harness.attempts(key)[0]
    harness.answer(first, reply(status=500))
    harness.answer(harness.attempts(key)[1])
    assert harness.attempts(harness.arrive("/one/x", 6.0))[0].server.instance != first.server.instance


def test_server_with_all_connections_in_use_is_not_selected_first() -> None:
    harness = RouterHarness(ONE_SHARD, nodes=90)
    harness.warm_up()
    first = harness.attempts(harness.arrive())[0]
    assert first.connection_limit == 1
    assert harness.attempts(harness.arrive())[0].server.instance != first.server.instance


def test_server_removed_long_ago_is_dropped_with_its_state() -> None:
    harness = RouterHarness(ONE_SHARD)
    forgotten: list[str] = []
    for number in range(50):
        harness.feed(ev.ServerListed(server(f"n{number}", "s1")))
        harness.advance(1.0)
        actions = harness.feed(ev.ServerRemoved(f"n{number}"))
        forgotten += [each.instance for each in actions if isinstance(each, ev.ForgetServer)]
    assert len(harness.router.servers) < 10
    assert forgotten[:3] == ["n0", "n1", "n2"]


def test_removed_server_with_an_attempt_in_flight_is_kept() -> None:
    harness = RouterHarness(ONE_SHARD)
    attempt = harness.attempts(harness.arrive())[0]
    harness.feed(ev.ServerRemoved(attempt.server.instance))
    harness.advance(60.0)
    harness.feed(ev.ServerRemoved("nobody"))
    assert harness.router.servers.get(attempt.server.instance) is not None


def test_estimates_of_removed_routes_are_dropped() -> None:
    harness = RouterHarness(gather_route())
    for version in range(2, 60):
        route = replace(gather_route(services=(f"s{version}",)), name=f"r{version}")
        harness.feed(ev.ConfigurationReceived(configuration(version, route)))
        harness.feed(ev.ServerListed(server(f"i{version}", f"s{version}")))
        harness.arrive()
        harness.advance(0.1)
    assert harness.router.estimate_count() <= 8


def test_short_caller_timeout_does_not_eject_healthy_servers() -> None:
    harness = RouterHarness(gather_route())
    harness.warm_up()
    key = harness.arrive(timeout_s=0.040)
    harness.advance(0.026)
    for attempt in harness.attempts(key):
        harness.fail(attempt, failure(Reason.TIMED_OUT))
    assert not any(note.details.get("state") == "ejected" for note in harness.logged)
    after = harness.arrive()
    assert len(harness.attempts(after)) == 4


def test_timeout_after_a_long_silence_ejects_the_server() -> None:
    harness = RouterHarness(gather_route())
    harness.warm_up()
    key = harness.arrive()
    harness.advance(0.3)
    harness.fail(harness.attempts(key)[0], failure(Reason.TIMED_OUT))
    assert any(note.details.get("state") == "ejected" for note in harness.logged)


def reported_servers(harness: RouterHarness) -> list[str]:
    return [each.instance for each in harness.observed]


def test_suspected_server_gets_no_first_attempts_until_the_suspicion_ends() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    harness.feed(ev.ServerSuspected("s1-z1", 1.0))
    assert send_request(harness) == "s1-z2"
    harness.advance(1.0)
    assert send_request(harness) == "s1-z1"


def test_last_unsuspected_server_is_never_suspected() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    harness.feed(ev.ServerSuspected("s1-z1", 1.0))
    harness.feed(ev.ServerSuspected("s1-z2", 1.0))
    assert send_request(harness) == "s1-z2"


def test_late_answers_from_one_pause_are_reported_once() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    keys = [harness.arrive() for _ in range(3)]
    attempts = [each for key in keys for each in harness.attempts(key) if each.server.instance == "s1-z1"]
    harness.advance(0.12)
    for attempt in attempts:
        harness.answer(attempt)
    assert reported_servers(harness) == ["s1-z1"]


def test_silent_server_is_reported_once_before_the_attempt_ends() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    key = harness.arrive()
    first = harness.attempts(key)[0]
    harness.advance(0.05)
    for hedge in harness.attempts(key)[1:]:
        harness.answer(hedge)
    harness.advance(0.25)
    harness.arrive("/none")
    assert reported_servers(harness) == []
    harness.advance(0.3)
    harness.arrive("/none")
    assert reported_servers(harness) == [first.server.instance]
    harness.advance(0.2)
    harness.arrive("/none")
    assert reported_servers(harness) == [first.server.instance]


def test_lateness_of_this_node_does_not_count_against_a_server() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    harness.router._context.lateness_s = 0.05
    attempt = harness.attempts(harness.arrive())[0]
    harness.advance(0.055)
    harness.answer(attempt)
    assert reported_servers(harness) == []


def test_report_of_a_late_answer_includes_the_number_of_good_answers() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up(requests=30)
    attempt = harness.attempts(harness.arrive())[0]
    harness.advance(0.12)
    harness.answer(attempt)
    assert [each.good_answers >= 3 for each in harness.observed] == [True]


def test_server_on_probation_gets_one_attempt_at_a_time() -> None:
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


def nodes_per_server(servers: int, nodes: int, connections: int) -> dict[str, int]:
    """Return how many of the nodes send requests to each server, with 20 requests from each node."""
    route = gather_route(services=("s1",))
    records = tuple(server(f"srv-{number}", "s1") for number in range(servers))
    node_counts: dict[str, int] = dict.fromkeys((each.instance for each in records), 0)
    for number in range(nodes):
        options = GatewayOptions(zone="z1", node=f"node-{number}", budget=BUDGET)
        harness = RouterHarness(route, servers=records, options=options, nodes=nodes)
        harness.feed(ev.ConfigurationReceived(configuration(2, route, connections=connections)))
        used = set()
        for _ in range(20):
            key = harness.arrive()
            used |= {each.server.instance for each in harness.attempts(key)}
            for attempt in harness.attempts(key):
                harness.answer(attempt)
        for instance in used:
            node_counts[instance] += 1
    return node_counts


def test_scarce_connections_limit_each_node_to_a_subset_of_servers() -> None:
    node_counts = nodes_per_server(servers=3, nodes=64, connections=54)
    assert sum(node_counts.values()) == 64 * 2
    assert max(node_counts.values()) <= 54


def test_ample_connections_let_every_node_use_every_server() -> None:
    assert nodes_per_server(servers=3, nodes=4, connections=54) == {"srv-0": 4, "srv-1": 4, "srv-2": 4}


def test_server_that_reports_slow_work_is_avoided_while_the_report_is_fresh() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    key = harness.arrive()
    harness.answer(
        harness.attempts(key)[0], ServerReply(200, (), b"", b"sig", Load(1, 0, 2, work_percent=400))
    )
    assert harness.attempts(harness.arrive())[0].server.zone == "z2"
    harness.advance(1.0)
    assert harness.attempts(harness.arrive())[0].server.zone == "z1"


def test_older_entries_of_a_restored_registry_do_not_revive_removed_or_leaving_servers() -> None:
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


def test_server_missing_from_a_restored_registry_is_removed() -> None:
    harness = RouterHarness(gather_route())
    first, *others = harness.router.servers.records()
    harness.feed(ev.ServersRestored(tuple(others)))
    assert first.instance not in {each.instance for each in harness.router.servers.records()}


# Guards against requests to crashed servers whose entries outlive them. Servers restart at the same addresses
# under other instance names, while the entries of the crashed ones remain for three heartbeats, and as long
# again in a registry restored from an older copy. Every node sent a request to each such entry, and the
# server there rejected it (421). On a node that had just started, a wide request hit three of them with
# budget for two and failed (502) after 5 ms. A run of one minute had 52 such requests, 0.2 to 11 s after the
# replacements started; according to the node logs, the retries went to the replacements.
def test_server_started_at_the_address_of_another_replaces_it() -> None:
    harness = RouterHarness(ONE_SHARD)
    harness.warm_up()
    crashed = server("s1-z1", "s1")
    harness.feed(ev.ServerListed(replace(crashed, instance="s1-new")))
    assert {send_request(harness) for _ in range(20)} == {"s1-new"}
    logged = [each.details for each in harness.logged if each.name == "server_entry"]
    assert {"instance": "s1-z1", "change": "replaced"} in logged


def test_newest_server_of_a_list_replaces_others_at_its_address() -> None:
    harness = RouterHarness(ONE_SHARD)
    old = [server(f"s1-{number}", "s1") for number in range(SERVERS)]
    new = [replace(each, instance=f"{each.instance}-new") for each in old]
    harness.feed(ev.ServersReplaced((*old, *new)))
    assert {send_request(harness) for _ in range(20)} <= {each.instance for each in new}
    listed = [each.instance for each in harness.router.servers.records()]
    assert listed == [each.instance for each in (*old, *new)]


def test_older_list_does_not_replace_the_server_at_an_address() -> None:
    """A registry restored from an older copy may list servers that were removed long ago."""
    harness = RouterHarness(ONE_SHARD)
    current = server("s1-z1", "s1")
    gone = replace(current, instance="s1-gone")
    harness.feed(ev.ServersReplaced((current,)))
    harness.feed(ev.ServersRestored((gone,)))
    harness.feed(ev.ServersReplaced((gone, current)))
    assert {send_request(harness) for _ in range(20)} == {"s1-z1"}


def test_list_without_the_replacement_does_not_restore_the_replaced_server() -> None:
    """A node that starts may read a list that is seconds old after it has learned of newer servers."""
    harness = RouterHarness(ONE_SHARD)
    old = server("s1-z1", "s1")
    new, other = replace(old, instance="s1-new"), server("s1-z2", "s1")
    harness.feed(ev.ServersReplaced((old, other, new)))
    harness.feed(ev.ServersReplaced((old, other)))
    assert {send_request(harness) for _ in range(20)} == {"s1-z2"}
    harness.feed(ev.ServersReplaced((old, other, new)))
    assert "s1-new" in {send_request(harness) for _ in range(20)}


def test_replaced_server_gets_requests_again_once_its_replacement_is_dropped() -> None:
    """Another writer added and removed an entry with the address of a server that ran all the time."""
    harness = RouterHarness(ONE_SHARD)
    current = server("s1-z1", "s1")
    harness.feed(ev.ServersReplaced((current,)))
    harness.feed(ev.ServerListed(replace(current, instance="s1-nobody")))
    harness.feed(ev.ServerRemoved("s1-nobody"))
    harness.advance(30.0)
    harness.feed(ev.ServerListed(current))
    assert {send_request(harness) for _ in range(20)} == {"s1-z1"}


def test_absent_replacement_is_skipped_after_the_first_answer_from_its_address() -> None:
    """Entries by another writer may contain the address of a healthy server."""
    harness = RouterHarness(ONE_SHARD)
    current = server("s1-z1", "s1")
    harness.feed(ev.ServersReplaced((current,)))
    harness.feed(ev.ServerListed(replace(current, instance="s1-nobody")))
    key = harness.arrive()
    (first,) = harness.attempts(key)
    harness.fail(first, failure(Reason.BACKEND_LEAVING, Verdict.NOT_RUN))
    assert [each.server.instance for each in harness.attempts(key)] == ["s1-nobody", "s1-z1"]
    harness.answer(harness.attempts(key)[1])
    assert {send_request(harness) for _ in range(20)} == {"s1-z1"}


def test_several_services_can_share_an_address() -> None:
    harness = RouterHarness(gather_route(services=("s1", "s2")))
    first = server("one", "s1")
    harness.feed(ev.ServersReplaced((first, replace(first, instance="two", service="s2"))))
    assert {each.server.instance for each in harness.attempts(harness.arrive())} == {"one", "two"}
