"""One query's life: fan out, hedge, retry, re-plan once, answer or give up.

The machine is driven by the router and appends its actions to the list it is given. Once it is
given up on, its refusal is an action of the same step.
"""

import itertools
from dataclasses import replace

from yokesill.policy.compiler import CompiledPolicy
from yokesill.policy.facts import Facts, Stage
from yokesill.resources import documents
from yokesill.routing.context import RoutingContext
from yokesill.routing.coverage import coverage_of
from yokesill.routing.events import Action, Answer, CancelAttempt, Refuse, SendAttempt, SetTimer, TimerKind
from yokesill.routing.messages import Attempt, Coverage, Partial, QueryRequest, Snapshot
from yokesill.routing.progress import LiveAttempt, ShardProgress
from yokesill.routing.selection import any_left, choose_server
from yokesill.routing.servers import ServerState
from yokesill.routing.service import ServiceState
from yokesill.verdict import Failure, Reason, Verdict, join

DEFAULT_RETRY_AFTER_MS = 200
FULL_COVERAGE = 1.0
FREE_RETRY_REASONS = frozenset({Reason.CONNECT_FAILED, Reason.SNAPSHOT_UNAVAILABLE, Reason.BACKEND_LEAVING})


class QueryMachine:
    """The state of one admitted query, from its pin to its final answer."""

    def __init__(
        self,
        query: QueryRequest,
        service: ServiceState,
        policy: CompiledPolicy,
        serve: documents.Serve,
        facts: Facts,
        context: RoutingContext,
        now: float,
    ) -> None:
        self.query = query
        self.service = service
        self.finished = False
        self.deadline = min(query.deadline, now + serve.wait_ms / 1000)
        self._policy = policy
        self._serve = serve
        self._facts = facts
        self._context = context
        self._arrived_at = now
        self._snapshot = Snapshot(0, 0)
        self._replanned = False
        self._shards: dict[str, ShardProgress] = {}
        self._shard_of_attempt: dict[str, ShardProgress] = {}
        self._discarded_verdict = Verdict.NOT_RUN
        self._sequence = itertools.count(1)

    def live_attempt(self, attempt_id: str) -> LiveAttempt:
        """Return an attempt of this query that has not ended."""
        return self._shard_of_attempt[attempt_id].live[attempt_id]

    # --- events ---

    def start(self, snapshot: Snapshot, now: float, actions: list[Action]) -> None:
        """Pin ``snapshot``, set the timers and ask every shard."""
        self._set_timers(actions)
        self._plan(snapshot, now, actions)

    def defect(self, partial: Partial) -> Reason | None:
        """Return why a part must not be merged, or ``None`` when it is what was asked for."""
        if partial.truncated:
            return Reason.MALFORMED_REPLY
        progress = self._shard_of_attempt[partial.attempt_id]
        if partial.snapshot != self._snapshot or partial.range != progress.range:
            return Reason.FOREIGN_REPLY
        return None

    def answered(self, partial: Partial, now: float, actions: list[Action]) -> None:
        """Merge a part without defect; its shard is done."""
        progress = self._shard_of_attempt[partial.attempt_id]
        attempt = self._end_attempt(progress, partial.attempt_id)
        self.service.latency_of(self.query.request_class).record(now - attempt.sent_at, now)
        progress.partial = partial
        progress.verdict = Verdict.RAN
        self._cancel_live(progress, now, actions)
        self._finish_if_complete(now, actions)

    def failed(self, attempt_id: str, failure: Failure, now: float, actions: list[Action]) -> None:
        """Take an attempt's failure: re-plan, retry, or give the shard up."""
        progress = self._shard_of_attempt[attempt_id]
        self._end_attempt(progress, attempt_id)
        if failure.reason is Reason.SNAPSHOT_UNAVAILABLE and self._replan(now, actions):
            return
        self._after_failure(progress, failure, now, actions)

    def timer(self, kind: TimerKind, now: float, actions: list[Action]) -> None:
        """Act at a decision point."""
        if kind is TimerKind.HEDGE:
            self._hedge(now, actions)
        elif kind is TimerKind.RETRY:
            self._retry_due(now, actions)
        elif kind is TimerKind.SOFT:
            self._soft_deadline(now, actions)
        elif kind is TimerKind.HARD:
            self._hard_deadline(now, actions)

    def slot_freed(self, shard_id: str, now: float, actions: list[Action]) -> None:
        """Send for a shard whose turn has come."""
        progress = self._shards[shard_id]
        progress.waiter = None
        typical = self.service.latency_of(self.query.request_class).quantile(0.5, now) or 0.0
        if now + typical >= self.deadline and not progress.live:
            progress.exhausted = True
            progress.last_reason = Reason.OVERLOADED
        else:
            self._dispatch(progress, now, actions)
        self._finish_if_hopeless(now, actions)

    def abandon(self, now: float, actions: list[Action]) -> None:
        """Cancel everything: the caller is gone."""
        self._close(now, actions)

    # --- plan ---

    def _set_timers(self, actions: list[Action]) -> None:
        query_id = self.query.query_id
        actions.append(SetTimer(query_id, TimerKind.HARD, self.deadline))
        if self._serve.soft_wait_ms is not None:
            soft_at = self._arrived_at + self._serve.soft_wait_ms / 1000
            actions.append(SetTimer(query_id, TimerKind.SOFT, soft_at))

    def _plan(self, snapshot: Snapshot, now: float, actions: list[Action]) -> None:
        self._snapshot = snapshot
        shard_map = self.service.compiled.maps[snapshot.epoch]
        key_hash = self.query.key_hash
        shards = shard_map.shards if key_hash is None else (shard_map.shard_of(key_hash),)
        self._shards = {
            shard.id: ShardProgress(shard.id, shard.range, self.service.servers_of(snapshot.epoch, shard.id))
            for shard in shards
        }
        for progress in self._shards.values():
            self._dispatch(progress, now, actions)
        self._arm_hedge(now, actions)
        self._finish_if_hopeless(now, actions)

    def _newest_snapshot(self) -> Snapshot | None:
        servers, key_hash = self._context.servers, self.query.key_hash
        if key_hash is not None:
            return self.service.pin_for_key(servers, key_hash)
        return self.service.pin(servers)

    def _fully_held(self, snapshot: Snapshot) -> bool:
        """Whether every asked shard has a server known to hold ``snapshot``."""
        shard_map = self.service.compiled.maps[snapshot.epoch]
        key_hash = self.query.key_hash
        shards = shard_map.shards if key_hash is None else (shard_map.shard_of(key_hash),)
        return all(
            any_left(self.service.servers_of(snapshot.epoch, shard.id), snapshot, ()) for shard in shards
        )

    def _replan(self, now: float, actions: list[Action]) -> bool:
        """Start over once at another common snapshot; every old partial is discarded."""
        if self._replanned:
            return False
        snapshot = self._newest_snapshot()
        if snapshot is None or snapshot == self._snapshot or not self._fully_held(snapshot):
            return False
        verdict = self._verdict()
        if not self.query.repeatable and verdict is not Verdict.NOT_RUN:
            return False
        self._replanned = True
        self._discarded_verdict = verdict
        for progress in self._shards.values():
            self._release(progress, now, actions)
        self._plan(snapshot, now, actions)
        return True

    # --- attempts ---

    def _dispatch(
        self, progress: ShardProgress, now: float, actions: list[Action], hedge: bool = False
    ) -> None:
        """Send an attempt, wait for a slot, or give the shard up."""
        tried = [each.server.address for each in progress.live.values()] if not hedge else progress.tried
        context = self._context
        skipped = progress.tried if hedge else self._untried_first(progress, tried)
        server = choose_server(
            progress.servers, self._snapshot, skipped, context.options, context.random_source, now
        )
        if server is not None:
            self._send(progress, server, now, actions, hedge)
        elif not hedge and self._awaits_snapshot(progress):
            self._retry_later(progress, now, actions)
        elif not hedge:
            self._wait_or_give_up(progress, tried, now)

    def _untried_first(self, progress: ShardProgress, live: list[str]) -> list[str]:
        """Skip tried servers while an untried one is left; afterwards only those still asked."""
        return progress.tried if any_left(progress.servers, self._snapshot, progress.tried) else live

    def _send(
        self, progress: ShardProgress, server: ServerState, now: float, actions: list[Action], hedge: bool
    ) -> None:
        attempt_id = f"{self.query.query_id}.{next(self._sequence)}"
        self.service.count_attempt(extra=progress.sent)
        progress.tried.append(server.address)
        progress.live[attempt_id] = LiveAttempt(attempt_id, server, now, hedge)
        self._shard_of_attempt[attempt_id] = progress
        server.in_flight += 1
        self._context.attempt_owners[attempt_id] = self
        self._context.waiting.count_served(self.query.service, self.service.compiled.share)
        actions.append(SendAttempt(self._attempt(attempt_id, progress, server)))

    def _attempt(self, attempt_id: str, progress: ShardProgress, server: ServerState) -> Attempt:
        query = self.query
        return Attempt(
            attempt_id=attempt_id,
            query_id=query.query_id,
            address=server.address,
            service=query.service,
            shard_id=progress.shard_id,
            range=progress.range,
            snapshot=self._snapshot,
            request_class=query.request_class,
            payload=query.payload,
            deadline=self.deadline,
            repeatable=query.repeatable,
        )

    def _wait_or_give_up(self, progress: ShardProgress, live: list[str], now: float) -> None:
        key = (self.query.service, progress.shard_id)
        holds = any_left(progress.servers, self._snapshot, live)
        if holds and now < self.deadline and self._context.options.limits:
            waiting = self._context.waiting
            progress.waiter = waiting.enter(
                key, self.query.query_id, self._policy.priority, self.deadline, now
            )
        elif not progress.live:
            progress.exhausted = True
            progress.last_reason = progress.last_reason or Reason.NO_REPLICA

    def _end_attempt(self, progress: ShardProgress, attempt_id: str) -> LiveAttempt:
        """Forget an attempt; its server's slot is given back by the router."""
        del self._shard_of_attempt[attempt_id]
        return progress.live.pop(attempt_id)

    def _cancel_live(self, progress: ShardProgress, now: float, actions: list[Action]) -> None:
        for attempt in list(progress.live.values()):
            self._end_attempt(progress, attempt.attempt_id)
            attempt.server.outrun(now - attempt.sent_at)
            self._context.release(attempt.attempt_id, attempt.server)
            actions.append(CancelAttempt(attempt.attempt_id))

    def _release(self, progress: ShardProgress, now: float, actions: list[Action]) -> None:
        self._cancel_live(progress, now, actions)
        if progress.waiter is not None:
            self._context.waiting.leave((self.query.service, progress.shard_id), progress.waiter)
            progress.waiter = None

    # --- failures, retries, hedges ---

    def _after_failure(
        self, progress: ShardProgress, failure: Failure, now: float, actions: list[Action]
    ) -> None:
        progress.verdict = max(progress.verdict, failure.verdict)
        progress.last_reason = failure.reason
        if progress.live or progress.waiter is not None:
            return
        if not self._may_retry(progress, failure, now):
            progress.exhausted = True
            self._finish_if_complete(now, actions)
        elif any_left(progress.servers, self._snapshot, progress.tried):
            self._dispatch(progress, now, actions)
            self._finish_if_hopeless(now, actions)
        else:
            self._retry_later(progress, now, actions)

    def _retry_later(self, progress: ShardProgress, now: float, actions: list[Action]) -> None:
        progress.retry_due = True
        backoff = self._context.options.retry_backoff * max(1, len(progress.tried))
        backoff *= 0.5 + self._context.random_source.random()
        actions.append(SetTimer(self.query.query_id, TimerKind.RETRY, now + backoff))

    def _may_retry(self, progress: ShardProgress, failure: Failure, now: float) -> bool:
        options = self._context.options
        if not options.retries or now >= self.deadline or len(progress.tried) >= options.maximum_attempts:
            return False
        if not self.query.repeatable and progress.verdict is not Verdict.NOT_RUN:
            return False
        # What was declined without work put no load on anybody: trying elsewhere is free.
        return failure.reason in FREE_RETRY_REASONS or self.service.budget.take()

    def _retry_due(self, now: float, actions: list[Action]) -> None:
        if self._replan(now, actions):
            return
        for progress in self._shards.values():
            if not progress.retry_due or not progress.open:
                continue
            progress.retry_due = False
            if self._awaits_snapshot(progress):
                self._retry_later(progress, now, actions)
            else:
                self._dispatch(progress, now, actions)
        self._finish_if_hopeless(now, actions)

    def _awaits_snapshot(self, progress: ShardProgress) -> bool:
        """Whether no server of the shard holds the pinned snapshot any more, but others moved on.

        What the other shards hold is learnt from their replies; then the query re-plans.
        """
        if self._replanned or any_left(progress.servers, self._snapshot, ()):
            return False
        return any(each.usable and each.holdings for each in progress.servers)

    def _hedge_delay(self, now: float) -> float | None:
        hedge = self._serve.hedge
        if hedge is None or not self.query.repeatable or not self._context.options.hedging:
            return None
        observed = self.service.latency_of(self.query.request_class).quantile(hedge.quantile, now)
        return None if observed is None else max(observed, hedge.minimum_delay_ms / 1000)

    def _arm_hedge(self, now: float, actions: list[Action]) -> None:
        delay = self._hedge_delay(now)
        if delay is not None and now + delay < self.deadline:
            actions.append(SetTimer(self.query.query_id, TimerKind.HEDGE, now + delay))

    def _hedge(self, now: float, actions: list[Action]) -> None:
        delay = self._hedge_delay(now)
        if delay is None:
            return
        next_due: float | None = None
        for progress in self._shards.values():
            if not progress.open or len(progress.live) != 1:
                continue
            (attempt,) = progress.live.values()
            due = attempt.sent_at + delay
            if due > now + 1e-6:
                next_due = due if next_due is None else min(next_due, due)
            elif self._can_hedge(progress, now) and self.service.budget.take():
                self._dispatch(progress, now, actions, hedge=True)
        if next_due is not None and next_due < self.deadline:
            actions.append(SetTimer(self.query.query_id, TimerKind.HEDGE, next_due))

    def _can_hedge(self, progress: ShardProgress, now: float) -> bool:
        return any(
            each.may_take(now) and each.address not in progress.tried and self._snapshot in each.holdings
            for each in progress.servers
        )

    # --- ends ---

    def _coverage(self) -> Coverage:
        asked = [each.range for each in self._shards.values()]
        contributed = [each.range for each in self._shards.values() if each.partial is not None]
        return coverage_of(asked, contributed)

    def _possible_fraction(self) -> float:
        asked = [each.range for each in self._shards.values()]
        possible = [each.range for each in self._shards.values() if not each.exhausted]
        return coverage_of(asked, possible).fraction

    def _outcome_at(self, stage: Stage, coverage: Coverage, now: float) -> documents.Serve | documents.Refuse:
        elapsed_ms = (now - self._arrived_at) * 1000
        facts = replace(self._facts, stage=stage, covered=coverage.fraction, elapsed_ms=elapsed_ms)
        return self._policy.evaluate(facts).outcome

    def _minimum_coverage(self, serve: documents.Serve) -> float:
        return max(serve.minimum_coverage, self.query.minimum_coverage)

    def _finish_if_complete(self, now: float, actions: list[Action]) -> None:
        if not any(each.open for each in self._shards.values()):
            self._hard_deadline(now, actions)
        else:
            self._finish_if_hopeless(now, actions)

    def _finish_if_hopeless(self, now: float, actions: list[Action]) -> None:
        """Give up as soon as the least coverage is out of reach."""
        if self.finished or not any(each.exhausted for each in self._shards.values()):
            return
        nothing_open = not any(each.open for each in self._shards.values())
        if nothing_open or self._possible_fraction() < self._minimum_coverage(self._serve):
            self._hard_deadline(now, actions)

    def _soft_deadline(self, now: float, actions: list[Action]) -> None:
        coverage = self._coverage()
        outcome = self._outcome_at(Stage.SOFT, coverage, now)
        if isinstance(outcome, documents.Refuse) or outcome.soft_minimum_coverage is None:
            return
        if coverage.fraction >= max(outcome.soft_minimum_coverage, self.query.minimum_coverage):
            self._answer(coverage, now, actions)

    def _hard_deadline(self, now: float, actions: list[Action]) -> None:
        coverage = self._coverage()
        if coverage.fraction >= FULL_COVERAGE:
            self._answer(coverage, now, actions)
            return
        outcome = self._outcome_at(Stage.HARD, coverage, now)
        if isinstance(outcome, documents.Refuse):
            detail, retry_after_ms = outcome.refuse, outcome.retry_after_ms
            self._refuse(Reason.POLICY_REFUSED, coverage, now, actions, detail, retry_after_ms)
        elif coverage.covered_width > 0 and coverage.fraction >= self._minimum_coverage(outcome):
            self._answer(coverage, now, actions)
        elif now >= self.deadline:
            self._refuse(Reason.DEADLINE_EXCEEDED, coverage, now, actions)
        else:
            self._refuse(self._worst_reason(), coverage, now, actions)

    def _worst_reason(self) -> Reason:
        reasons = {each.last_reason for each in self._shards.values() if each.exhausted and each.last_reason}
        return next(iter(reasons)) if len(reasons) == 1 else Reason.COVERAGE_TOO_LOW

    def _verdict(self) -> Verdict:
        verdicts = [each.verdict_now() for each in self._shards.values()]
        return join([self._discarded_verdict, *verdicts])

    def _answer(self, coverage: Coverage, now: float, actions: list[Action]) -> None:
        results = [
            entry
            for each in self._shards.values()
            if each.partial is not None
            for entry in each.partial.entries
        ]
        snapshot = self._snapshot
        self._close(now, actions)
        actions.append(Answer(self.query.query_id, snapshot, coverage, results))

    def _refuse(
        self,
        reason: Reason,
        coverage: Coverage,
        now: float,
        actions: list[Action],
        detail: str = "",
        retry_after_ms: int = DEFAULT_RETRY_AFTER_MS,
    ) -> None:
        failure = Failure(reason, self._verdict(), detail, retry_after_ms)
        self._close(now, actions)
        actions.append(Refuse(self.query.query_id, failure, coverage))

    def _close(self, now: float, actions: list[Action]) -> None:
        self.finished = True
        for progress in self._shards.values():
            self._release(progress, now, actions)
