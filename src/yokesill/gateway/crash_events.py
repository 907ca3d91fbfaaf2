"""Events and actions about requests during which servers were lost; part of ``gateway.events``.

``fingerprint`` identifies the request (``requests.fingerprints``); ``trial`` says that no other server had
the request at that time. The messages that nodes exchange about such requests are in ``quarantine``.
"""

from typing import NamedTuple

from yokesill.quarantine.detector import Loss, QuarantineStatus

# --- events ---


class LossReported(NamedTuple):
    """Another node reported that a server was lost while it had a request."""

    fingerprint: str
    loss: Loss


class AnswerReported(NamedTuple):
    """Another node reported that a server answered a request during which servers had been lost."""

    fingerprint: str
    service: str
    trial: bool


class QuarantineStatusReceived(NamedTuple):
    """Another node decided that a request is suspected or quarantined."""

    fingerprint: str
    status: QuarantineStatus


class RequestQuarantined(NamedTuple):
    """The registry records a request as quarantined."""

    fingerprint: str


class QuarantineLifted(NamedTuple):
    """The registry no longer records a request as quarantined."""

    fingerprint: str


class QuarantineReplaced(NamedTuple):
    """All requests that the registry records as quarantined, as of one moment."""

    fingerprints: frozenset[str]


# --- actions ---


class LossObserved(NamedTuple):
    """A server was lost while it had a request: report it to the request's owners."""

    fingerprint: str
    loss: Loss


class AnswerObserved(NamedTuple):
    """A server answered a request during which servers had been lost: report it to its owners."""

    fingerprint: str
    service: str
    trial: bool


class QuarantineStatusDecided(NamedTuple):
    """This node decided that a request is suspected or quarantined: report it to all nodes."""

    fingerprint: str
    status: QuarantineStatus
