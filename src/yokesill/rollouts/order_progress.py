"""One order at one decider: what was recorded, what nodes reported, and what to announce and record.

Owns the order's state at this decider. Rolls back a version that is found bad: announces it to all nodes
immediately where that is safe, and records it. Everything else that the record should say is decided in
``stages``, the time of a write in ``record_writes``, the canary share in ``exposure``, and whether a version
is bad in ``assessment``.
"""

from typing import Any, NamedTuple

from yokesill.rollouts.assessment import Finding, VersionAssessment
from yokesill.rollouts.barrier import Barrier
from yokesill.rollouts.exposure import ExposureCounts, allowed_share
from yokesill.rollouts.messages import OrderDecision, OrderReport
from yokesill.rollouts.order_figures import OrderFigures
from yokesill.rollouts.orders import RevisionConflict, RolloutLimits, RolloutOrder, RolloutState
from yokesill.rollouts.record_writes import RecordWrites, stagger_s
from yokesill.rollouts.stages import (
    FEED_LAG_S,
    DeciderView,
    OrderStatus,
    RecordChange,
    next_record,
    switch_at_s,
)
from yokesill.rollouts.version_answers import VersionAnswers
from yokesill.verdict import Failure

# Once `switching` is recorded, another node may be recording `completed`, after which the old servers stop. A
# version found bad then is rolled back in the record first, and announced once that write is answered. A
# registry that hasn't answered after this time is most likely not recording `completed` for any node either.
WRITE_ANSWER_TIMEOUT_S = 1.0
# Final states are announced for long enough that decisions, which may be lost, reach every node twice over.
FINAL_ANNOUNCEMENT_S = 3.0
# A share is logged when it has changed by this much: about ten lines in a roll-out of 12 s.
LOGGED_SHARE_STEP = 0.05
# Reason of a record that is written again after the registry lost it.
REPEATED_RECORD_REASON = "as recorded before"

LogEvents = list[tuple[str, dict[str, Any]]]


class _PendingRollback(NamedTuple):
    """A rollback of the new version that is not recorded yet."""

    reason: str
    at_s: float
    by_peer: bool


class OrderProgress:
    """One order since this node received it; ``state`` is the furthest state known to be recorded.

    Parameters
    ----------
    order
        The order as first received.
    limits
        The contract's limits.
    now
        The node's clock, in seconds.
    """

    def __init__(self, order: RolloutOrder, limits: RolloutLimits, now: float) -> None:
        self.order = order
        self.state = order.state
        self.exposure = ExposureCounts()
        self.answers = VersionAnswers()
        self.barrier = Barrier()
        self.log_events: LogEvents = []
        self.followed_from_start = order.state is RolloutState.ORDERED
        self._limits = limits
        self._recorded = order.state
        self._started_at_s = now - max(order.elapsed_s, FEED_LAG_S)
        # A node that received the order after it was started derives the elapsed time from the record, and so
        # from the time of day, which may be seconds off. Nodes that followed the order from its creation have
        # measured it.
        self._time_measured = order.state is RolloutState.ORDERED
        self._state_since_s = now
        self._counts_complete_since_s: float | None = None
        self._announce_until_s = float("-inf")
        self._pending_rollback: _PendingRollback | None = None
        self._writes = RecordWrites(now)
        self._announced_share = 0.0
        self._assessment = VersionAssessment()

    # --- input ---

    def update_record(self, order: RolloutOrder, now: float) -> None:
        """Set the record as the registry holds it; an older one is ignored."""
        if order.position <= self.order.position:
            return
        self.order = order
        self._writes.record_confirmed()
        self._recorded = max(order.state, self._recorded, key=_rank)
        if not self._time_measured:
            self._started_at_s = min(self._started_at_s, now - order.elapsed_s)
        self._enter_state(order.state, now, recorded=True)

    def receive_decision(self, decision: OrderDecision, now: float) -> None:
        """Apply another decider's decision."""
        self._apply_elapsed_time(decision, now)
        self._apply_peer_state(decision.state, now)

    def report(self, node: str, incarnation: int, report: OrderReport, now: float) -> None:
        """Apply a node's report."""
        self.exposure.report(node, incarnation, report.sent_old, report.sent_new, now)
        self.barrier.report(node, incarnation, report.state, report.old_in_flight)
        self.answers.add(report.samples, now)
        self._apply_peer_state(report.state, now)

    def write_started(self, state: RolloutState) -> None:
        """Note that a write of ``state`` has started."""
        self._writes.started(state)

    def write_ended(
        self, attempted: RolloutOrder, outcome: RolloutOrder | RevisionConflict | Failure, now: float
    ) -> None:
        """Handle the outcome of a write."""
        self._writes.ended()
        if isinstance(outcome, Failure):
            self._writes.failed(attempted.state, outcome, now)
            self._log_event("rollout_record_failed", state=attempted.state, why=outcome.detail)
            return
        order = outcome.order if isinstance(outcome, RevisionConflict) else outcome
        if order is not None and order.id == self.order.id:
            self.update_record(order, now)

    # --- decisions ---

    def step(self, view: DeciderView, now: float) -> RolloutOrder | None:
        """Re-evaluate the order; return the record to write now, if any."""
        self._assess(now)
        if not view.counts_complete:
            self._counts_complete_since_s = None
        elif self._counts_complete_since_s is None:
            self._counts_complete_since_s = now
        change = self._next_record(view, now)
        if change is None:
            self._writes.clear_due()
            return None
        rolling_back = self._pending_rollback is not None and not self.state.final
        by_peer = self._pending_rollback is not None and self._pending_rollback.by_peer
        wait_s = stagger_s(rolling_back, by_peer, view.deciders_before)
        if not self._writes.is_due(change.state, wait_s, view.reaches_registry, now):
            return None
        if (
            change.state is RolloutState.ROLLED_BACK
            and not self.state.final
            and self._pending_rollback is None
        ):
            self._start_rollback(change.reason, now)
        return self.order._replace(state=change.state, reason=change.reason, elapsed_s=self.elapsed_s(now))

    def announced_state(self, view: DeciderView, now: float) -> RolloutState:
        """Return the state to announce to other nodes.

        A rollback is announced before it is recorded, except where `completed` may be recorded already, or by
        another node in the meantime: then it is recorded first.
        """
        if self._pending_rollback is None or self.state.final:
            return self.state
        if self._writes.may_be_recorded(RolloutState.COMPLETED):
            return self.state
        announce_first = self.state is not RolloutState.SWITCHING and not view.just_resumed
        if announce_first or now - self._pending_rollback.at_s >= WRITE_ANSWER_TIMEOUT_S:
            return RolloutState.ROLLED_BACK
        return self.state

    def decision(self, view: DeciderView, now: float) -> OrderDecision | None:
        """Return the decision to announce for the order, or ``None`` when it is no longer announced."""
        if not self.is_announced(now):
            return None
        state = self.announced_state(view, now)
        share = self.share(view, now)
        if abs(share - self._announced_share) >= LOGGED_SHARE_STEP:
            totals = self.exposure.totals
            self._log_event("rollout_share", share=round(share, 3), sent_old=totals.old, sent_new=totals.new)
            self._announced_share = share
        elapsed_s = max(0.0, self.elapsed_s(now))
        return OrderDecision(self.order.id, state, share, elapsed_s, self._time_measured)

    def is_announced(self, now: float) -> bool:
        """Whether to announce decisions: the order is open, recently became final, or its record was lost."""
        return not self.state.final or now < self._announce_until_s or self._record_is_lost

    def share(self, view: DeciderView, now: float) -> float:
        """Return the share (0 to 1) of the requests that may go to the new version."""
        if self._pending_rollback is not None or self.state is RolloutState.ROLLED_BACK:
            return 0.0
        if self.state.rank > RolloutState.CANARY.rank:
            return 1.0
        counts_known = view.reaches_registry and view.counts_complete and view.enough_nodes_report
        if self.state is RolloutState.ORDERED or not counts_known:
            return 0.0
        elapsed_s = self.elapsed_s(now)
        canary_left_s = switch_at_s(self.order.duration_s) - elapsed_s
        left_s = self.order.duration_s - elapsed_s
        return allowed_share(self.exposure, self._limits, canary_left_s, left_s, now)

    def elapsed_s(self, now: float) -> float:
        """Return the best known time since the order was created."""
        return now - self._started_at_s

    def figures(self, view: DeciderView, now: float) -> OrderFigures:
        """Return the order's status for operators."""
        totals, answers = self.exposure.totals, self.answers
        waits_for = len(self.barrier.waits_for(view.live)) if self.state is RolloutState.SWITCHING else 0
        return OrderFigures(
            self.order.id,
            self.announced_state(view, now),
            self._pending_rollback.reason if self._pending_rollback is not None else self.order.reason,
            self.order.duration_s,
            self.elapsed_s(now),
            self.share(view, now),
            totals.old,
            totals.new,
            answers.old_answers,
            answers.new_answers,
            answers.new_failures,
            waits_for,
        )

    def take_log_events(self) -> LogEvents:
        """Return the log events since the last call."""
        log_events, self.log_events = self.log_events, []
        return log_events

    def _next_record(self, view: DeciderView, now: float) -> RecordChange | None:
        """Return the change that the record needs, or ``None`` if it is correct."""
        if self.state.final:
            return RecordChange(self.state, REPEATED_RECORD_REASON) if self._record_is_lost else None
        if self._pending_rollback is not None:
            return RecordChange(RolloutState.ROLLED_BACK, self._pending_rollback.reason)
        if self._record_is_lost:
            return RecordChange(self._recorded, REPEATED_RECORD_REASON)
        status = OrderStatus(
            self.order,
            self.state,
            self.elapsed_s(now),
            now - self._state_since_s,
            now - self._counts_complete_since_s if self._counts_complete_since_s is not None else 0.0,
            self.exposure.totals,
            self.answers.assessment(now),
            self.answers.new_answers,
            self.answers.new_answers - self.answers.new_failures,
            self.barrier.waits_for(view.live) if self.state is RolloutState.SWITCHING else (),
        )
        return next_record(status, view)

    @property
    def _record_is_lost(self) -> bool:
        """Whether the record fell back, because the order was overwritten or the registry restored."""
        return self.order.state.rank < self._recorded.rank

    def _assess(self, now: float) -> None:
        if self._pending_rollback is not None or self.state.final or self.state is RolloutState.ORDERED:
            return
        assessment = self.answers.assessment(now)
        if assessment.finding is not self._assessment.finding:
            self._log_event("rollout_verdict", **assessment.details)
        self._assessment = assessment
        if assessment.finding is Finding.BAD:
            self._start_rollback(assessment.reason, now)

    def _apply_elapsed_time(self, decision: OrderDecision, now: float) -> None:
        """Apply the time since the order's creation; a measured time overrides one read from a record."""
        started_at_s = now - decision.elapsed_s
        if decision.time_measured and not self._time_measured:
            self._started_at_s = started_at_s
            self._time_measured = True
        elif decision.time_measured or not self._time_measured:
            self._started_at_s = min(self._started_at_s, started_at_s)

    def _apply_peer_state(self, state: RolloutState, now: float) -> None:
        """Apply a state that another node announced, or reported as its effective state."""
        if state is not RolloutState.ROLLED_BACK:
            self._enter_state(state, now, recorded=False)
        elif not self.state.final and self._pending_rollback is None:
            self._pending_rollback = _PendingRollback("another node took it back", now, by_peer=True)

    def _enter_state(self, state: RolloutState, now: float, recorded: bool) -> None:
        """Enter a recorded state; a final state in the record overrides one that other nodes announced."""
        overridden = recorded and state.final and self.state.final
        if state is self.state or (state.rank <= self.state.rank and not overridden):
            return
        self.state = state
        self._state_since_s = now
        self._writes.clear_due()
        if state.final:
            self._announce_until_s = now + FINAL_ANNOUNCEMENT_S
        totals = self.exposure.totals
        self._log_event(
            "rollout_stage",
            state=state,
            reason=self.order.reason if recorded else "heard",
            elapsed_s=round(self.elapsed_s(now), 2),
            sent_old=totals.old,
            sent_new=totals.new,
        )

    def _start_rollback(self, reason: str, now: float) -> None:
        self._pending_rollback = _PendingRollback(reason, now, by_peer=False)
        self._writes.clear_due()
        self._log_event("rollout_taken_back", reason=reason, elapsed_s=round(self.elapsed_s(now), 2))

    def _log_event(self, name: str, **details: Any) -> None:
        order = self.order
        self.log_events.append((name, {"service": order.service, "target": order.target, **details}))


def _rank(state: RolloutState) -> int:
    return state.rank
