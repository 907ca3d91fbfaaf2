"""Typed events for the gateway's router and the typed actions that it returns.

Values only. The driver of a router feeds events in the order in which they happen and carries out the actions
in the order in which they are returned (``serving.driver``). Points in time are in seconds of the node's
clock.
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
from yokesill.rollouts.version_record import Recorded
from yokesill.verdict import Failure


class TimerKind(enum.IntEnum):
    """The timers of a request; ``PACING`` belongs to a service, whose name is the timer's key."""

    HEDGE = 1
    OBJECTIVE = 2
    DEADLINE = 3
    PACING = 4


# --- events: requests and their attempts ---


class RequestArrived(NamedTuple):
    """A caller's request was read completely."""

    request: GatewayRequest


class AttemptAnswered(NamedTuple):
    """A server's complete answer arrived.

    ``connected_in_s`` is how long opening a connection took, in seconds, if one was opened. ``sent_at_s`` is
    when the request was sent to the server, in seconds of the node's clock, if that was later than the
    decision.
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
    """The number of connections that this node holds open to a server changed, in use or idle."""

    instance: str
    open_connections: int


class TimerFired(NamedTuple):
    """A timer that the router set has expired."""

    key: str
    kind: TimerKind


class CallerLeft(NamedTuple):
    """The caller disconnected before its answer."""

    key: str


class StopPlanned(NamedTuple):
    """This node ends soon: every request must have its final answer by ``answers_by_s``, in its clock."""

    answers_by_s: float


# --- events: state updates from the registry and from other nodes ---


class ConfigurationReceived(NamedTuple):
    """A version of the configuration arrived from any source; versions that aren't newer are ignored."""

    configuration: Configuration


class ServerListed(NamedTuple):
    """A server's entry is new or has changed."""

    record: ServerRecord


class ServerRemoved(NamedTuple):
    """A server's entry is gone: it gets no new requests."""

    instance: str


class ServersReplaced(NamedTuple):
    """All servers at one point in time."""

    records: tuple[ServerRecord, ...]


class ServersRestored(NamedTuple):
    """All servers of a registry restored from an older copy; entries may be older than what is known."""

    records: tuple[ServerRecord, ...]


class ZoneEvacuated(NamedTuple):
    """Operators evacuate a zone: its servers get no new requests."""

    zone: str


class ZoneReopened(NamedTuple):
    """A zone's evacuation was revoked."""

    zone: str


class ReopenedServersKnown(NamedTuple):
    """The servers of all reopened zones are known as of the reopening."""


class EvacuationsReplaced(NamedTuple):
    """All evacuated zones at one point in time."""

    zones: frozenset[str]


class RolloutOrdered(NamedTuple):
    """A roll-out order is new, or its record has changed."""

    order: RolloutOrder


class RolloutWithdrawn(NamedTuple):
    """The roll-out order of a service was removed."""

    service: str


class RolloutsReplaced(NamedTuple):
    """All roll-out orders at one point in time."""

    orders: tuple[RolloutOrder, ...]


class RolloutDecisionsReceived(NamedTuple):
    """A decider sent its decisions on some roll-out orders."""

    decisions: RolloutDecisions


class VersionsEstablished(NamedTuple):
    """Another node sent the versions of each service that were in service before any current order."""

    versions: Mapping[str, tuple[str, ...]]


class VersionsRecorded(NamedTuple):
    """The registry's record of the versions of each service that serve without an order."""

    services: Recorded


class ServerSuspected(NamedTuple):
    """The nodes together detected that a server is slow or failing; avoid it for ``for_s`` seconds."""

    instance: str
    for_s: float


class NodeCountUpdated(NamedTuple):
    """The number of nodes that share the budgets and the servers' connections."""

    nodes: int


class NodesUpdated(NamedTuple):
    """All live nodes, and the coordinators among them, which gather wide requests for their zone."""

    names: frozenset[str]
    coordinators: frozenset[str] = frozenset()


Event = (
    RequestArrived
    | AttemptAnswered
    | AttemptFailed
    | ConnectionsChanged
    | TimerFired
    | CallerLeft
    | StopPlanned
    | ConfigurationReceived
    | ServerListed
    | ServerRemoved
    | ServersReplaced
    | ServersRestored
    | ZoneEvacuated
    | ZoneReopened
    | EvacuationsReplaced
    | ReopenedServersKnown
    | RolloutOrdered
    | RolloutWithdrawn
    | RolloutsReplaced
    | RolloutDecisionsReceived
    | VersionsEstablished
    | VersionsRecorded
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
    """Cancel an attempt; its outcome is ignored."""

    number: int


class SetTimer(NamedTuple):
    """Feed ``TimerFired`` back at ``at_s`` (seconds); timers of finished requests are ignored."""

    key: str
    kind: TimerKind
    at_s: float


class PassOn(NamedTuple):
    """The final answer: one server's answer, unchanged."""

    key: str
    reply: ServerReply
    summary: RequestSummary


class Gathered(NamedTuple):
    """The final answer: the highest records of the shard replies that arrived, in descending order."""

    key: str
    records: bytes
    signatures: tuple[bytes, ...]
    missing: int
    summary: RequestSummary


class Refuse(NamedTuple):
    """The final answer: a refusal, with its verdict and Retry-After."""

    key: str
    failure: Failure
    summary: RequestSummary | None = None


class ForgetServer(NamedTuple):
    """A server was removed long ago: drop all state that is kept for it."""

    instance: str


class ServerObserved(NamedTuple):
    """A server was late, failed, or has been silent for too long: report it to the other nodes.

    ``good_answers`` is the number of its good answers in about the last second that were not reported yet.
    """

    instance: str
    good_answers: int


class LogEvent(NamedTuple):
    """A decision to log: its name and its inputs."""

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
