"""Limits on the requests to a new version, counted over all nodes and their restarts."""

import pytest

from yokesill.rollouts.exposure import MAX_SHARE, SWITCH_DURATION_S, ExposureCounts, Totals, allowed_share
from yokesill.rollouts.orders import RolloutLimits

LIMITS = RolloutLimits()


def counts(rate: float, new: int, seconds: float = 4.0) -> ExposureCounts:
    """Return the counts after ``seconds`` at ``rate`` requests a second, ``new`` of them to the new one."""
    counts_so_far = ExposureCounts()
    for step in range(round(seconds * 10) + 1):
        at_s = step / 10
        sent = round(rate * at_s)
        share = round(new * at_s / seconds)
        counts_so_far.report("n1", 1, sent - share, share, at_s)
    return counts_so_far


def test_totals_of_a_restarted_node_add_up() -> None:
    counts_so_far = ExposureCounts()
    counts_so_far.report("n1", 1, 30, 5, 1.0)
    counts_so_far.report("n1", 2, 4, 1, 2.0)
    counts_so_far.report("n1", 2, 6, 2, 3.0)
    assert counts_so_far.totals == Totals(36, 7)


def test_repeated_or_late_report_counts_once() -> None:
    counts_so_far = ExposureCounts()
    for sent in (10, 20, 20, 10):
        counts_so_far.report("n1", 1, sent, sent // 10, 1.0)
    counts_so_far.report("n1", 2, 1, 0, 1.1)
    counts_so_far.report("n1", 1, 20, 2, 1.2)
    assert counts_so_far.totals == Totals(21, 2)


def test_share_without_a_known_rate_is_the_contracts() -> None:
    assert allowed_share(ExposureCounts(), LIMITS, 9.0, 12.0, 0.0) == LIMITS.canary_share


def test_share_is_zero_once_the_limit_is_reached() -> None:
    assert allowed_share(counts(20.0, 48), LIMITS, 5.0, 8.0, 4.0) == 0.0


@pytest.mark.parametrize("rate", [4.0, 10.0, 20.0, 26.0])
def test_canary_and_switch_together_stay_within_the_limit(rate: float) -> None:
    share = allowed_share(counts(rate, 0, 1.0), LIMITS, 8.0, 8.0 + SWITCH_DURATION_S, 1.0)
    allowed = LIMITS.canary_share * rate * (9.0 + SWITCH_DURATION_S) + LIMITS.canary_slack
    assert share >= 0.6 * LIMITS.canary_share
    assert share * rate * 8.0 + rate * SWITCH_DURATION_S <= allowed


def test_long_order_does_not_spend_its_limit_before_requests_arrive() -> None:
    assert allowed_share(counts(20.0, 48), LIMITS, 600.0, 900.0, 4.0) == 0.0


def test_quiet_service_gets_the_maximum_share() -> None:
    assert allowed_share(counts(2.0, 0), LIMITS, 5.0, 8.0, 4.0) == MAX_SHARE


def test_long_order_does_not_count_on_requests_after_the_switch() -> None:
    share = allowed_share(counts(200.0, 0), LIMITS, 600.0, 365 * 86400.0, 4.0)
    assert abs(share - LIMITS.canary_share) < 0.01


def test_limits_without_slack_bound_the_share() -> None:
    limits = LIMITS._replace(canary_slack=0.0)
    assert allowed_share(counts(100.0, 40), limits, 5.0, 8.0, 4.0) <= limits.canary_share
    assert allowed_share(counts(100.0, 42), limits, 5.0, 8.0, 4.0) == 0.0
