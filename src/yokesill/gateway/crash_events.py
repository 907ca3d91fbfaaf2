"""Events and actions about requests under which servers ended; part of ``gateway.events``.

``fingerprint`` is that of the request (``requests.fingerprints``); ``trial`` says that no other server had
the request at that time. What the nodes exchange of it is in ``quarantine``.
"""

from typing import NamedTuple

from yokesill.quarantine.detector import Loss, QuarantineStatus

# --- events ---


class LossReported(NamedTuple):
    """Another node reported that a server ended under a request."""

    fingerprint: str
    loss: Loss


class AnswerReported(NamedTuple):
    """Another node reported that a server answered a request under which servers had ended."""

    fingerprint: str
    service: str
    trial: bool


class QuarantineStatusReceived(NamedTuple):
    """Another node found that a request is to be suspected or quarantined."""

    fingerprint: str
    status: QuarantineStatus


class RequestQuarantined(NamedTuple):
    """The registry records a request as quarantined."""

    fingerprint: str


class QuarantineLifted(NamedTuple):
    """The registry records a request no longer as quarantined."""

    fingerprint: str


class QuarantineReplaced(NamedTuple):
    """All requests that the registry records as quarantined, as of one moment."""

    fingerprints: frozenset[str]


# --- actions ---


class LossObserved(NamedTuple):
    """A server ended under a request: report it to the request's owners."""

    fingerprint: str
    loss: Loss


class AnswerObserved(NamedTuple):
    """A server answered a request under which servers had ended: report it to the request's owners."""

    fingerprint: str
    service: str
    trial: bool


class QuarantineStatusDecided(NamedTuple):
    """This node found that a request is to be suspected or quarantined: report it to all nodes."""

    fingerprint: str
    status: QuarantineStatus
