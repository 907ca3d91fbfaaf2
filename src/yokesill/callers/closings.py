"""Why the node closes connections of callers: their states, the reasons, and what is reported of each."""

import enum
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from yokesill.logs import Logger

# Bounds what a crowd writes into the log: lines in each interval; the next line says how many were left out.
MAX_LINES, LINES_INTERVAL_S = 10, 1.0


class ConnectionState(enum.Enum):
    """What a connection is in at any moment; exactly one holds."""

    IDLE = "idle"
    READING_HEAD = "reading_head"
    READING_BODY = "reading_body"
    RUNNING = "running"
    ANSWERING = "answering"


class CloseReason(enum.Enum):
    """Why the node, not the caller, closes a connection."""

    IDLE = "idle_timeout"
    HEAD_TIMEOUT = "head_timeout"
    BODY_STALLED = "body_stalled"
    ANSWER_STALLED = "answer_stalled"
    HEAD_TOO_LARGE = "head_too_large"
    MALFORMED = "malformed"
    CONNECTIONS = "too_many_connections"
    MEMORY = "memory"
    STOPPING = "stopping"


class ClosedConnection(NamedTuple):
    """A connection that the node closes, with the bytes that it held and the seconds in its state."""

    reason: CloseReason
    state: ConnectionState
    held_bytes: int
    state_s: float


ReportClosed = Callable[[ClosedConnection], None]


def ignore_closed(_closed: ClosedConnection) -> None:
    """Report nothing."""


class ClosingReporter:
    """Counts closed connections by reason, and logs some of each second's.

    Connections that end by the idle timeout are the usual case, and only counted.
    """

    __slots__ = ("_clock", "_counts", "_interval_start_s", "_lines", "_log", "_omitted")

    def __init__(self, log: Logger, counts: Counter[str], clock: Callable[[], float]) -> None:
        self._log = log
        self._counts = counts
        self._clock = clock
        self._interval_start_s = 0.0
        self._lines = 0
        self._omitted = 0

    def __call__(self, closed: ClosedConnection) -> None:
        """Count a connection that the node closes, and log it unless too many are logged."""
        self._counts[closed.reason.value] += 1
        if closed.reason is CloseReason.IDLE:
            return
        now_s = self._clock()
        if now_s - self._interval_start_s >= LINES_INTERVAL_S:
            self._interval_start_s = now_s
            self._lines = 0
        if self._lines >= MAX_LINES:
            self._omitted += 1
            return
        self._lines += 1
        self._log.warning(
            "connection_closed",
            reason=closed.reason.value,
            state=closed.state.value,
            held_bytes=closed.held_bytes,
            state_ms=round(closed.state_s * 1000),
            omitted=self._omitted,
        )
        self._omitted = 0
