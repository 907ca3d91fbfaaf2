"""Peers that send bytes without end cost their own exchanges, not the node's process.

A machine kills a process above the memory limit of its settings, here 200 MB.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable

import pytest
from node_process import Node, Reply, Surroundings, message

from yokesill.serving.settings import REPLY_MEMORY_SHARE

ATTACK_S, SAMPLE_S = 4.0, 0.05
CONNECTIONS = 8
CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
ENDLESS_REPLIES = {
    "head": (b"HTTP/1.1 200 X\r\n", b"a: b\r\n" * 1000),
    "body": (b"HTTP/1.1 200 X\r\n\r\n", b"x" * 40000),
    "chunks": (b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n", CHUNK),
    "trailer": (b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n" * 1000),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
}

# Bodies that are sent as fast as they are taken.
ENDLESS_BODIES = {
    "up to closing": (b"HTTP/1.1 200 X\r\n\r\n", b"x" * 65536),
    "a length": (b"HTTP/1.1 200 X\r\ncontent-length: 100000000000\r\n\r\n", b"x" * 65536),
    "chunks": (b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n", CHUNK),
}
BODY_REQUESTS, BODY_MEMORY_MB = 12, 300
# What unfinished replies may take beside their share: the allocator's, and what is read at once.
MARGIN_MB = 20


def endless(start: bytes, repeated: bytes) -> Reply:
    """Return a reply that goes on until the other side closes."""

    def reply(connection: socket.socket) -> None:
        connection.sendall(start)
        end_s = time.monotonic() + 4 * ATTACK_S
        while time.monotonic() < end_s:
            connection.sendall(repeated)

    return reply


def run_beside(work: Callable[[], object], times: int) -> list[threading.Thread]:
    """Run ``work`` in threads that swallow the errors of cut connections."""

    def quietly() -> None:
        with contextlib.suppress(OSError, ValueError, IndexError):
            work()

    threads = [threading.Thread(target=quietly, daemon=True) for _ in range(times)]
    for each in threads:
        each.start()
    return threads


def peak_mb(node: Node, seconds: float = ATTACK_S) -> float:
    """Return the peak memory of the next seconds; raises ``AssertionError`` if the process ends."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        assert node.running.poll() is None, node.output()
        time.sleep(SAMPLE_S)
    return node.memory_mb()


@pytest.mark.parametrize("kind", ENDLESS_REPLIES)
def test_answers_of_servers_without_end_keep_the_process_below_its_memory_limit(
    kind: str, node: Node, around: Surroundings
) -> None:
    # Guards against: 30 requests at servers that answer without end took 677 MB, so the process was killed.
    for server in around.servers:
        server.special = lambda _request: endless(*ENDLESS_REPLIES[kind])
    node.start().wait_until_ready()
    run_beside(node.ask, 30)
    assert peak_mb(node) < node.limits["memoryMb"]
    for server in around.servers:
        server.special = lambda _request: None
    assert served_again(node)


@pytest.mark.parametrize("kind", ENDLESS_BODIES)
def test_bodies_without_end_take_no_more_than_their_share(
    kind: str, node: Node, around: Surroundings
) -> None:
    # Guards against: replies that were given up kept their bodies, of 32 MB each, beside the share of 60 MB.
    node.limits["memoryMb"] = BODY_MEMORY_MB
    node.write_settings()
    node.start().wait_until_ready()
    idle_mb = node.memory_mb()
    for server in around.servers:
        server.special = lambda _request: endless(*ENDLESS_BODIES[kind])
    run_beside(node.ask, BODY_REQUESTS)
    assert peak_mb(node) < idle_mb + REPLY_MEMORY_SHARE * BODY_MEMORY_MB + MARGIN_MB


@pytest.mark.parametrize("kind", ENDLESS_REPLIES)
def test_answers_of_the_store_without_end_keep_the_process_below_its_memory_limit(
    kind: str, node: Node, around: Surroundings
) -> None:
    # Guards against: the first lists of a store that answers without end took 216 MB.
    around.store.special = lambda _request: endless(*ENDLESS_REPLIES[kind])
    node.start()
    assert peak_mb(node) < node.limits["memoryMb"]
    around.store.special = lambda _request: None
    node.wait_until_ready()


def test_large_answer_is_passed_on_whole_beside_answers_without_end(node: Node, around: Surroundings) -> None:
    # Guards against: the bound on unfinished replies takes the answers of sound servers, too.
    body = b"0123456789abcdef" * 60_000
    faulty, sound = around.servers
    faulty.special = lambda _request: endless(*ENDLESS_REPLIES["body"])
    sound.special = lambda request: (
        lambda connection: connection.sendall(message("HTTP/1.1 200 OK", sound.head(request), body))
    )
    node.start().wait_until_ready()
    run_beside(node.ask, 20)
    time.sleep(0.5)
    answers = [node.ask() for _ in range(10)]
    assert any(each.status == 200 for each in answers)
    assert all(each.body == body for each in answers if each.status == 200)


def served_again(node: Node, timeout_s: float = 10.0) -> bool:
    """Return whether a request is served within the time after a fault."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if node.ask().status == 200:
            return True
        time.sleep(0.1)
    return False
