"""The checkers of all promises, by name."""

from soak.answer_checkers import answered_in_time, whole_own_answers
from soak.cold_checkers import cold_servers_not_overrun
from soak.judging import Checked, Checker
from soak.node_checkers import (
    configuration_in_force,
    never_older,
    no_part_failed,
    no_unasked_end,
    planned_stop_cuts_nothing,
    served_after_herd,
    served_beside_slow_callers,
)
from soak.record import Record
from soak.rollout_checkers import (
    bad_version_exposure,
    completed_cuts_nothing,
    one_final_state,
    only_ordered_versions,
)
from soak.work_checkers import (
    at_most_once,
    deadly_kept_from_servers,
    extra_within_budget,
    not_run_never_ran,
    nothing_new_to_leaving,
    right_service,
)

CHECKERS: dict[str, Checker] = {
    each.__name__: each
    for each in (
        whole_own_answers,
        answered_in_time,
        not_run_never_ran,
        at_most_once,
        right_service,
        nothing_new_to_leaving,
        deadly_kept_from_servers,
        extra_within_budget,
        planned_stop_cuts_nothing,
        configuration_in_force,
        never_older,
        no_part_failed,
        no_unasked_end,
        served_after_herd,
        served_beside_slow_callers,
        only_ordered_versions,
        bad_version_exposure,
        one_final_state,
        completed_cuts_nothing,
        cold_servers_not_overrun,
    )
}


def check(record: Record) -> dict[str, Checked]:
    """Check every promise against a record."""
    return {name: checker(record) for name, checker in CHECKERS.items()}
