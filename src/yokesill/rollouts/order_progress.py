"""One decider's view of one order: what was recorded, what it has seen, and what to record next."""

from typing import Any, NamedTuple

from yokesill.rollouts.assessment import Finding, Verdict
from yokesill.rollouts.barrier import Barrier
from yokesill.rollouts.exposure import ExposureCounts, allowed_share
from yokesill.rollouts.messages import OrderDecision, OrderReport
from yokesill.rollouts.observations import Observations
from yokesill.rollouts.orders import OrderId, Overtaken, RolloutLimits, RolloutOrder, RolloutState
from yokesill.rollouts.stages import FEED_S, Circumstances, Stage, Wanted, wanted_record
from yokesill.verdict import Failure, Verdict as Ran

# What the second decider leaves the first to do: a slow write of the registry (0.25 s) and its word. With 1 s
# a decider killed in the switch made its successor 0.2 s too late for the order's time.
STAGGER_S = 0.7
# What was heard of as taken back is recorded by whoever said so, unless it can't; its word or the
# feed comes before this.
HEARD_STAGGER_S = 0.5
# Once `switching` stands another node may be recording `completed`, after which the old servers are gone.
# So a version found bad then is taken back in the record first, and told when that is answered. A registry
# that has not answered after this long is not recording anybody's `completed` either, most likely.
ANSWER_S = 1.0
# After a write that certainly did nothing, and after one that may have.
RETRY_S = 0.3
# Final states are told until words, which may be lost, have reached everybody twice over.
TELL_FINAL_S = 3.0
# A share is logged when it has changed by this much.
NOTED_SHARE = 0.05

Notes = list[tuple[str, dict[str, Any]]]


class OrderFigures(NamedTuple):
    """How an order stands, for operators: ``share`` (0 to 1) is what this node tells."""

    order: OrderId
    state: RolloutState
    reason: str
    duration_s: float
    elapsed_s: float
    share: float
    sent_old: int
    sent_new: int
    old_answers: int
    new_answers: int
    new_failures: int
    waits_for: int


class _Halt(NamedTuple):
    """The new version is to be taken back."""

    reason: str
    at_s: float
    heard: bool


class OrderProgress:
    """One order from when this node learnt of it.

    Parameters
    ----------
    order
        The order as first learnt of.
    terms
        What the contract allows.
    now
        The node's clock, in seconds.
    """

    def __init__(self, order: RolloutOrder, terms: RolloutLimits, now: float) -> None:
        self.order = order
        self.state = order.state
        self.exposure = ExposureCounts()
        self.observations = Observations()
        self.barrier = Barrier()
        self.notes: Notes = []
        self.follows_from_start = order.state is RolloutState.ORDERED
        self._terms = terms
        self._recorded = order.state
        self._started_at_s = now - max(order.elapsed_s, FEED_S)
        self._state_since_s = now
        self._tell_until_s = float("-inf")
        self._halt: _Halt | None = None
        self._due: tuple[Wanted, float] | None = None
        self._not_before_s = now
        self._under_way: RolloutState | None = None
        self._in_doubt: RolloutState | None = None
        self._said_share = 0.0
        self._verdict = Verdict()

    # What is learnt

    def take(self, order: RolloutOrder, now: float) -> None:
        """Take the record as it stands; an older one changes nothing."""
        if order.revision <= self.order.revision:
            return
        self.order = order
        self._in_doubt = None
        self._recorded = max(order.state, self._recorded, key=_rank)
        self._started_at_s = min(self._started_at_s, now - order.elapsed_s)
        self._enter(order.state, now, recorded=True)

    def heard(self, word: OrderDecision, now: float) -> None:
        """Take a decider's word."""
        self._started_at_s = min(self._started_at_s, now - word.elapsed_s)
        self._learn(word.state, now)

    def report(self, node: str, incarnation: int, report: OrderReport, now: float) -> None:
        """Take what a node did and saw."""
        self.exposure.report(node, incarnation, report.sent_old, report.sent_new, now)
        self.barrier.report(node, incarnation, report.state, report.old_in_flight)
        self.observations.add(report.samples, now)
        self._learn(report.state, now)

    def attempted(self, state: RolloutState) -> None:
        """Take that a write of ``state`` is under way."""
        self._under_way = state

    def answered(
        self, attempted: RolloutOrder, outcome: RolloutOrder | Overtaken | Failure, now: float
    ) -> None:
        """Take how a write ended."""
        self._under_way = None
        if isinstance(outcome, Failure):
            self._not_before_s = now + RETRY_S
            if outcome.verdict is not Ran.NOT_RUN:
                # Of `completed` in doubt nothing may be forgotten until the record is known again.
                self._in_doubt = max(self._in_doubt or attempted.state, attempted.state, key=_rank)
            self._note("rollout_record_failed", state=attempted.state, why=outcome.detail)
            return
        order = outcome.order if isinstance(outcome, Overtaken) else outcome
        if order is not None and order.id == self.order.id:
            self.take(order, now)

    # What follows

    def step(self, seen: Circumstances, now: float) -> RolloutOrder | None:
        """Look at everything again; return the record to write now, if any."""
        self._judge(seen, now)
        wanted = self._wanted(seen, now)
        if wanted is None:
            self._due = None
            return None
        if self._due is None or self._due[0].state is not wanted.state:
            self._due = (wanted, now)
        if not seen.able or now < max(self._not_before_s, self._due[1] + self._patience_s(wanted, seen)):
            return None
        if wanted.state is RolloutState.ROLLED_BACK and not self.state.final and self._halt is None:
            self._take_back(wanted.reason, now)
        return self.order._replace(state=wanted.state, reason=wanted.reason, elapsed_s=self.elapsed_s(now))

    def told(self, seen: Circumstances, now: float) -> RolloutState:
        """Return the state that others may be told."""
        if self._halt is None or self.state.final:
            return self.state
        if RolloutState.COMPLETED in (self._under_way, self._in_doubt):
            return self.state
        first = self.state is not RolloutState.SWITCHING and not seen.woken
        if first or now - self._halt.at_s >= ANSWER_S:
            return RolloutState.ROLLED_BACK
        return self.state

    def word(self, seen: Circumstances, now: float) -> OrderDecision | None:
        """Return what to tell of the order; ``None`` when there is nothing any more."""
        if not self.telling(now):
            return None
        told = self.told(seen, now)
        share = self.share(seen, now)
        if abs(share - self._said_share) >= NOTED_SHARE:
            totals = self.exposure.totals
            self._note("rollout_share", share=round(share, 3), sent_old=totals.old, sent_new=totals.new)
            self._said_share = share
        return OrderDecision(self.order.id, told, share, max(0.0, self.elapsed_s(now)))

    def telling(self, now: float) -> bool:
        """Whether others need words of it: it is open, or became final just now."""
        return not self.state.final or now < self._tell_until_s

    def share(self, seen: Circumstances, now: float) -> float:
        """Return the share (0 to 1) of the requests that the new version may get."""
        if self._halt is not None or self.state is RolloutState.ROLLED_BACK:
            return 0.0
        if self.state.rank > RolloutState.CANARY.rank:
            return 1.0
        if self.state is RolloutState.ORDERED or not (seen.able and seen.informed and seen.hears_most):
            return 0.0
        elapsed_s = self.elapsed_s(now)
        canary_left_s = Stage.switch_at_s(self.order.duration_s) - elapsed_s
        left_s = self.order.duration_s - elapsed_s
        return allowed_share(self.exposure, self._terms, canary_left_s, left_s, now)

    def elapsed_s(self, now: float) -> float:
        """Return how long ago the order was made, as far as anybody knows."""
        return now - self._started_at_s

    def figures(self, seen: Circumstances, now: float) -> OrderFigures:
        """Return how it stands."""
        totals, answers = self.exposure.totals, self.observations
        waits_for = len(self.barrier.waits_for(seen.live)) if self.state is RolloutState.SWITCHING else 0
        return OrderFigures(
            self.order.id,
            self.told(seen, now),
            self._halt.reason if self._halt is not None else self.order.reason,
            self.order.duration_s,
            self.elapsed_s(now),
            self.share(seen, now),
            totals.old,
            totals.new,
            answers.old_answers,
            answers.new_answers,
            answers.new_failures,
            waits_for,
        )

    def take_notes(self) -> Notes:
        """Return what is to be logged since the last call."""
        notes, self.notes = self.notes, []
        return notes

    def _wanted(self, seen: Circumstances, now: float) -> Wanted | None:
        """Return what should stand in the record instead of what does."""
        if self.state.final:
            # Whoever overwrote the order with itself wiped its record out; the state stays.
            lost = self.order.state.rank < self._recorded.rank
            return Wanted(self.state, "as recorded before") if lost else None
        if self._halt is not None:
            return Wanted(RolloutState.ROLLED_BACK, self._halt.reason)
        stage = Stage(
            self.order,
            self.state,
            self.elapsed_s(now),
            now - self._state_since_s,
            self.exposure.totals,
            self.observations.verdict(now),
            self.observations.new_answers,
            self.observations.new_answers - self.observations.new_failures,
            self.barrier.waits_for(seen.live) if self.state is RolloutState.SWITCHING else (),
        )
        return wanted_record(stage, seen)

    def _patience_s(self, wanted: Wanted, seen: Circumstances) -> float:
        if self._halt is not None and not self.state.final:
            return HEARD_STAGGER_S if self._halt.heard else 0.0
        return seen.seniors * STAGGER_S

    def _judge(self, seen: Circumstances, now: float) -> None:
        if self._halt is not None or self.state.final or self.state is RolloutState.ORDERED:
            return
        verdict = self.observations.verdict(now)
        if verdict.finding is not self._verdict.finding:
            self._note("rollout_verdict", **verdict.details)
        self._verdict = verdict
        if verdict.finding is Finding.BAD:
            self._take_back(verdict.reason, now)

    def _learn(self, state: RolloutState, now: float) -> None:
        """Take a state that another node tells or obeys."""
        if state is not RolloutState.ROLLED_BACK:
            self._enter(state, now, recorded=False)
        elif not self.state.final and self._halt is None:
            self._halt = _Halt("another node took it back", now, heard=True)

    def _enter(self, state: RolloutState, now: float, recorded: bool) -> None:
        """Go on to a recorded state; the record itself outweighs what was heard."""
        corrected = recorded and state.final and self.state.final
        if state is self.state or (state.rank <= self.state.rank and not corrected):
            return
        self.state = state
        self._state_since_s = now
        self._due = None
        if state.final:
            self._tell_until_s = now + TELL_FINAL_S
        totals = self.exposure.totals
        self._note(
            "rollout_stage",
            state=state,
            reason=self.order.reason if recorded else "heard",
            elapsed_s=round(self.elapsed_s(now), 2),
            sent_old=totals.old,
            sent_new=totals.new,
        )

    def _take_back(self, reason: str, now: float) -> None:
        self._halt = _Halt(reason, now, heard=False)
        self._due = None
        self._note("rollout_taken_back", reason=reason, elapsed_s=round(self.elapsed_s(now), 2))

    def _note(self, name: str, **details: Any) -> None:
        order = self.order
        self.notes.append((name, {"service": order.service, "target": order.target, **details}))


def _rank(state: RolloutState) -> int:
    return state.rank
