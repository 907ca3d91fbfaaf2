"""The events that the router takes and the actions that it returns."""

import enum
from dataclasses import dataclass
from typing import Any

from yokesill.resources.keys import ServiceName
from yokesill.routing.compiled import CompiledService
from yokesill.routing.messages import Attempt, Coverage, Partial, QueryRequest, ServerReport, Snapshot
from yokesill.verdict import Failure


class TimerKind(enum.IntEnum):
    """The kinds of timers of a query, one for each decision point."""

    HEDGE = 1
    RETRY = 2
    SOFT = 3
    HARD = 4


# --- events ---


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A caller's query was received."""

    query: QueryRequest


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """A server answered an attempt."""

    attempt_id: str
    partial: Partial
    report: ServerReport | None = None


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without an answer; the failure's verdict says whether it may have run."""

    attempt_id: str
    failure: Failure
    report: ServerReport | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the router set for a query has fired."""

    query_id: str
    kind: TimerKind


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller of a query disconnected."""

    query_id: str


@dataclass(frozen=True, slots=True)
class ServerObserved:
    """A health check ended, sent at ``asked_at`` (s); ``report`` is ``None`` if the server did not answer."""

    address: str
    report: ServerReport | None
    asked_at: float


@dataclass(frozen=True, slots=True)
class ServerLeaving:
    """The machine list or a peer reported that a server is leaving.

    An empty ``incarnation`` stands for the server's current incarnation.
    """

    address: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ServiceInstalled:
    """A service's configuration is new or has changed; it is applied as a whole."""

    service: CompiledService


@dataclass(frozen=True, slots=True)
class ServiceRemoved:
    """A service was deleted."""

    name: ServiceName


Event = (
    QueryArrived
    | AttemptAnswered
    | AttemptFailed
    | TimerFired
    | CallerLeft
    | ServerObserved
    | ServerLeaving
    | ServiceInstalled
    | ServiceRemoved
)


# --- actions ---


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a sub-request."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel a sub-request; an answer that still arrives is dropped."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send ``TimerFired`` to the router at ``at_s`` (seconds); timers of ended queries are ignored."""

    query_id: str
    kind: TimerKind
    at_s: float


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer of a query; all of its results come from ``snapshot``."""

    query_id: str
    snapshot: Snapshot
    coverage: Coverage
    results: list[Any]


@dataclass(frozen=True, slots=True)
class Refuse:
    """The final refusal of a query."""

    query_id: str
    failure: Failure
    coverage: Coverage | None = None


@dataclass(frozen=True, slots=True)
class AnnounceLeaving:
    """Tell the other nodes at once that a server is leaving, as its own reply said."""

    address: str
    incarnation: str


Action = SendAttempt | CancelAttempt | SetTimer | Answer | Refuse | AnnounceLeaving
