"""How many requests a new version may get, counted over all nodes and their starts."""

import pytest

from yokesill.rollouts.exposure import MAX_SHARE, SWITCH_DURATION_S, ExposureCounts, Totals, allowed_share
from yokesill.rollouts.orders import RolloutLimits

TERMS = RolloutLimits()


def counts(rate: float, new: int, seconds: float = 4.0) -> ExposureCounts:
    """Counts at ``seconds`` of a service that had so many requests a second, ``new`` at the new version."""
    made = ExposureCounts()
    for step in range(round(seconds * 10) + 1):
        at_s = step / 10
        sent = round(rate * at_s)
        share = round(new * at_s / seconds)
        made.report("n1", 1, sent - share, share, at_s)
    return made


def test_a_node_that_was_restarted_adds_up() -> None:
    made = ExposureCounts()
    made.report("n1", 1, 30, 5, 1.0)
    made.report("n1", 2, 4, 1, 2.0)
    made.report("n1", 2, 6, 2, 3.0)
    assert made.totals == Totals(36, 7)


def test_a_report_that_comes_twice_or_late_counts_once() -> None:
    made = ExposureCounts()
    for sent in (10, 20, 20, 10):
        made.report("n1", 1, sent, sent // 10, 1.0)
    made.report("n1", 2, 1, 0, 1.1)
    made.report("n1", 1, 20, 2, 1.2)
    assert made.totals == Totals(21, 2)


def test_without_a_known_rate_the_share_is_the_contracts() -> None:
    assert allowed_share(ExposureCounts(), TERMS, 9.0, 12.0, 0.0) == TERMS.canary_share


def test_nothing_more_goes_to_the_new_version_once_the_bound_is_reached() -> None:
    assert allowed_share(counts(20.0, 48), TERMS, 5.0, 8.0, 4.0) == 0.0


@pytest.mark.parametrize("rate", [4.0, 10.0, 20.0, 26.0])
def test_the_canary_and_the_switch_together_keep_to_the_bound(rate: float) -> None:
    share = allowed_share(counts(rate, 0, 1.0), TERMS, 8.0, 8.0 + SWITCH_DURATION_S, 1.0)
    allowed = TERMS.canary_share * rate * (9.0 + SWITCH_DURATION_S) + TERMS.canary_slack
    assert share >= 0.6 * TERMS.canary_share
    assert share * rate * 8.0 + rate * SWITCH_DURATION_S <= allowed


def test_what_a_long_order_still_allows_is_not_spent_before_its_requests_come() -> None:
    assert allowed_share(counts(20.0, 48), TERMS, 600.0, 900.0, 4.0) == 0.0


def test_a_quiet_service_keeps_an_old_version_to_compare_with() -> None:
    assert allowed_share(counts(2.0, 0), TERMS, 5.0, 8.0, 4.0) == MAX_SHARE


def test_a_long_order_spends_nothing_of_what_its_last_hour_allows() -> None:
    share = allowed_share(counts(200.0, 0), TERMS, 600.0, 365 * 86400.0, 4.0)
    assert abs(share - TERMS.canary_share) < 0.01


def test_a_contract_without_slack_keeps_to_its_share() -> None:
    terms = TERMS._replace(canary_slack=0.0)
    assert allowed_share(counts(100.0, 40), terms, 5.0, 8.0, 4.0) <= terms.canary_share
    assert allowed_share(counts(100.0, 42), terms, 5.0, 8.0, 4.0) == 0.0
