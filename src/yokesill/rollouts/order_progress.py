"""One order as one decider sees it: what was recorded, what nodes reported, and what to announce and record.

Owns the order's state at this decider. A version found bad is halted here: announced to all nodes at once
where that is safe, and recorded. What the record should say otherwise is decided in ``stages``, when it is
written in ``record_writes``, how large the canary share is in ``exposure``, whether a version is bad in
``assessment``.
"""

from typing import Any, NamedTuple

from yokesill.rollouts.assessment import Finding, VersionAssessment
from yokesill.rollouts.barrier import Barrier
from yokesill.rollouts.exposure import ExposureCounts, allowed_share
from yokesill.rollouts.messages import OrderDecision, OrderReport
from yokesill.rollouts.order_figures import OrderFigures
from yokesill.rollouts.orders import RevisionConflict, RolloutLimits, RolloutOrder, RolloutState
from yokesill.rollouts.record_writes import RecordWrites, stagger_s
from yokesill.rollouts.stages import FEED_S, DeciderView, OrderStatus, RecordChange, next_record, switch_at_s
from yokesill.rollouts.version_answers import VersionAnswers
from yokesill.verdict import Failure

# Once `switching` stands another node may be recording `completed`, after which the old servers are gone.
# So a version found bad then is taken back in the record first, and announced when that is answered. A
# registry that has not answered after this long is not recording anybody's `completed` either, most likely.
ANSWER_S = 1.0
# Final states are announced until decisions, which may be lost, have reached everybody twice over.
ANNOUNCE_FINAL_S = 3.0
# A share is logged when it has changed by this much: some ten lines in a roll-out of 12 s.
LOGGED_SHARE_STEP = 0.05
# The reason of a record that is written once more.
RECORDED_BEFORE = "as recorded before"

LogEvents = list[tuple[str, dict[str, Any]]]


class _Halt(NamedTuple):
    """The new version is to be taken back."""

    reason: str
    at_s: float
    by_peer: bool


class OrderProgress:
    """One order from when this node first knew it; ``state`` is the furthest state known to be recorded.

    Parameters
    ----------
    order
        The order as first known.
    terms
        What the contract allows.
    now
        The node's clock, in seconds.
    """

    def __init__(self, order: RolloutOrder, terms: RolloutLimits, now: float) -> None:
        self.order = order
        self.state = order.state
        self.exposure = ExposureCounts()
        self.answers = VersionAnswers()
        self.barrier = Barrier()
        self.log_events: LogEvents = []
        self.follows_from_start = order.state is RolloutState.ORDERED
        self._terms = terms
        self._recorded = order.state
        self._started_at_s = now - max(order.elapsed_s, FEED_S)
        # A node that learned of the order after it was taken up knows its time by the record, and so by the
        # time of day, which may be seconds off. Whoever followed it from its making knows better.
        self._time_measured = order.state is RolloutState.ORDERED
        self._state_since_s = now
        self._informed_since_s: float | None = None
        self._announce_until_s = float("-inf")
        self._halt: _Halt | None = None
        self._writes = RecordWrites(now)
        self._announced_share = 0.0
        self._assessment = VersionAssessment()

    # --- what is received ---

    def update_record(self, order: RolloutOrder, now: float) -> None:
        """Set the record as it stands; an older one changes nothing."""
        if order.position <= self.order.position:
            return
        self.order = order
        self._writes.settled()
        self._recorded = max(order.state, self._recorded, key=_rank)
        if not self._time_measured:
            self._started_at_s = min(self._started_at_s, now - order.elapsed_s)
        self._enter(order.state, now, recorded=True)

    def receive_decision(self, decision: OrderDecision, now: float) -> None:
        """Take another decider's decision."""
        self._learn_time(decision, now)
        self._learn(decision.state, now)

    def report(self, node: str, incarnation: int, report: OrderReport, now: float) -> None:
        """Take what a node did and saw."""
        self.exposure.report(node, incarnation, report.sent_old, report.sent_new, now)
        self.barrier.report(node, incarnation, report.state, report.old_in_flight)
        self.answers.add(report.samples, now)
        self._learn(report.state, now)

    def write_started(self, state: RolloutState) -> None:
        """Note that a write of ``state`` is under way."""
        self._writes.started(state)

    def write_ended(
        self, attempted: RolloutOrder, outcome: RolloutOrder | RevisionConflict | Failure, now: float
    ) -> None:
        """Note how a write ended."""
        self._writes.ended()
        if isinstance(outcome, Failure):
            self._writes.failed(attempted.state, outcome, now)
            self._log_event("rollout_record_failed", state=attempted.state, why=outcome.detail)
            return
        order = outcome.order if isinstance(outcome, RevisionConflict) else outcome
        if order is not None and order.id == self.order.id:
            self.update_record(order, now)

    # --- what follows ---

    def step(self, view: DeciderView, now: float) -> RolloutOrder | None:
        """Decide anew; return the record to write now, if any."""
        self._assess(now)
        if not view.informed:
            self._informed_since_s = None
        elif self._informed_since_s is None:
            self._informed_since_s = now
        change = self._next_record(view, now)
        if change is None:
            self._writes.nothing_due()
            return None
        halted = self._halt is not None and not self.state.final
        by_peer = self._halt is not None and self._halt.by_peer
        wait_s = stagger_s(halted, by_peer, view.deciders_before)
        if not self._writes.is_due(change.state, wait_s, view.reaches_registry, now):
            return None
        if change.state is RolloutState.ROLLED_BACK and not self.state.final and self._halt is None:
            self._take_back(change.reason, now)
        return self.order._replace(state=change.state, reason=change.reason, elapsed_s=self.elapsed_s(now))

    def announced_state(self, view: DeciderView, now: float) -> RolloutState:
        """Return the state that others may learn from this node.

        A version found bad is announced before the record says so, except where `completed` may stand or may
        be recorded by another node meanwhile: then the record comes first.
        """
        if self._halt is None or self.state.final:
            return self.state
        if self._writes.may_stand(RolloutState.COMPLETED):
            return self.state
        announced_first = self.state is not RolloutState.SWITCHING and not view.just_woken
        if announced_first or now - self._halt.at_s >= ANSWER_S:
            return RolloutState.ROLLED_BACK
        return self.state

    def decision(self, view: DeciderView, now: float) -> OrderDecision | None:
        """Return what to announce of the order; ``None`` when there is nothing any more."""
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
        """Whether others need decisions on it: it is open, became final just now, or its record was lost."""
        return not self.state.final or now < self._announce_until_s or self._record_is_lost

    def share(self, view: DeciderView, now: float) -> float:
        """Return the share (0 to 1) of the requests that the new version may get."""
        if self._halt is not None or self.state is RolloutState.ROLLED_BACK:
            return 0.0
        if self.state.rank > RolloutState.CANARY.rank:
            return 1.0
        knows_counts = view.reaches_registry and view.informed and view.hears_most_nodes
        if self.state is RolloutState.ORDERED or not knows_counts:
            return 0.0
        elapsed_s = self.elapsed_s(now)
        canary_left_s = switch_at_s(self.order.duration_s) - elapsed_s
        left_s = self.order.duration_s - elapsed_s
        return allowed_share(self.exposure, self._terms, canary_left_s, left_s, now)

    def elapsed_s(self, now: float) -> float:
        """Return how long ago the order was made, as far as anybody knows."""
        return now - self._started_at_s

    def figures(self, view: DeciderView, now: float) -> OrderFigures:
        """Return how it stands."""
        totals, answers = self.exposure.totals, self.answers
        waits_for = len(self.barrier.waits_for(view.live)) if self.state is RolloutState.SWITCHING else 0
        return OrderFigures(
            self.order.id,
            self.announced_state(view, now),
            self._halt.reason if self._halt is not None else self.order.reason,
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
        """Return what is to be logged since the last call."""
        log_events, self.log_events = self.log_events, []
        return log_events

    def _next_record(self, view: DeciderView, now: float) -> RecordChange | None:
        """Return what should stand in the record instead of what does."""
        if self.state.final:
            return RecordChange(self.state, RECORDED_BEFORE) if self._record_is_lost else None
        if self._halt is not None:
            return RecordChange(RolloutState.ROLLED_BACK, self._halt.reason)
        if self._record_is_lost:
            return RecordChange(self._recorded, RECORDED_BEFORE)
        status = OrderStatus(
            self.order,
            self.state,
            self.elapsed_s(now),
            now - self._state_since_s,
            now - self._informed_since_s if self._informed_since_s is not None else 0.0,
            self.exposure.totals,
            self.answers.assessment(now),
            self.answers.new_answers,
            self.answers.new_answers - self.answers.new_failures,
            self.barrier.waits_for(view.live) if self.state is RolloutState.SWITCHING else (),
        )
        return next_record(status, view)

    @property
    def _record_is_lost(self) -> bool:
        """Whether the record fell back: the order was overwritten with itself, or the registry restored."""
        return self.order.state.rank < self._recorded.rank

    def _assess(self, now: float) -> None:
        if self._halt is not None or self.state.final or self.state is RolloutState.ORDERED:
            return
        assessment = self.answers.assessment(now)
        if assessment.finding is not self._assessment.finding:
            self._log_event("rollout_verdict", **assessment.details)
        self._assessment = assessment
        if assessment.finding is Finding.BAD:
            self._take_back(assessment.reason, now)

    def _learn_time(self, decision: OrderDecision, now: float) -> None:
        """Take how long ago the order was made; a measured time outweighs one that was read."""
        started_at_s = now - decision.elapsed_s
        if decision.time_measured and not self._time_measured:
            self._started_at_s = started_at_s
            self._time_measured = True
        elif decision.time_measured or not self._time_measured:
            self._started_at_s = min(self._started_at_s, started_at_s)

    def _learn(self, state: RolloutState, now: float) -> None:
        """Take a state that another node announces or has in effect."""
        if state is not RolloutState.ROLLED_BACK:
            self._enter(state, now, recorded=False)
        elif not self.state.final and self._halt is None:
            self._halt = _Halt("another node took it back", now, by_peer=True)

    def _enter(self, state: RolloutState, now: float, recorded: bool) -> None:
        """Go on to a recorded state; the record itself outweighs what others announced."""
        corrected = recorded and state.final and self.state.final
        if state is self.state or (state.rank <= self.state.rank and not corrected):
            return
        self.state = state
        self._state_since_s = now
        self._writes.nothing_due()
        if state.final:
            self._announce_until_s = now + ANNOUNCE_FINAL_S
        totals = self.exposure.totals
        self._log_event(
            "rollout_stage",
            state=state,
            reason=self.order.reason if recorded else "heard",
            elapsed_s=round(self.elapsed_s(now), 2),
            sent_old=totals.old,
            sent_new=totals.new,
        )

    def _take_back(self, reason: str, now: float) -> None:
        self._halt = _Halt(reason, now, by_peer=False)
        self._writes.nothing_due()
        self._log_event("rollout_taken_back", reason=reason, elapsed_s=round(self.elapsed_s(now), 2))

    def _log_event(self, name: str, **details: Any) -> None:
        order = self.order
        self.log_events.append((name, {"service": order.service, "target": order.target, **details}))


def _rank(state: RolloutState) -> int:
    return state.rank
