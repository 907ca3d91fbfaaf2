"""Keeps the loopback addresses of runs on one machine apart: each run claims a second number of them."""

import os
import socket
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

FIRST_NET, NETS = 20, 200
# Nobody listens in this block but those that claim its net.
CLAIM_BLOCK, CLAIM_PORT = 254, 7299


class NoFreeNetError(Exception):
    """All nets are claimed."""


@contextmanager
def claimed_net(nets: Iterable[int] | None = None) -> Iterator[int]:
    """Claim a net until the end of the context, or of the process.

    Raises
    ------
    NoFreeNetError
        Other processes have claimed all nets.
    """
    for net in _from_own_number() if nets is None else nets:
        with socket.socket() as claim:
            try:
                claim.bind((f"127.{net}.{CLAIM_BLOCK}.1", CLAIM_PORT))
            except OSError:
                continue
            yield net
            return
    raise NoFreeNetError


def _from_own_number() -> Iterator[int]:
    """Return all nets, first the one that a run on its own would take by its process's number."""
    return (FIRST_NET + (os.getpid() + offset) % NETS for offset in range(NETS))
