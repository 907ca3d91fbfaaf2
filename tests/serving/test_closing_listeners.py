"""What callers see of a listener that closes while they connect."""

import asyncio
import contextlib
import json
import socket
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from test_callers_connections import GET, Listening

from yokesill.callers.bounds import ListenerBounds
from yokesill.callers.handshakes import ignore_new_handshakes
from yokesill.callers.sockets import listen
from yokesill.frontend import server

CALLER = Path(__file__).with_name("short_connections.py")
CALLERS, CLOSES, OPEN_S = 4, 600, 0.005


@contextlib.contextmanager
def callers(port: int, ends: Counter[str]) -> Iterator[None]:
    """Run callers in processes of their own, and count in ``ends`` how their connections ended."""
    command = [sys.executable, "-S", str(CALLER), str(port)]
    running = [
        subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) for _ in range(CALLERS)
    ]
    try:
        yield
    finally:
        for each in running:
            ends.update(json.loads(each.communicate(timeout=20)[0]))


async def open_and_close(port: int, times: int) -> None:
    """Open a listener and close it, again and again; every accepted connection is served."""
    for _ in range(times):
        listening = Listening(ListenerBounds())
        await listening.start(port)
        await asyncio.sleep(OPEN_S)
        await listening.end()
        await listening.until_all_are_answered()


def free_port() -> int:
    with contextlib.closing(listen("127.0.0.1", 0)) as listening:
        return int(listening.getsockname()[1])


def test_no_connection_that_was_set_up_is_reset_by_a_listener_that_closes() -> None:
    # Guards against: connections set up between a listener's last accept and its close were reset.
    ends: Counter[str] = Counter()
    port = free_port()
    with callers(port, ends):
        asyncio.run(open_and_close(port, CLOSES))
    assert ends["answered"] > CLOSES
    assert (ends["reset"], ends["closed"], ends["not answered"]) == (0, 0, 0), ends


def test_filter_ignores_new_handshakes_and_passes_what_is_set_up() -> None:
    # Guards against: the last accepts go on beside new connections, or the filter drops what callers send.
    with contextlib.closing(listen("127.0.0.1", 0)) as listening:
        address = listening.getsockname()
        with contextlib.closing(socket.create_connection(address)) as earlier:
            assert ignore_new_handshakes(listening)
            with pytest.raises(TimeoutError):
                socket.create_connection(address, timeout=0.1)
            earlier.sendall(b"a")
            accepted, _ = listening.accept()
            with contextlib.closing(accepted):
                assert accepted.recv(1) == b"a"


class RefusesOptions:
    """A listening socket under a system that admits no filter."""

    def setsockopt(self, *_arguments: object) -> None:
        raise PermissionError(1, "Operation not permitted")


def test_refused_filter_is_no_error() -> None:
    # Guards against: a planned stop fails where the system calls of a process are restricted.
    refusing: Any = RefusesOptions()
    assert not ignore_new_handshakes(refusing)


def test_waiting_connections_are_served_without_a_filter(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: without the filter, connections in the accept queue are reset.
    monkeypatch.setattr(server, "ignore_new_handshakes", lambda _listening: False)

    async def main() -> bytes:
        listening = await Listening(ListenerBounds()).start()
        with contextlib.closing(socket.create_connection(listening.address)) as caller:
            caller.sendall(GET)
            await listening.end()
            await listening.until_all_are_answered()
            return caller.recv(12)

    assert asyncio.run(main()) == b"HTTP/1.1 200"
