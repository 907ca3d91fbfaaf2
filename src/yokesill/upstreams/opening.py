"""Opens connections to servers, and tells a refusal from a failure.

A refusal says that the server holds as many connections as its limit; it is no fault of the server. The limit
itself is the gateway's decision; here a new connection is only watched before its first use.
"""

from typing import NamedTuple

import anyio

from yokesill.clock import Clock
from yokesill.upstreams.connection_set import ServerConnectionPool
from yokesill.upstreams.connections import ServerConnection
from yokesill.upstreams.wires import Dial
from yokesill.verdict import Reason

# Bounds what a dead server costs one attempt; its deadline may be sooner.
CONNECT_TIMEOUT_S = 1.0
# For this time after a refusal new connections are watched before their first use.
WATCH_AFTER_REFUSAL_S = 3.0
# How long a new connection is watched: a reset follows the accept within a round trip.
SETTLING_S = 0.004
SETTLING_ROUND_TRIPS = 1.0


class OpeningFailure(NamedTuple):
    """Why a connection could not be opened."""

    reason: Reason
    detail: str


async def open_connection(
    connections: ServerConnectionPool, dial: Dial, deadline_at_s: float, clock: Clock
) -> ServerConnection | OpeningFailure:
    """Open a connection to a server.

    Parameters
    ----------
    connections
        The server's connections, in which a place was reserved.
    dial
        Connects.
    deadline_at_s
        Until when it is of use, in seconds of the node's clock.
    clock
        The node's clock.

    Returns
    -------
    ServerConnection or OpeningFailure
        A refusal (``CONNECTION_REFUSED``) says that the server holds as many connections as its limit.
    """
    connection = ServerConnection(connections.lost)
    started = clock()
    timeout_s = min(CONNECT_TIMEOUT_S, deadline_at_s - started)
    try:
        with anyio.fail_after(timeout_s):
            await connection.open(dial, connections.host, connections.port)
            await _settle(connections, connection, started, clock())
    except TimeoutError:
        failure = OpeningFailure(Reason.CONNECT_FAILED, f"no answer in {timeout_s:.2f} s")
    except ConnectionResetError as error:
        connections.refused_at = clock()
        failure = OpeningFailure(Reason.CONNECTION_REFUSED, repr(error))
    except (OSError, anyio.BrokenResourceError) as error:
        failure = OpeningFailure(Reason.CONNECT_FAILED, repr(error))
    else:
        return connection
    connection.close()
    return failure


async def _settle(
    connections: ServerConnectionPool, connection: ServerConnection, started: float, now: float
) -> None:
    """Watch a new connection for a moment if the server refused one lately.

    A server at its limit of connections accepts a new one and resets it at once.
    A request that had been sent on it would count as one that may have run.
    """
    if now - connections.refused_at > WATCH_AFTER_REFUSAL_S:
        return
    await anyio.sleep(SETTLING_S + SETTLING_ROUND_TRIPS * (now - started))
    if not connection.is_open:
        raise ConnectionResetError("reset before its first use")
