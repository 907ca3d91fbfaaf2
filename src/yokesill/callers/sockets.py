"""Opens listening sockets, and asks open ones.

Imports only the standard library: a starting node opens the callers' socket before it loads everything else.
"""

import select
import socket
from typing import Any

from yokesill.serving.streams import write_error

# Callers that connect while a node starts wait in this queue (``platform.start``).
BACKLOG = 512


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket; raises ``OSError`` and ``OverflowError``.

    Connections made before the first accept wait in the socket's queue.
    """
    # The protocol must be given: asyncio disables Nagle's algorithm only if it is IPPROTO_TCP. With Nagle's
    # algorithm, an answer's body waits 40 ms for the caller's delayed acknowledgement of the head.
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, port))
        listening.listen(BACKLOG)
    except BaseException:
        listening.close()
        raise
    return listening


def has_unread_data(transport: Any) -> bool:
    """Whether bytes have arrived on an open connection that the event loop has not read yet."""
    connection = None if transport.is_closing() else transport.get_extra_info("socket")
    if connection is None:
        return False
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def listen_early(address: str) -> socket.socket | None:
    """Return a socket that listens on ``HOST:PORT``.

    If the socket can't be opened, prints the error to standard error and returns ``None``; the listener
    retries later.
    """
    host, _, port = address.rpartition(":")
    try:
        return listen(host, int(port))
    except (OSError, ValueError, OverflowError) as error:
        write_error(f"callers' address {address!r}: {error}")
        return None
