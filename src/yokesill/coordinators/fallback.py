"""Whether a coordinator's refusal tells of its own view rather than of the servers.

A coordinator whose list of servers has a hole refuses what its neighbours could serve. Its refusal is
passed on only where theirs would be the same: when servers failed or are ejected, where it knows more than
a node that meets few wide requests.
"""

from yokesill.callers.answers import BAD_GATEWAY, UNAVAILABLE, HttpAnswer
from yokesill.gateway.documents import Route
from yokesill.verdict import Reason, Verdict

# It knows no server of a service, or no configuration. What it sent somewhere it has counted towards the
# budget of extra attempts, so that another node must not count it once more as new.
OWN_VIEW = frozenset({Reason.NO_REPLICA.value, Reason.NOT_READY.value})
# Gathering anew takes about half of the aim; with less time left than that the refusal stands.
LEAST_TIME_SHARE = 0.5


def should_retry_elsewhere(answer: HttpAnswer, route: Route, left_s: float) -> Verdict | None:
    """Return whether a refused request may have run, if another node should try it; else ``None``.

    Parameters
    ----------
    answer
        The coordinator's final answer.
    route
        The request's route.
    left_s
        How long its caller still waits, in seconds.
    """
    if left_s < LEAST_TIME_SHARE * route.objective_s:
        return None
    if answer.status == UNAVAILABLE and answer.outcome in OWN_VIEW:
        return Verdict.NOT_RUN
    may_repeat = route.repeatable and route.max_attempts > 1
    if answer.status == BAD_GATEWAY and answer.outcome == Reason.NO_REPLICA.value and may_repeat:
        return Verdict.MAY_HAVE_RUN
    return None
