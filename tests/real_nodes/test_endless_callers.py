"""Clients that send without end, connect without end or don't read cost only themselves."""

import resource
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack, suppress

import pytest
from node_process import HOST, ROUTE_HOST, Node, Surroundings, configuration, message, read_answer
from test_endless_bytes import CHUNK, CONNECTIONS, endless, peak_mb, run_beside, served_again

GET = f"GET /read/x HTTP/1.1\r\nhost: {ROUTE_HOST}\r\nx-yokesill-request-id: r\r\n".encode()
POST = GET.replace(b"GET", b"POST")
CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"
ENDLESS_REQUESTS = {
    "head": (GET, b"a: b\r\n" * 1000),
    "target": (b"GET /", b"x" * 40000),
    "one header": (GET + b"a: ", b"x" * 40000),
    "body": (POST + b"content-length: 99999999999\r\n\r\n", b"x" * 40000),
    "chunks": (CHUNKED, CHUNK),
    "chunk extension": (CHUNKED + b"4;", b"x" * 40000),
    "trailer": (CHUNKED + b"0\r\n", b"a: b\r\n" * 1000),
    "requests": (b"", (GET + b"\r\n") * 500),
    "nonsense": (b"", b"\0junk" * 1000),
}
MAX_DESCRIPTORS = 256


def ports(node: Node) -> Iterator[int]:
    """Return the port of each listener."""
    yield from (node.front, node.ready_port, node.control, node.own[0])


@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
def test_requests_without_end_on_every_port_keep_the_process_below_its_memory_limit(
    kind: str, node: Node
) -> None:
    # Guards against: heads, trailers or pipelined requests of 8 clients took 575 to 908 MB in seconds.
    node.start().wait_until_ready()
    attack = endless(*ENDLESS_REQUESTS[kind])
    for port in ports(node):
        run_beside(lambda port=port: attack(socket.create_connection((HOST, port))), CONNECTIONS)  # type: ignore[misc]
    assert peak_mb(node) < node.limits["memoryMb"]
    assert served_again(node)


def test_answers_that_nobody_takes_keep_the_process_below_its_memory_limit(
    node: Node, around: Surroundings
) -> None:
    # Guards against: 200 callers that didn't read answers of 1 MB took 217 MB.
    for server in around.servers:
        server.special = lambda request, server=server: (
            lambda connection: connection.sendall(  # type: ignore[misc]
                message("HTTP/1.1 200 OK", server.head(request), b"0123456789abcdef" * 60_000)
            )
        )
    node.start().wait_until_ready()
    with ExitStack() as connections:
        for number in range(200):
            connection = connections.enter_context(socket.socket())
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.connect((HOST, node.front))
            connection.sendall(GET + b"\r\n")
            if number % 10 == 9:
                time.sleep(0.2)
        assert peak_mb(node) < node.limits["memoryMb"]
        assert served_again(node)


def test_more_connections_than_descriptors_leave_the_node_ready_and_serving(node: Node) -> None:
    # Guards against: at the limit of descriptors accepting stopped, and probes timed out for some 10 s.
    node.limits["maxFds"] = MAX_DESCRIPTORS
    node.write_settings()
    limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
    node.start(preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits)).wait_until_ready()
    with ExitStack() as connections:
        for port in ports(node):
            for _ in range(2 * MAX_DESCRIPTORS):
                connections.enter_context(socket.create_connection((HOST, port), timeout=2.0))
        for _ in range(5):
            assert (node.ask().status, node.is_ready()) == (200, True)
        assert node.descriptors() < MAX_DESCRIPTORS
    assert (node.folder / "node.err").read_text() == ""
    assert node.stop() == 0


def test_bodies_of_many_callers_keep_the_process_below_its_memory_limit(
    around: Surroundings, node: Node
) -> None:
    # Guards against: the bodies that many callers have begun to send were bounded one by one only.
    size = 4_000_000
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": size, "headerTimeoutMs": 2000, "idleTimeoutMs": 5000}
    around.store.put("config", "main", configuration() | {"limits": limits, "configVersion": 2})
    node.start().wait_until_ready()
    statuses = []
    opened: list[socket.socket] = []
    with ExitStack() as connections:
        for _ in range(100):
            connection = connections.enter_context(socket.create_connection((HOST, node.front), timeout=5.0))
            with suppress(OSError):
                connection.sendall(POST + b"content-length: %d\r\n\r\n" % size + b"x" * (size - 1))
            opened.append(connection)
        for connection in opened:
            connection.settimeout(0.1)
            with suppress(OSError):
                statuses.append(connection.recv(1000).split()[1])
        assert node.memory_mb() < node.limits["memoryMb"]
    assert set(statuses) == {b"503"}
    assert served_again(node)


def test_nonsense_after_a_request_does_not_take_the_place_of_its_answer(node: Node) -> None:
    # Guards against: a 400 for what follows was sent in the place of the answer to the request before.
    node.start().wait_until_ready()
    with socket.create_connection((HOST, node.front), timeout=5.0) as connection:
        connection.sendall(GET + b"\r\n\0\0\0\0\r\n\r\n")
        assert read_answer(connection).status == 200
        assert connection.recv(1000) == b""
