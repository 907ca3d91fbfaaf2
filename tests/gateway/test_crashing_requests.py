"""One node: a request under which servers end is asked about, one server at a time, and then refused."""

from harness import RouterHarness, gather_route, server

from yokesill.gateway import events as ev
from yokesill.verdict import Verdict

SHARDS = ("s1", "s2", "s3", "s4")
SERVERS = tuple(server(f"{shard}-{number}", shard) for shard in SHARDS for number in range(3))


def crash_all(harness: RouterHarness, key: str) -> int:
    """Let each server end that the request is sent to; return how many that were."""
    ended = 0
    for _ in range(50):
        harness.advance(0.02)
        unended = harness.of(key)[ended:]
        if not unended:
            break
        for attempt in unended:
            ended += 1
            harness.fail(attempt)
    return ended


def test_a_request_under_which_servers_end_is_not_repeated_at_all_the_others() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    assert crash_all(harness, harness.arrive("/wide/deadly")) <= len(SHARDS) + 2


def test_a_request_under_which_servers_ended_is_refused_when_it_comes_again() -> None:
    harness = RouterHarness(gather_route(services=SHARDS, attempts=3), servers=SERVERS)
    crash_all(harness, harness.arrive("/wide/deadly"))
    harness.advance(10.0)
    key = harness.arrive("/wide/deadly")
    assert harness.of(key) == []
    final = harness.finals[key]
    assert isinstance(final, ev.Refuse)
    assert final.failure.verdict is Verdict.NOT_RUN
