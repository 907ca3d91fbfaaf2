"""Opens connections to servers, and distinguishes refusals from failures.

A refusal means that the server has reached its connection limit, which is not a fault. The gateway decides
how many connections to use; this module only observes a new connection for a moment before its first use.
"""

import errno
from typing import NamedTuple

import anyio

from yokesill.clock import Clock
from yokesill.comm.reply_memory import ReplyMemory
from yokesill.upstreams.connection_set import ServerConnectionPool
from yokesill.upstreams.connections import ServerConnection
from yokesill.upstreams.wires import Dial
from yokesill.verdict import Reason

# Bounds the time that an attempt loses to a dead server; its deadline may be sooner.
CONNECT_TIMEOUT_S = 1.0
# For this time after a refusal, new connections are observed before their first use.
OBSERVE_AFTER_REFUSAL_S = 3.0
# How long a new connection is observed: a reset follows the accept within a round trip.
OBSERVATION_S = 0.004
OBSERVATION_ROUND_TRIPS = 1.0
# The process or the system has no descriptor left.
NO_DESCRIPTOR = frozenset({errno.EMFILE, errno.ENFILE})


class OpeningFailure(NamedTuple):
    """Why a connection could not be opened."""

    reason: Reason
    detail: str


async def open_connection(
    connections: ServerConnectionPool,
    dial: Dial,
    deadline_at_s: float,
    clock: Clock,
    memory: ReplyMemory | None = None,
) -> ServerConnection | OpeningFailure:
    """Open a connection to a server.

    Parameters
    ----------
    connections
        The server's connection pool, with a reservation for this connection.
    dial
        Opens the transport.
    deadline_at_s
        When the attempt expires, in seconds of the node's clock.
    clock
        The node's clock.
    memory
        Bounds the memory of unfinished replies.

    Returns
    -------
    ServerConnection or OpeningFailure
        The reason ``CONNECTION_REFUSED`` means that the server has reached its connection limit,
        ``OVERLOADED`` that this node has no descriptor left.
    """
    connection = ServerConnection(connections.remove_idle, memory)
    started = clock()
    timeout_s = min(CONNECT_TIMEOUT_S, deadline_at_s - started)
    try:
        with anyio.fail_after(timeout_s):
            await connection.open(dial, connections.host, connections.port)
            await _observe_after_refusal(connections, connection, started, clock())
    except TimeoutError:
        failure = OpeningFailure(Reason.CONNECT_FAILED, f"no answer in {timeout_s:.2f} s")
    except ConnectionResetError as error:
        connections.refused_at = clock()
        failure = OpeningFailure(Reason.CONNECTION_REFUSED, repr(error))
    except (OSError, anyio.BrokenResourceError) as error:
        reason = Reason.OVERLOADED if is_of_this_node(error) else Reason.CONNECT_FAILED
        failure = OpeningFailure(reason, repr(error))
    else:
        return connection
    connection.close()
    return failure


def is_of_this_node(error: Exception) -> bool:
    """Whether a connection could not be opened for want of descriptors, whatever its peer does."""
    return isinstance(error, OSError) and error.errno in NO_DESCRIPTOR


async def _observe_after_refusal(
    connections: ServerConnectionPool, connection: ServerConnection, started: float, now: float
) -> None:
    """Observe a new connection for a moment if the server recently refused one.

    A server at its connection limit accepts a new connection and resets it immediately. A request already
    sent on it would count as possibly executed.
    """
    if now - connections.refused_at > OBSERVE_AFTER_REFUSAL_S:
        return
    await anyio.sleep(OBSERVATION_S + OBSERVATION_ROUND_TRIPS * (now - started))
    if not connection.is_open:
        raise ConnectionResetError("reset before its first use")
