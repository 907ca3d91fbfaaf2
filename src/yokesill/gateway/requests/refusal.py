"""Why a request or one of its attempts is refused, and when its caller may come back.

Every refusal that the gateway itself decides is made here, with its reason, its verdict and its
Retry-After:

- no configuration yet: 300 ms;
- no route: no Retry-After, since coming back doesn't help;
- a request that is quarantined: 60 s;
- a request that never ran (``Verdict.NOT_RUN``): the moment at which enough of its services have a server
  again, if that is known and the caller still waits then; otherwise 100 ms;
- a request that ran or may have run: 250 ms.

The failures of single calls have no Retry-After: only the refusal of the whole request names one.

Most refusals end when something known ends: the ejections of the servers in the way, the moment that a full
server named. A caller sent back earlier is refused twice, one sent back later waits for nothing.
"""

import random
from collections.abc import Iterable

from yokesill.verdict import Failure, Reason, Verdict

# Until a node that has just started has read a configuration.
NOT_READY_RETRY_AFTER_MS = 300
# Where it is unknown when servers are back.
SHED_RETRY_AFTER_MS = 100
# After a failure servers may have worked for nothing, so longer than after a refusal that cost none of them
# anything.
FAILED_RETRY_AFTER_MS = 250
# Nothing is gained by coming back before somebody has looked at the request or at the servers' software.
QUARANTINED_RETRY_AFTER_MS = 60_000
# Callers that were refused in the same moment are spread over a quarter of the time named, for servers that
# were silent to answer some of them before the next.
SPREAD_SHARE = 0.25


# --- before anything is sent ---


def not_ready() -> Failure:
    """Return the refusal of a node without a configuration."""
    return Failure(Reason.NOT_READY, Verdict.NOT_RUN, "no configuration yet", NOT_READY_RETRY_AFTER_MS)


def unknown_service(host: str, path: str, version: int) -> Failure:
    """Return the refusal of a request that no route of the configuration matches."""
    detail = f"no route for {host}{path} in version {version}"
    return Failure(Reason.UNKNOWN_SERVICE, Verdict.NOT_RUN, detail)


def quarantined(fingerprint: str, verdict: Verdict) -> Failure:
    """Return the refusal of a request that crashes servers; ``verdict`` says whether it may have run."""
    detail = f"servers ended under it: {fingerprint}"
    return Failure(Reason.QUARANTINED, verdict, detail, QUARANTINED_RETRY_AFTER_MS)


# --- one service's call ---


def tried_elsewhere(verdict: Verdict) -> Failure:
    """Return why nothing is sent: the node that had this request before may have used all attempts."""
    return Failure(Reason.CONNECTION_LOST, verdict, "another node asked, and was lost")


def no_time_left() -> Failure:
    """Return why nothing is sent: the deadline is too near."""
    return Failure(Reason.DEADLINE_EXCEEDED, Verdict.NOT_RUN, "no time was left on arrival")


def no_server(service: str, listed: bool) -> Failure:
    """Return why nothing is sent: no server is ``listed``, or those that are can't be sent anything now."""
    reason = Reason.REPLICAS_EJECTED if listed else Reason.NO_REPLICA
    return Failure(reason, Verdict.NOT_RUN, f"no server of {service} can be asked")


def server_failed() -> Failure:
    """Return the failure of a call whose servers answered failures only."""
    return Failure(Reason.BACKEND_ERROR, Verdict.RAN, "the server answered a failure")


def timed_out(verdict: Verdict) -> Failure:
    """Return the failure of a call without an answer at the deadline."""
    return Failure(Reason.TIMED_OUT, verdict, "no answer in time")


# --- the whole request ---


def request_refused(failures: list[Failure], verdict: Verdict, retry_after_ms: int) -> Failure:
    """Return the refusal of a request whose calls ended with ``failures``.

    Its reason is the one that all of them share; if some services have no server at all, that one.
    """
    reasons = {each.reason for each in failures}
    if Reason.NO_REPLICA in reasons:
        failures = [each for each in failures if each.reason is Reason.NO_REPLICA]
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
    """Return after how long the caller of a request that never ran may come back, in milliseconds.

    Parameters
    ----------
    available_at_s
        For each service of the request, when one of its servers takes attempts again, in seconds of the
        node's clock; infinite where that is unknown.
    required
        How many of the services an answer needs.
    now
        The node's clock, in seconds.
    deadline_at_s
        When the caller will have given up; a later time is of no use to it.
    random_source
        Spreads callers.
    """
    times = sorted(available_at_s)
    at_s = times[required - 1] if required <= len(times) else float("inf")
    if not now < at_s < deadline_at_s:
        return SHED_RETRY_AFTER_MS
    return round((at_s - now) * (1.0 + SPREAD_SHARE * random_source.random()) * 1000)
