"""Opens connections to servers, and tells a refusal from a failure."""

from typing import NamedTuple

import anyio

from yokesill.clock import Clock
from yokesill.upstreams.connections import ConnectionSet, ServerConnection
from yokesill.upstreams.wires import Dial
from yokesill.verdict import Reason

CONNECT_TIMEOUT_S = 1.0
# After a server refused a new connection, the next ones are watched for so long before they are used.
REFUSALS_LAST_S = 3.0
SETTLING_S, SETTLING_ROUND_TRIPS = 0.004, 1.0


class OpeningFailure(NamedTuple):
    """Why a connection could not be opened."""

    reason: Reason
    detail: str


async def open_connection(
    connections: ConnectionSet, dial: Dial, deadline: float, clock: Clock
) -> ServerConnection | OpeningFailure:
    """Open a connection to a server.

    Parameters
    ----------
    connections
        The server's connections, in which a place was reserved.
    dial
        Connects.
    deadline
        Until when it is of use, in seconds of the node's clock.
    clock
        The node's clock.

    Returns
    -------
    ServerConnection or OpeningFailure
        A refusal (``CONNECTION_REFUSED``) says that the server holds as many as it bears.
    """
    connection = ServerConnection(connections.lost)
    started = clock()
    bound_s = min(CONNECT_TIMEOUT_S, deadline - started)
    try:
        with anyio.fail_after(bound_s):
            await connection.open(dial, connections.host, connections.port)
            await _settle(connections, connection, started, clock())
    except TimeoutError:
        failure = OpeningFailure(Reason.CONNECT_FAILED, f"no answer in {bound_s:.2f} s")
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
    connections: ConnectionSet, connection: ServerConnection, started: float, now: float
) -> None:
    """Watch a new connection for a moment if the server refused one lately.

    A server that holds as many connections as it bears accepts a new one and resets it at once.
    A request that had been sent on it would count as one that may have run.
    """
    if now - connections.refused_at > REFUSALS_LAST_S:
        return
    await anyio.sleep(SETTLING_S + SETTLING_ROUND_TRIPS * (now - started))
    if not connection.is_open:
        raise ConnectionResetError("reset before its first use")
