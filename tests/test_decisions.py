"""Routing, waiting queues, limits, subsetting and load-test checkers, tested without I/O."""

import random

import yaml

from yokesill.backends.subsetting import assign
from yokesill.emulator.records import entries_in
from yokesill.emulator.server_model import Execution
from yokesill.loadgen.checkers import check_outcomes
from yokesill.loadgen.outcomes import Outcome
from yokesill.policy.compiler import compile_class
from yokesill.resources.documents import Replica, RequestClass, WhenIsolated
from yokesill.resources.hashing import split_key_space
from yokesill.resources.keys import ServiceName
from yokesill.routing import events as ev
from yokesill.routing.budget import AttemptBudget
from yokesill.routing.compiled import CompiledMap, CompiledService, CompiledShard
from yokesill.routing.messages import LoadReport, Partial, QueryRequest, ServerReport, Snapshot
from yokesill.routing.options import RoutingOptions
from yokesill.routing.router import Router
from yokesill.routing.waiting import WaitingQueue
from yokesill.verdict import Failure, Reason, Verdict

NAME = ServiceName("lima", "hours")
FIRST_SNAPSHOT = Snapshot(1, 1)
CLASS = "rules: [{then: {wait_ms: 1000, hedge: {quantile: 0.9}}}]"


def make_router(shards: int, replicas: int, shared_server: bool = False, **options: object) -> Router:
    ranges = split_key_space(shards)
    compiled_shards = tuple(
        CompiledShard(
            f"s{index}",
            each,
            tuple(
                Replica(address=f"10.0.{0 if shared_server else index}.{number}:1", zone="z1")
                for number in range(replicas)
            ),
        )
        for index, each in enumerate(ranges)
    )
    policy = compile_class(RequestClass.model_validate(yaml.safe_load(CLASS)))
    maps = {1: CompiledMap(1, compiled_shards)}
    service = CompiledService(NAME, 1, 1.0, maps, {"search": policy}, 0.05, WhenIsolated.SERVE)
    router = Router(RoutingOptions(zone="z1", **options), random.Random(1))  # type: ignore[arg-type]
    router.on_event(ev.ServiceInstalled(service), 0.0)
    for server in list(router.servers.all()):
        router.on_event(ev.ServerObserved(server.address, report(FIRST_SNAPSHOT), 0.0), 0.0)
    return router


def report(*held: Snapshot, queued: int = 0) -> ServerReport:
    return ServerReport("1", frozenset(held), LoadReport(4, 0, queued))


def submit(router: Router, number: int, now: float, deadline: float = 1.0) -> list[ev.Action]:
    query = QueryRequest(f"q{number}", NAME, "search", None, 1, now + deadline, True)
    return router.on_event(ev.QueryArrived(query), now)


def sent_attempts(actions: list[ev.Action]) -> list[ev.SendAttempt]:
    return [each for each in actions if isinstance(each, ev.SendAttempt)]


def answer(router: Router, send: ev.SendAttempt, now: float, queued: int = 0) -> list[ev.Action]:
    attempt = send.attempt
    partial = Partial(attempt.attempt_id, attempt.snapshot, attempt.range, [1])
    return router.on_event(
        ev.AttemptAnswered(attempt.attempt_id, partial, report(FIRST_SNAPSHOT, queued=queued)), now
    )


def test_query_waiting_for_a_snapshot_has_one_retry_timer() -> None:
    router = make_router(8, 2)
    # All servers of four shards hold a newer snapshot; no report of it has come from the other four.
    for server in list(router.servers.all()):
        if int(server.address.split(".")[2]) < 4:
            router.on_event(ev.ServerObserved(server.address, report(Snapshot(1, 2)), 0.0), 0.0)
    router.servers.generation += 1
    actions = submit(router, 1, 0.0)
    for step in range(1, 20):
        timers = [a for a in actions if isinstance(a, ev.SetTimer) and a.kind is ev.TimerKind.RETRY]
        assert len(timers) <= 1
        actions = router.on_event(ev.TimerFired("q1", ev.TimerKind.RETRY), step * 0.01)


def test_late_answer_of_cancelled_attempt_is_ignored() -> None:
    router = make_router(1, 2)
    (send,) = sent_attempts(submit(router, 1, 0.0))
    router.on_event(ev.CallerLeft("q1"), 0.1)
    assert answer(router, send, 0.2) == []
    assert all(server.in_flight == 0 for server in router.servers.all())


def test_report_older_than_the_last_one_is_ignored() -> None:
    router = make_router(1, 1)
    (server,) = router.servers.all()
    newer = report(Snapshot(1, 2))
    router.on_event(ev.ServerObserved(server.address, newer, 0.02), 0.03)
    router.on_event(ev.ServerObserved(server.address, report(FIRST_SNAPSHOT), 0.01), 0.04)
    assert server.holdings == {Snapshot(1, 2)}


def test_report_that_ends_its_own_query_yields_one_refusal() -> None:
    # One server with a single slot holds both shards: one shard is sent, the other waits.
    router = make_router(2, 1, initial_limit=1.0, shared_server=True)
    (send,) = sent_attempts(submit(router, 1, 0.0))
    failure = Failure(Reason.SNAPSHOT_UNAVAILABLE, Verdict.NOT_RUN)
    empty = ServerReport("1", frozenset(), LoadReport(4, 0, 0))
    actions = router.on_event(ev.AttemptFailed(send.attempt.attempt_id, failure, empty), 0.01)
    assert len([each for each in actions if isinstance(each, ev.Refuse)]) == 1
    assert router.queries_in_flight == 0


def test_query_without_retries_is_refused_when_its_attempt_fails() -> None:
    router = make_router(1, 1, retries=False)
    (send,) = sent_attempts(submit(router, 1, 0.0))
    failure = Failure(Reason.SHED, Verdict.NOT_RUN)
    actions = router.on_event(
        ev.AttemptFailed(send.attempt.attempt_id, failure, report(FIRST_SNAPSHOT)), 0.01
    )
    (refusal,) = [each for each in actions if isinstance(each, ev.Refuse)]
    assert refusal.failure.verdict is Verdict.NOT_RUN


def test_limit_shrinks_when_server_reports_a_queue() -> None:
    router = make_router(1, 1)
    (server,) = router.servers.all()
    before = server.limit
    for number in range(5):
        (send,) = sent_attempts(submit(router, number, number * 0.2))
        answer(router, send, number * 0.2 + 0.01, queued=20)
    assert server.limit < before / 2


def test_overloaded_router_refuses_on_arrival_with_retry_after() -> None:
    router = make_router(1, 1, initial_limit=1.0)
    first = sent_attempts(submit(router, 0, 0.0))
    for number in range(1, 12):
        submit(router, number, 0.0)
    # The only slot is released slowly, so by the service interval a new query would wait too long.
    now = 0.0
    live = first
    for _ in range(3):
        now += 0.2
        live = sent_attempts(answer(router, live[0], now))
    (refusal,) = submit(router, 99, now)
    assert isinstance(refusal, ev.Refuse)
    assert refusal.failure.reason is Reason.OVERLOADED
    assert refusal.failure.verdict is Verdict.NOT_RUN
    assert refusal.failure.retry_after_ms >= 50


def test_waiting_queue_orders_by_priority_then_share_then_deadline() -> None:
    queue = WaitingQueue()
    big, small = ServiceName("big", "s"), ServiceName("small", "s")
    for number in range(30):
        queue.add((big, "s0", FIRST_SNAPSHOT), f"big{number}", 5, 1.0 + number, 0.0)
        queue.add((small, "s0", FIRST_SNAPSHOT), f"small{number}", 5, 9.0, 0.0)
    queue.add((small, "s0", FIRST_SNAPSHOT), "urgent", 9, 99.0, 0.0)
    order = []
    keys = {(big, "s0", FIRST_SNAPSHOT), (small, "s0", FIRST_SNAPSHOT)}
    while (waiter := queue.pop_next(keys, 0.0)) is not None:
        order.append(waiter.query_id)
        # The share of the big namespace is twice that of the small one.
        name, share = (big, 2.0) if waiter.query_id.startswith("big") else (small, 1.0)
        queue.charge_namespace(name, share)
    assert order[0] == "urgent"
    assert 19 <= sum(each.startswith("big") for each in order[1:31]) <= 21
    assert [each for each in order if each.startswith("big")] == [f"big{number}" for number in range(30)]


def test_budget_limits_extra_attempts() -> None:
    budget = AttemptBudget(0.05, 10.0)
    granted = 0
    for _ in range(1000):
        budget.earn()
        granted += budget.take()
    assert 50 <= granted <= 61


def test_subsets_are_balanced_and_change_little_when_a_node_leaves() -> None:
    nodes = [f"10.1.{number // 200}.{number % 200}:1" for number in range(770)]
    servers = [f"10.2.0.{number}:1" for number in range(30)]
    before = assign(nodes, servers, 2)
    load = [sum(server in chosen for chosen in before.values()) for server in servers]
    assert sum(load) == 1540
    assert max(load) <= 54
    assert min(load) >= 40
    after = assign(nodes[1:], servers, 2)
    moved = sum(len(set(before[node]) - set(after[node])) for node in nodes[1:])
    assert moved <= 15
    assert assign(list(reversed(nodes)), list(reversed(servers)), 2) == before


def test_each_checker_reports_a_planted_violation() -> None:
    def outcome(**changes: object) -> Outcome:
        values = {"answered": True, "verdict": "ran", "query_id": "q", "coverage": 1.0, "snapshot": (1, 1)}
        result = Outcome("hours", "search", True, False, 0.0, 0.01, "ran")
        for name, value in {**values, **changes}.items():
            setattr(result, name, value)
        return result

    def run(**changes: object) -> Execution:
        values = {"attempt_id": "q.1", "query_id": "q", "address": "a", "shard": "s0", "request_class": "c"}
        return Execution(**{**values, "repeatable": True, "started_at": 0.0, "leaving_for": None, **changes})  # type: ignore[arg-type]

    good = entries_in("lima/hours", 8, 0, 2**32, 1)
    planted = {
        "one_snapshot": ([outcome(entries=[{**good[0], "version": 2}, *good[1:]])], []),
        "true_coverage": ([outcome(entries=good[1:])], []),
        "own_answer": ([outcome(entries=[*good, good[0]])], []),
        "not_run": ([outcome(answered=False, verdict="not_run")], [run()]),
        "at_most_once": ([], [run(repeatable=False), run(repeatable=False, attempt_id="q.2")]),
        "leaving": ([], [run(leaving_for=3.5)]),
        "planned_stop": ([outcome(answered=False, cut=True)], []),
    }
    assert check_outcomes([outcome(entries=good)], [run()], "lima", {"hours": 8}) == []
    for promise, (outcomes, runs) in planted.items():
        found = check_outcomes(outcomes, runs, "lima", {"hours": 8})
        assert {each.promise for each in found} == {promise}, (promise, found)
