"""Why a request as a whole is refused, by why its attempts failed."""

from yokesill.verdict import Failure, Reason


def shared_reason(failures: list[Failure]) -> tuple[Reason, str]:
    """Return the reason that all parts share, or that some of their services aren't known here at all."""
    reasons = {each.reason for each in failures}
    if Reason.NO_REPLICA in reasons:
        failures = [each for each in failures if each.reason is Reason.NO_REPLICA]
        reasons = {Reason.NO_REPLICA}
    detail = failures[0].detail if failures else "too few parts"
    return (reasons.pop() if len(reasons) == 1 else Reason.COVERAGE_TOO_LOW), detail
