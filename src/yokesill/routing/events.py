"""Typed events into the router and typed actions out of it."""

import enum
from dataclasses import dataclass
from typing import Any

from yokesill.resources.keys import ServiceName
from yokesill.routing.compiled import CompiledService
from yokesill.routing.messages import Attempt, Coverage, Partial, QueryRequest, ServerReport, Snapshot
from yokesill.verdict import Failure


class TimerKind(enum.IntEnum):
    """The decision points of a query."""

    HEDGE = 1
    RETRY = 2
    SOFT = 3
    HARD = 4


# --- events ---


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A caller's query was read."""

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
    """A timer that the router set for a query is due."""

    query_id: str
    kind: TimerKind


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller of a query went away."""

    query_id: str


@dataclass(frozen=True, slots=True)
class ServerObserved:
    """A health check, sent at ``asked_at`` (s), ended; ``report`` is ``None`` without an answer."""

    address: str
    report: ServerReport | None
    asked_at: float


@dataclass(frozen=True, slots=True)
class ServerLeaving:
    """A server was learnt to be leaving, from the machine list or from a peer.

    An empty ``incarnation`` stands for whichever incarnation the server has now.
    """

    address: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ServiceInstalled:
    """A service's configuration is new or has changed; takes hold as a whole."""

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
    """Cancel a sub-request; whatever it still brings is dropped."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Feed ``TimerFired`` back at ``at_s`` (seconds); late timers of ended queries are ignored."""

    query_id: str
    kind: TimerKind
    at_s: float


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer of a query, drawn from ``snapshot`` alone."""

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
    """A server's own reply said that it is leaving: tell the other nodes at once."""

    address: str
    incarnation: str


Action = SendAttempt | CancelAttempt | SetTimer | Answer | Refuse | AnnounceLeaving
