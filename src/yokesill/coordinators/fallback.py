"""Decides whether a coordinator's refusal is returned to the caller or another node runs the request.

A coordinator whose list of servers is incomplete refuses requests that other nodes could serve. A refusal is
final only if other nodes would refuse as well: when servers failed or are ejected, of which a coordinator has
more evidence than a node that sees few wide requests. Rationale and cases: ``docs/design/placement.md``.
"""

from yokesill.callers.answers import HttpAnswer
from yokesill.comm.http_status import BAD_GATEWAY, UNAVAILABLE
from yokesill.gateway.documents import Route
from yokesill.verdict import Reason, Verdict

# Outcomes of a coordinator that has no server of a service, or no configuration. A request that it sent to
# servers is already counted towards the budget of extra attempts and must not be counted as new again.
INCOMPLETE_VIEW = frozenset({Reason.NO_REPLICA.value, Reason.NOT_READY.value})
# Share of the latency objective that another run needs; with less time left the refusal is final.
RERUN_SHARE = 0.5


def fallback_verdict(answer: HttpAnswer, route: Route, left_s: float) -> Verdict | None:
    """Return the verdict under which another node runs a refused request; ``None`` if the answer is final.

    Parameters
    ----------
    answer
        The coordinator's final answer.
    route
        The request's route.
    left_s
        Time until the deadline of the answer, in seconds.
    """
    if left_s < RERUN_SHARE * route.objective_s:
        return None
    if answer.status == UNAVAILABLE and answer.outcome in INCOMPLETE_VIEW:
        return Verdict.NOT_RUN
    may_repeat = route.repeatable and route.max_attempts > 1
    if answer.status == BAD_GATEWAY and answer.outcome == Reason.NO_REPLICA.value and may_repeat:
        return Verdict.MAY_HAVE_RUN
    return None
