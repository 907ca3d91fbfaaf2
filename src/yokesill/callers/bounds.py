"""What a listener allows its connections, and what they share.

Owns the values; ``request_reader`` and ``protocol`` keep to them. Operators set the timeouts and the size of
a head in their configuration, the rest follows from the limits in a node's settings.
"""

import math
from dataclasses import dataclass, field

import uvicorn

from yokesill.callers.closings import ReportClosed, ignore_closed
from yokesill.callers.lingering import LingeringConnections
from yokesill.callers.memory import CallerMemory
from yokesill.callers.places import ConnectionPlaces
from yokesill.callers.work_turns import WorkTurns

# Defaults until the first configuration: the time to receive a request's head, the time that a connection may
# stay idle, and the size of a head.
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
DEFAULT_HEADER_BYTES = 128 * 1024
DEFAULT_MAX_CONNECTIONS = 500
# Connections above the number of places, so that new callers' requests can be read, if only to refuse them: a
# share of all, and not more than this.
MAX_EXTRA_CONNECTIONS, EXTRA_CONNECTIONS_SHARE = 64, 0.25
# Bytes that are read from a connection at once.
READ_BYTES = 16 * 1024
# Bounds of what the system holds of a connection, unread or unsent: below, large answers stall; above, more
# gains nothing.
MIN_KERNEL_BUFFER_BYTES, MAX_KERNEL_BUFFER_BYTES = 16 * 1024, 128 * 1024


@dataclass(slots=True)
class ListenerBounds:
    """Bounds of each connection of a listener and of all together; times are in seconds.

    ``kernel_bytes`` bounds what the system holds for all connections in one direction, if it is given.
    """

    max_connections: int = DEFAULT_MAX_CONNECTIONS
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S
    header_bytes: int = DEFAULT_HEADER_BYTES
    kernel_bytes: int | None = None

    @property
    def places(self) -> int:
        """How many connections may run requests at a time; the others of ``max_connections`` are refused."""
        extra = math.ceil(EXTRA_CONNECTIONS_SHARE * self.max_connections)
        return max(1, self.max_connections - min(MAX_EXTRA_CONNECTIONS, extra))

    @property
    def kernel_buffer_bytes(self) -> int | None:
        """What the system may hold of one connection in one direction; ``None`` leaves it to the system."""
        if self.kernel_bytes is None:
            return None
        share = self.kernel_bytes // self.max_connections
        return max(MIN_KERNEL_BUFFER_BYTES, min(MAX_KERNEL_BUFFER_BYTES, share))


@dataclass(slots=True)
class ListenerShares:
    """What the connections of a listener share; ``memory`` also with other listeners."""

    bounds: ListenerBounds
    memory: CallerMemory
    report_closed: ReportClosed = ignore_closed
    places: ConnectionPlaces = field(default_factory=ConnectionPlaces)
    turns: WorkTurns = field(default_factory=WorkTurns)
    lingering: LingeringConnections = field(default_factory=LingeringConnections)
    # One buffer for all, since what is read is taken out of it at once.
    read_buffer: bytearray = field(default_factory=lambda: bytearray(READ_BYTES))


class BoundedConfig(uvicorn.Config):
    """uvicorn's configuration with what the connections share."""

    shares: ListenerShares
