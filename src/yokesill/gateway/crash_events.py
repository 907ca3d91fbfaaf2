"""Events and actions about requests under which servers ended; part of ``gateway.events``."""

from typing import NamedTuple

from yokesill.quarantine.detector import Loss, QuarantineStatus

# --- events ---


class LossReported(NamedTuple):
    """Another node told that a server ended under a request."""

    fingerprint: str
    loss: Loss


class AnswerReported(NamedTuple):
    """Another node told that a server answered a request under which servers had ended."""

    fingerprint: str
    service: str
    trial: bool


class QuarantineStatusReceived(NamedTuple):
    """Another node found that a request is to be suspected or quarantined."""

    fingerprint: str
    status: QuarantineStatus


class RequestQuarantined(NamedTuple):
    """The registry records that a request is kept from servers."""

    fingerprint: str


class QuarantineLifted(NamedTuple):
    """A request was taken off that record."""

    fingerprint: str


class QuarantineReplaced(NamedTuple):
    """All requests on that record as of one moment."""

    fingerprints: frozenset[str]


# --- actions ---


class LossObserved(NamedTuple):
    """A server ended under a request: tell the nodes that judge it."""

    fingerprint: str
    loss: Loss


class AnswerObserved(NamedTuple):
    """A server answered a request under which servers had ended: tell the nodes that judge it."""

    fingerprint: str
    service: str
    trial: bool


class RequestJudged(NamedTuple):
    """This node found that a request is to be suspected or quarantined: tell all nodes."""

    fingerprint: str
    status: QuarantineStatus
