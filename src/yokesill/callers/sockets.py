"""Opens listening sockets.

Imports next to nothing: a starting node opens the callers' socket before it loads everything else.
"""

import socket
import sys

# Callers that connect while a node starts wait in this queue (``platform.start``).
BACKLOG = 512


def listen(host: str, port: int) -> socket.socket:
    """Return a socket that listens already; raises ``OSError`` and ``OverflowError``.

    What connects before anybody accepts waits in the socket's queue.
    """
    # The protocol by its name: asyncio switches Nagle's algorithm off only where it is named, and with it
    # an answer's body waits for the caller's delayed acknowledgement of the head, 40 ms.
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, port))
        listening.listen(BACKLOG)
    except BaseException:
        listening.close()
        raise
    return listening


def listen_early(address: str) -> socket.socket | None:
    """Return a socket that listens on ``HOST:PORT``.

    ``None``, with a line on standard error, if it can't be opened: the listener tries again later.
    """
    host, _, port = address.rpartition(":")
    try:
        return listen(host, int(port))
    except (OSError, ValueError, OverflowError) as error:
        print(f"error: callers' address {address!r}: {error}", file=sys.stderr)
        return None
