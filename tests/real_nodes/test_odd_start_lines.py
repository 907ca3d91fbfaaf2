"""Servers that answer with bytes that begin no reply: callers get a whole answer, at once."""

import socket
import time
from pathlib import Path

import pytest
from node_process import (
    Answer,
    Node,
    Reply,
    Request,
    Server,
    Surroundings,
    configuration,
    message,
    surroundings,
)

NO_REPLY = ["HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/2.0 200 OK"]
# The route's deadline is 2 s; what fails at once leaves time for the caller's own repeat.
AT_ONCE_S = 1.0
ONCE_PATH = "/next/x"
# Requests after which the budget of extra attempts allows some.
EARNING_REQUESTS = 30


def with_route_that_may_run_once() -> dict[str, object]:
    """Return a newer configuration with a second route, whose requests may run once."""
    config = configuration()
    once = {**config["routes"][0], "name": "next", "pathPrefix": "/next/", "routeType": "non_idempotent"}
    return config | {"configVersion": 2, "routes": [*config["routes"], once]}


def answer_oddly(server: Server, start_line: str) -> None:
    """Let a server answer all requests with this start line, else soundly, and leave connections open."""

    def special(request: Request) -> Reply:
        def send(connection: socket.socket) -> None:
            connection.sendall(message(start_line, server.head(request), server.body))
            connection.recv(1)

        return send

    server.special = special


def ask(node: Node, method: str, path: str, request_id: str) -> tuple[Answer, float]:
    """Return the answer to a caller and how long it took, in seconds."""
    began_s = time.monotonic()
    answer = node.ask(path, request_id, method=method)
    return answer, time.monotonic() - began_s


@pytest.mark.parametrize("start_line", NO_REPLY)
def test_odd_start_line_of_all_servers_ends_as_502_at_once(
    start_line: str, node: Node, around: Surroundings
) -> None:
    # Guards against: no answer at all and an unhandled exception (600), or one at the deadline (000).
    around.store.put("config", "main", with_route_that_may_run_once())
    for server in around.servers:
        answer_oddly(server, start_line)
    node.start().wait_until_ready()
    for number in range(6):
        for method, path in (("POST", ONCE_PATH), ("GET", "/read/x")):
            answer, took_s = ask(node, method, path, f"{method}{number}")
            assert (answer.status, took_s < AT_ONCE_S) in ((502, True), (503, True)), (method, answer, took_s)
    ended = node.events("request_ended")
    assert {each["status"] for each in ended if each["route"] == "next"} <= {502, 503}
    assert [each for each in ended if each["status"] == 502], "no odd start line was met"
    assert "Exception in ASGI" not in node.output()


def test_odd_start_line_of_one_server_sends_an_idempotent_request_to_the_other(
    node: Node, around: Surroundings
) -> None:
    # Guards against: an idempotent request that is not repeated after an odd start line.
    node.start().wait_until_ready()
    for number in range(EARNING_REQUESTS):
        assert node.ask(request_id=f"e{number}").status == 200
    answer_oddly(around.servers[0], "HTTP/1.1 000 X")
    for number in range(6):
        answer, took_s = ask(node, "GET", "/read/x", f"r{number}")
        assert (answer.status, took_s < AT_ONCE_S) == (200, True)
    assert node.events("attempt_failed"), "no odd start line was met"


@pytest.mark.parametrize("start_line", NO_REPLY)
def test_odd_start_line_of_a_shard_leaves_that_part_out_of_a_wide_answer(
    start_line: str, tmp_path: Path
) -> None:
    # Guards against: a part that is no answer, or a wide request that waits for it until its deadline.
    with surroundings(servers=4) as around:
        around.spread_over_shards(configuration())
        sound, odd = around.servers[2:]
        answer_oddly(odd, start_line)
        node = Node(tmp_path, around.store).start().wait_until_ready()
        try:
            for number in range(6):
                answer, took_s = ask(node, "GET", "/wide/x", f"w{number}")
                assert (answer.status, took_s < AT_ONCE_S) == (200, True)
                assert answer.headers["x-yokesill-missing-parts"] == "1"
                assert answer.headers["x-yokesill-part-stamps"].startswith(sound.instance)
                assert "," not in answer.headers["x-yokesill-part-stamps"]
            assert odd.requests, "the odd server was not asked"
        finally:
            node.kill()
