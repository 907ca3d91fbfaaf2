"""Builds the refusals of requests and the failures of single calls.

Every refusal that the gateway itself decides is built here, with its reason, its verdict and its
Retry-After:

- no configuration yet: 300 ms;
- no matching route: no Retry-After, since retrying does not help;
- a node that is about to end: 100 ms, at another node;
- a quarantined request: 60 s;
- a request that did not run (``Verdict.NOT_RUN``): the time until enough of its services have an available
  server again, if that is known and before the caller's deadline; otherwise 100 ms;
- a request that ran or may have run: 250 ms.

The failures of single calls have no Retry-After; only the refusal of the whole request has one.

The cause of most refusals ends at a known time: when the ejections of the servers end, or at the time given
by a server without capacity. A caller that retries earlier is refused again; one that retries later waits
longer than necessary.
"""

import random
from collections.abc import Iterable

from yokesill.verdict import Failure, Reason, Verdict

# Used until a node that has just started has read a configuration.
NOT_READY_RETRY_AFTER_MS = 300
# Used if it is unknown when servers become available.
SHED_RETRY_AFTER_MS = 100
# Longer than after a refusal that used no server capacity, since servers may have worked in vain.
FAILED_RETRY_AFTER_MS = 250
# Retrying is useless until an operator has examined the request or the servers' software.
QUARANTINED_RETRY_AFTER_MS = 60_000
# Adds up to this fraction of the Retry-After, so that callers that were refused at the same time do not all
# return at once and servers that were unresponsive can answer some of them before the next arrive.
RETRY_AFTER_JITTER = 0.25


# --- before anything is sent ---


def not_ready() -> Failure:
    """Return the refusal for a node that has no configuration yet."""
    return Failure(Reason.NOT_READY, Verdict.NOT_RUN, "no configuration yet", NOT_READY_RETRY_AFTER_MS)


def unknown_service(host: str, path: str, version: int) -> Failure:
    """Return the refusal for a request that matches no route of the configuration."""
    detail = f"no route for {host}{path} in version {version}"
    return Failure(Reason.UNKNOWN_SERVICE, Verdict.NOT_RUN, detail)


def quarantined(fingerprint: str, verdict: Verdict) -> Failure:
    """Return the refusal for a request that crashes servers; ``verdict`` states whether it may have run."""
    detail = f"servers ended under it: {fingerprint}"
    return Failure(Reason.QUARANTINED, verdict, detail, QUARANTINED_RETRY_AFTER_MS)


def stopping(verdict: Verdict) -> Failure:
    """Return the refusal of a node that ends too soon; ``verdict`` states whether it may have run."""
    return Failure(Reason.STOPPING, verdict, "this node is about to end", SHED_RETRY_AFTER_MS)


# --- one service's call ---


def tried_elsewhere(verdict: Verdict) -> Failure:
    """Return the failure of a call whose attempts may all have been used by another node."""
    return Failure(Reason.CONNECTION_LOST, verdict, "another node asked, and was lost")


def no_time_left() -> Failure:
    """Return the failure of a call that is not sent because the deadline is too close."""
    return Failure(Reason.DEADLINE_EXCEEDED, Verdict.NOT_RUN, "no time was left on arrival")


def no_server(service: str, listed: bool) -> Failure:
    """Return the failure of a call for which no server is ``listed`` or none of those listed is available."""
    reason = Reason.REPLICAS_EJECTED if listed else Reason.NO_REPLICA
    return Failure(reason, Verdict.NOT_RUN, f"no server of {service} can be asked")


def server_failed() -> Failure:
    """Return the failure of a call whose servers returned only error responses."""
    return Failure(Reason.BACKEND_ERROR, Verdict.RAN, "the server answered a failure")


def timed_out(verdict: Verdict) -> Failure:
    """Return the failure of a call that has no answer at the deadline."""
    return Failure(Reason.TIMED_OUT, verdict, "no answer in time")


# --- the whole request ---


def status_withheld(status: int) -> Failure:
    """Return the refusal in place of a server's answer whose ``status`` promises that it did not run."""
    detail = f"the server ran it and answered {status}"
    return Failure(Reason.BACKEND_ERROR, Verdict.RAN, detail, FAILED_RETRY_AFTER_MS)


def unwritable_answer(status: int) -> Failure:
    """Return the refusal in place of a server's answer that is none of HTTP/1.1."""
    detail = f"the server's answer can't be written, status {status}"
    return Failure(Reason.MALFORMED_REPLY, Verdict.RAN, detail, FAILED_RETRY_AFTER_MS)


def request_refused(failures: list[Failure], verdict: Verdict, retry_after_ms: int) -> Failure:
    """Return the refusal for a request whose calls ended with ``failures``.

    Its reason is ``NO_REPLICA`` if some service has no server at all, otherwise the reason that all failures
    have in common, or ``COVERAGE_TOO_LOW`` if they differ.
    """
    reasons = {failure.reason for failure in failures}
    if Reason.NO_REPLICA in reasons:
        failures = [failure for failure in failures if failure.reason is Reason.NO_REPLICA]
        reasons = {Reason.NO_REPLICA}
    reason = reasons.pop() if len(reasons) == 1 else Reason.COVERAGE_TOO_LOW
    detail = failures[0].detail if failures else "too few parts"
    return Failure(reason, verdict, detail, retry_after_ms)


def retry_after_ms(
    available_at_s: Iterable[float],
    required: int,
    now: float,
    deadline_at_s: float,
    random_source: random.Random,
) -> int:
    """Return the Retry-After of a request that did not run, in milliseconds.

    Parameters
    ----------
    available_at_s
        For each service of the request, when one of its servers becomes available, in seconds of the node's
        clock; infinite if that is unknown.
    required
        The number of services that an answer needs.
    now
        The node's clock, in seconds.
    deadline_at_s
        When the caller gives up, in seconds of the node's clock; a later time is of no use to it.
    random_source
        Source of the jitter that spreads callers.
    """
    times = sorted(available_at_s)
    at_s = times[required - 1] if required <= len(times) else float("inf")
    if not now < at_s < deadline_at_s:
        return SHED_RETRY_AFTER_MS
    return round((at_s - now) * (1.0 + RETRY_AFTER_JITTER * random_source.random()) * 1000)
