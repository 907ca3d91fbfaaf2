"""Verdicts and failures: whether a request without an answer may have been executed.

A verdict states whether a request may have run on a back end. Verdicts form a lattice
``NOT_RUN < MAY_HAVE_RUN < RAN``; the verdict of a whole request is the join (maximum) of the
verdicts of its attempts. Failures are values, not exceptions; each has a ``Reason``.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple


class Verdict(enum.IntEnum):
    """Whether a request may have run on any back end; ordered, and joined by maximum."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2

    @property
    def label(self) -> str:
        """The verdict's name on the wire: ``not_run``, ``may_have_run`` or ``ran``."""
        return self.name.lower()


def join(verdicts: Iterable[Verdict]) -> Verdict:
    """Return the maximum of ``verdicts``; ``NOT_RUN`` if there are none."""
    return max(verdicts, default=Verdict.NOT_RUN)


class Reason(enum.StrEnum):
    """Why a request or an attempt failed."""

    # Attempts: failures of one back end or of the connection to it.
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    # The server reset a new connection at once, because it has reached its limit of connections.
    CONNECTION_REFUSED = "connection_refused"
    # The server had dropped an idle connection.
    CONNECTION_FORGOTTEN = "connection_forgotten"
    TIMED_OUT = "timed_out"
    # The server left while the attempt waited on this node for a connection; nothing was sent.
    SERVER_LEFT = "server_left"
    SHED = "shed"
    BACKEND_LEAVING = "backend_leaving"
    SNAPSHOT_UNAVAILABLE = "snapshot_unavailable"
    MALFORMED_REPLY = "malformed_reply"
    REPLY_TOO_LARGE = "reply_too_large"
    FOREIGN_REPLY = "foreign_reply"
    BACKEND_ERROR = "backend_error"
    CANCELLED = "cancelled"
    # This node has as many connections open as it may, or no descriptor left.
    CONNECTION_LIMIT = "connection_limit"
    # Requests: why the whole request failed.
    OVERLOADED = "overloaded"
    POLICY_REFUSED = "policy_refused"
    NO_SNAPSHOT = "no_snapshot"
    NO_REPLICA = "no_replica"
    # Servers are listed, but each is ejected, or cold and at its limit.
    REPLICAS_EJECTED = "replicas_ejected"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    COVERAGE_TOO_LOW = "coverage_too_low"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    NOT_READY = "not_ready"
    # This node is about to end, and too little time is left for the request.
    STOPPING = "stopping"
    ISOLATED = "isolated"
    OWNER_UNREACHABLE = "owner_unreachable"
    DUPLICATE_IN_DOUBT = "duplicate_in_doubt"
    KEY_REUSED = "key_reused"
    # Servers crashed while they ran this request, so it is no longer sent to any.
    QUARANTINED = "quarantined"


class Failure(NamedTuple):
    """A failed attempt or a refused request.

    ``retry_after_ms`` is the time after which the caller may retry, in milliseconds from now.
    """

    reason: Reason
    verdict: Verdict
    detail: str = ""
    retry_after_ms: int = 0
