"""The state machine of one query: fan out, hedge, retry, re-plan, answer or give up.

The router calls the machine, which appends its actions to the list that is passed in. This module holds the
rules for retries (``_may_retry``), for a re-plan at another snapshot (``_replan``) and for the end of a
query: it ends when all shards are done, when the minimum coverage can't be reached any more, at its soft
deadline if the policy accepts the coverage reached, and at its deadline. The verdict of a refusal joins the
verdicts of all attempts, including those that a re-plan discarded.
"""

import itertools
from dataclasses import replace

from yokesill.policy.compiler import CompiledPolicy
from yokesill.policy.facts import Facts, Stage
from yokesill.resources import documents
from yokesill.routing.context import RoutingContext
from yokesill.routing.events import Action, Answer, Refuse, SetTimer, TimerKind
from yokesill.routing.fanout import Fanout
from yokesill.routing.hedging import Hedging
from yokesill.routing.messages import Coverage, Partial, QueryRequest, Snapshot
from yokesill.routing.progress import LiveAttempt, ShardProgress
from yokesill.routing.service import ServiceState
from yokesill.verdict import Failure, Reason, Verdict

# Retry-After of refusals for which the policy sets none.
DEFAULT_RETRY_AFTER_MS = 200
FULL_COVERAGE = 1.0
# Bounds the work that is discarded while snapshots change. One re-plan is not always enough, since the known
# holdings of servers without a recent reply may be stale.
MAXIMUM_REPLANS = 3
# The server did no work for these failures, so a retry elsewhere adds no load and costs no budget.
FREE_RETRY_REASONS = frozenset({Reason.CONNECT_FAILED, Reason.SNAPSHOT_UNAVAILABLE, Reason.BACKEND_LEAVING})


class QueryMachine:
    """The state of one admitted query, from its pinned snapshot to its final answer."""

    def __init__(
        self,
        query: QueryRequest,
        service: ServiceState,
        policy: CompiledPolicy,
        serve: documents.Serve,
        facts: Facts,
        snapshot: Snapshot,
        context: "RoutingContext[QueryMachine]",
        now: float,
    ) -> None:
        self.query = query
        self.service = service
        self.finished = False
        self.priority = policy.priority
        self.prefer_near = serve.zone is documents.ZonePreference.NEAR
        self.deadline_at_s = min(query.deadline_at_s, now + serve.wait_ms / 1000)
        self._policy = policy
        self._serve = serve
        self._facts = facts
        self._context = context
        self._arrived_at = now
        self._replans = 0
        self._retry_armed = False
        self._discarded_verdict = Verdict.NOT_RUN
        self._attempt_numbers = itertools.count(1)
        self._fanout = Fanout(self, snapshot, context, self._attempt_numbers)
        self._hedging = Hedging(serve.hedge, query, service, context, self.deadline_at_s)

    def live_attempt(self, attempt_id: str) -> LiveAttempt:
        """Return a live attempt of this query."""
        return self._fanout.shard_of(attempt_id).live[attempt_id]

    def has_attempt(self, attempt_id: str) -> bool:
        """Whether the attempt is still live; the report in its reply may have ended the query already."""
        return self._fanout.has_attempt(attempt_id)

    def defect(self, partial: Partial) -> Reason | None:
        """Return why a shard reply must not be merged, or ``None`` if it is valid."""
        return self._fanout.defect(partial)

    # --- events ---

    def start(self, now: float, actions: list[Action]) -> None:
        """Set the timers and send an attempt to every shard."""
        query_id = self.query.query_id
        actions.append(SetTimer(query_id, TimerKind.HARD, self.deadline_at_s))
        if self._serve.soft_wait_ms is not None:
            soft_at = self._arrived_at + self._serve.soft_wait_ms / 1000
            actions.append(SetTimer(query_id, TimerKind.SOFT, soft_at))
        self._dispatch_all(now, actions)

    def on_answer(self, partial: Partial, now: float, actions: list[Action]) -> None:
        """Merge a valid shard reply and cancel the other attempts of its shard."""
        progress, attempt = self._fanout.end_attempt(partial.attempt_id)
        self.service.latency_of(self.query.request_class).record(now - attempt.sent_at_s, now)
        self._fanout.merge(progress, partial)
        self._fanout.cancel_live(progress, now, actions)
        self._finish_if_settled(now, actions)

    def on_failure(self, attempt_id: str, failure: Failure, now: float, actions: list[Action]) -> None:
        """Handle a failed attempt: re-plan, retry, or give up the shard."""
        progress, _ = self._fanout.end_attempt(attempt_id)
        progress.verdict = max(progress.verdict, failure.verdict)
        progress.last_reason = failure.reason
        if failure.reason is Reason.SNAPSHOT_UNAVAILABLE and self._replan(now, actions):
            return
        if progress.live or progress.waiter is not None:
            return
        if not self._may_retry(progress, failure, now):
            self._fanout.give_up(progress, failure.reason)
        elif self._fanout.any_untried(progress):
            self._fanout.dispatch(progress, now, actions)
        else:
            self._retry_later(progress, now, actions)
        self._finish_if_settled(now, actions)

    def on_timer(self, kind: TimerKind, now: float, actions: list[Action]) -> None:
        """Act on a timer of the query: hedge, retry, or apply the soft or hard deadline."""
        if kind is TimerKind.HEDGE:
            self._hedging.hedge_late(self._fanout, now, actions)
        elif kind is TimerKind.RETRY:
            self._retry_due(now, actions)
        elif kind is TimerKind.SOFT:
            self._soft_deadline(now, actions)
        elif kind is TimerKind.HARD:
            self._end(now, actions)

    def on_wait_ended(self, shard_id: str, now: float, actions: list[Action]) -> None:
        """Dispatch a shard whose wait has ended, or give it up if the answer would come too late."""
        progress = self._fanout.shard(shard_id)
        progress.waiter = None
        median_latency = self.service.latency_of(self.query.request_class).quantile(0.5, now) or 0.0
        if now + median_latency >= self.deadline_at_s and not progress.live:
            self._fanout.give_up(progress, Reason.OVERLOADED)
        else:
            self._dispatch(progress, now, actions)
        self._finish_if_settled(now, actions)

    def abandon(self, now: float, actions: list[Action]) -> None:
        """Cancel everything, because the caller disconnected."""
        self._close(now, actions)

    # --- plan ---

    def _dispatch_all(self, now: float, actions: list[Action]) -> None:
        for progress in self._fanout.shards():
            self._dispatch(progress, now, actions)
        self._hedging.arm(now, actions)
        self._finish_if_settled(now, actions)

    def _dispatch(self, progress: ShardProgress, now: float, actions: list[Action]) -> None:
        if not self._fanout.dropped_by_all(progress):
            self._fanout.dispatch(progress, now, actions)
        elif not self._fanout.send_unconfirmed(progress, now, actions):
            # Replies of other servers will report which snapshot all shards hold now.
            self._retry_later(progress, now, actions)

    def _replan(self, now: float, actions: list[Action]) -> bool:
        """Restart at another snapshot that all shards hold; discard all partial answers.

        The known holdings of servers that were not asked may be stale, so one re-plan is not always enough.
        Returns whether the query was re-planned.
        """
        if self._replans >= MAXIMUM_REPLANS:
            return False
        snapshot = self.service.pin(self._context.servers, self.query.key_hash)
        if snapshot is None or snapshot == self._fanout.snapshot:
            return False
        if not self.service.fully_held(snapshot, self.query.key_hash):
            return False
        verdict = max(self._discarded_verdict, self._fanout.verdict())
        if not self.query.repeatable and verdict is not Verdict.NOT_RUN:
            return False
        self._replans += 1
        self._discarded_verdict = verdict
        self._fanout.close(now, actions)
        self._fanout = Fanout(self, snapshot, self._context, self._attempt_numbers)
        self._dispatch_all(now, actions)
        return True

    # --- retries ---

    def _may_retry(self, progress: ShardProgress, failure: Failure, now: float) -> bool:
        options = self._context.options
        if not options.retries or now >= self.deadline_at_s:
            return False
        if not self.query.repeatable and progress.verdict is not Verdict.NOT_RUN:
            return False
        if failure.reason is Reason.SNAPSHOT_UNAVAILABLE:
            # The replies of the other shards will soon report which snapshot all shards hold.
            return True
        if len(progress.tried) >= options.maximum_attempts:
            return False
        return failure.reason in FREE_RETRY_REASONS or self.service.budget.take()

    def _retry_later(self, progress: ShardProgress, now: float, actions: list[Action]) -> None:
        progress.retry_due = True
        if self._retry_armed:
            return
        self._retry_armed = True
        backoff = self._context.options.retry_backoff_s * max(1, len(progress.tried))
        backoff *= 0.5 + self._context.random_source.random()
        actions.append(SetTimer(self.query.query_id, TimerKind.RETRY, now + backoff))

    def _retry_due(self, now: float, actions: list[Action]) -> None:
        self._retry_armed = False
        if self._replan(now, actions):
            return
        for progress in self._fanout.shards():
            if progress.retry_due and progress.open:
                progress.retry_due = False
                self._dispatch(progress, now, actions)
        self._finish_if_settled(now, actions)

    # --- end ---

    def _minimum_coverage(self, serve: documents.Serve) -> float:
        return max(serve.minimum_coverage, self.query.minimum_coverage)

    def _finish_if_settled(self, now: float, actions: list[Action]) -> None:
        """End the query when no shard is open, or once the minimum coverage can't be reached any more."""
        if self.finished:
            return
        coverage_unreachable = (
            self._fanout.any_exhausted
            and self._fanout.possible_coverage().fraction < self._minimum_coverage(self._serve)
        )
        if coverage_unreachable or not self._fanout.any_open:
            self._end(now, actions)

    def _outcome_at(self, stage: Stage, coverage: Coverage, now: float) -> documents.Serve | documents.Refuse:
        elapsed_ms = (now - self._arrived_at) * 1000
        facts = replace(self._facts, stage=stage, covered=coverage.fraction, elapsed_ms=elapsed_ms)
        return self._policy.evaluate(facts).outcome

    def _soft_deadline(self, now: float, actions: list[Action]) -> None:
        coverage = self._fanout.coverage()
        outcome = self._outcome_at(Stage.SOFT, coverage, now)
        if isinstance(outcome, documents.Refuse) or outcome.soft_minimum_coverage is None:
            return
        if coverage.fraction >= max(outcome.soft_minimum_coverage, self.query.minimum_coverage):
            self._answer(coverage, now, actions)

    def _end(self, now: float, actions: list[Action]) -> None:
        """Answer if the policy accepts the coverage reached; refuse otherwise."""
        coverage = self._fanout.coverage()
        if coverage.fraction >= FULL_COVERAGE:
            self._answer(coverage, now, actions)
            return
        outcome = self._outcome_at(Stage.HARD, coverage, now)
        if isinstance(outcome, documents.Refuse):
            detail, retry_after_ms = outcome.refuse, outcome.retry_after_ms
            self._refuse(Reason.POLICY_REFUSED, coverage, now, actions, detail, retry_after_ms)
        elif coverage.covered_width > 0 and coverage.fraction >= self._minimum_coverage(outcome):
            self._answer(coverage, now, actions)
        elif now >= self.deadline_at_s:
            self._refuse(Reason.DEADLINE_EXCEEDED, coverage, now, actions)
        else:
            self._refuse(self._fanout.give_up_reason(), coverage, now, actions)

    def _answer(self, coverage: Coverage, now: float, actions: list[Action]) -> None:
        answer = Answer(self.query.query_id, self._fanout.snapshot, coverage, self._fanout.entries())
        self._close(now, actions)
        actions.append(answer)

    def _refuse(
        self,
        reason: Reason,
        coverage: Coverage,
        now: float,
        actions: list[Action],
        detail: str = "",
        retry_after_ms: int = DEFAULT_RETRY_AFTER_MS,
    ) -> None:
        verdict = max(self._discarded_verdict, self._fanout.verdict())
        self._close(now, actions)
        failure = Failure(reason, verdict, detail, retry_after_ms)
        actions.append(Refuse(self.query.query_id, failure, coverage))

    def _close(self, now: float, actions: list[Action]) -> None:
        self.finished = True
        self._fanout.close(now, actions)
