"""Typed events into the gateway's router and typed actions out of it.

Values only. Whatever drives a router feeds events in the order in which they happen and carries the actions
out in theirs (``serving.driver``). Moments are in seconds of the node's clock.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from yokesill.gateway.crash_events import (
    AnswerObserved as AnswerObserved,
    AnswerReported as AnswerReported,
    LossObserved as LossObserved,
    LossReported as LossReported,
    QuarantineLifted as QuarantineLifted,
    QuarantineReplaced as QuarantineReplaced,
    QuarantineStatusDecided as QuarantineStatusDecided,
    QuarantineStatusReceived as QuarantineStatusReceived,
    RequestQuarantined as RequestQuarantined,
)
from yokesill.gateway.documents import Configuration, ServerRecord
from yokesill.gateway.messages import Attempt, GatewayRequest, RequestSummary, ServerReply
from yokesill.rollouts.messages import RolloutDecisions
from yokesill.rollouts.orders import RolloutOrder
from yokesill.verdict import Failure


class TimerKind(enum.IntEnum):
    """The decision points of a request; ``PACING`` is a service's, whose name is the timer's key."""

    HEDGE = 1
    OBJECTIVE = 2
    DEADLINE = 3
    PACING = 4


# --- events: requests and their attempts ---


class RequestArrived(NamedTuple):
    """A caller's request was read whole."""

    request: GatewayRequest


class AttemptAnswered(NamedTuple):
    """A server's whole answer came in.

    ``connected_in_s`` is how long connecting took (s), if it did; ``sent_at_s`` when the request went
    out to the server, in seconds of the node's clock, if that was later than the decision.
    """

    number: int
    reply: ServerReply
    connected_in_s: float | None = None
    sent_at_s: float | None = None


class AttemptFailed(NamedTuple):
    """An attempt ended without a usable answer; the verdict says whether it may have run."""

    number: int
    failure: Failure


class ConnectionsChanged(NamedTuple):
    """How many connections this node now holds open to a server, in use or idle."""

    instance: str
    open_connections: int


class TimerFired(NamedTuple):
    """A timer that the router set is due."""

    key: str
    kind: TimerKind


class CallerLeft(NamedTuple):
    """The caller went away before its answer."""

    key: str


# --- events: state updates from the registry and from other nodes ---


class ConfigurationReceived(NamedTuple):
    """A version of the configuration was read from any source; older ones are ignored."""

    configuration: Configuration


class ServerListed(NamedTuple):
    """A server's entry is new or has changed."""

    record: ServerRecord


class ServerRemoved(NamedTuple):
    """A server's entry is gone: no new work for it."""

    instance: str


class ServersReplaced(NamedTuple):
    """All servers as of one moment."""

    records: tuple[ServerRecord, ...]


class ServersRestored(NamedTuple):
    """All servers of a registry that came back from an older copy: some entries may be older than known."""

    records: tuple[ServerRecord, ...]


class ZoneEvacuated(NamedTuple):
    """Operators evacuate a zone: nothing new goes to its servers."""

    zone: str


class ZoneReopened(NamedTuple):
    """A zone's evacuation was taken back."""

    zone: str


class EvacuationsReplaced(NamedTuple):
    """All zones that are evacuated as of one moment."""

    zones: frozenset[str]


class RolloutOrdered(NamedTuple):
    """A roll-out's order is new, or its record has changed."""

    order: RolloutOrder


class RolloutWithdrawn(NamedTuple):
    """A service's order is gone."""

    service: str


class RolloutsReplaced(NamedTuple):
    """All orders as of one moment."""

    orders: tuple[RolloutOrder, ...]


class RolloutDecisionsReceived(NamedTuple):
    """A decider sent its decisions on some orders."""

    decisions: RolloutDecisions


class VersionsEstablished(NamedTuple):
    """Another node sent which versions of each service served before any order that still stands."""

    versions: Mapping[str, tuple[str, ...]]


class ServerSuspected(NamedTuple):
    """The nodes together found that a server is slow or failing; avoid it for ``for_s`` seconds."""

    instance: str
    for_s: float


class NodeCountUpdated(NamedTuple):
    """How many nodes share the budgets and the servers' connections."""

    nodes: int


class NodesUpdated(NamedTuple):
    """All live nodes, and those of them that are coordinators: they gather wide requests for their zone."""

    names: frozenset[str]
    coordinators: frozenset[str] = frozenset()


Event = (
    RequestArrived
    | AttemptAnswered
    | AttemptFailed
    | ConnectionsChanged
    | TimerFired
    | CallerLeft
    | ConfigurationReceived
    | ServerListed
    | ServerRemoved
    | ServersReplaced
    | ServersRestored
    | ZoneEvacuated
    | ZoneReopened
    | EvacuationsReplaced
    | RolloutOrdered
    | RolloutWithdrawn
    | RolloutsReplaced
    | RolloutDecisionsReceived
    | VersionsEstablished
    | ServerSuspected
    | LossReported
    | AnswerReported
    | QuarantineStatusReceived
    | RequestQuarantined
    | QuarantineLifted
    | QuarantineReplaced
    | NodeCountUpdated
    | NodesUpdated
)


# --- actions ---


class SendAttempt(NamedTuple):
    """Send the request to the attempt's server."""

    attempt: Attempt


class CancelAttempt(NamedTuple):
    """Cancel an attempt; whatever it still brings is ignored."""

    number: int


class SetTimer(NamedTuple):
    """Feed ``TimerFired`` back at ``at_s`` (seconds); timers of ended requests are ignored."""

    key: str
    kind: TimerKind
    at_s: float


class PassOn(NamedTuple):
    """The final answer: one server's, unchanged."""

    key: str
    reply: ServerReply
    summary: RequestSummary


class Gathered(NamedTuple):
    """The final answer: the greatest records of the shard replies that came, greatest first."""

    key: str
    records: bytes
    signatures: tuple[bytes, ...]
    missing: int
    summary: RequestSummary


class Refuse(NamedTuple):
    """The final refusal, with its verdict and Retry-After."""

    key: str
    failure: Failure
    summary: RequestSummary | None = None


class ForgetServer(NamedTuple):
    """A server is long gone: drop what is kept for it."""

    instance: str


class ServerObserved(NamedTuple):
    """A server was late, failed, or has been silent for long: report it to the other nodes.

    ``good_answers`` came from it in the last second or so and were not reported yet.
    """

    instance: str
    good_answers: int


class LogEvent(NamedTuple):
    """A decision worth a line in the log: its name and its inputs."""

    name: str
    details: dict[str, object]


Action = (
    SendAttempt
    | CancelAttempt
    | SetTimer
    | PassOn
    | Gathered
    | Refuse
    | ForgetServer
    | ServerObserved
    | LossObserved
    | AnswerObserved
    | QuarantineStatusDecided
    | LogEvent
)
FinalAnswer = PassOn | Gathered | Refuse
