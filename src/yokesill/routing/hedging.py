"""Hedging: a second attempt for a shard whose first attempt is late.

An attempt is late once it has taken longer than a quantile of its class's recent latency and at least
``minimum_delay_ms``; the policy sets both. A hedge is sent if the query is repeatable, the policy and the
node allow hedges, the shard has exactly one live attempt, an untried server can accept a request, and the
service's budget has an extra attempt left. At the 0.95 quantile hedges used the whole extra load of 5%
without a failure, at 0.97 they use 3% with the same p99 (docs/design/limits.md).
"""

from typing import Any

from yokesill.resources import documents
from yokesill.routing.context import RoutingContext
from yokesill.routing.events import Action, SetTimer, TimerKind
from yokesill.routing.fanout import Fanout
from yokesill.routing.messages import QueryRequest
from yokesill.routing.service import ServiceState

# A timer that fires early by this much counts as due, because of floating-point rounding.
TIMER_SLACK_S = 1e-6


class Hedging:
    """The hedges of one query under its policy; ``deadline_at_s`` is in seconds of the node's clock."""

    def __init__(
        self,
        policy: documents.Hedge | None,
        query: QueryRequest,
        service: ServiceState,
        context: RoutingContext[Any],
        deadline_at_s: float,
    ) -> None:
        self._policy = policy
        self._query = query
        self._service = service
        self._context = context
        self._deadline_at_s = deadline_at_s

    def arm(self, now: float, actions: list[Action]) -> None:
        """Set the hedge timer for attempts that are sent now."""
        delay = self._delay(now)
        if delay is not None and now + delay < self._deadline_at_s:
            actions.append(SetTimer(self._query.query_id, TimerKind.HEDGE, now + delay))

    def hedge_late(self, fanout: Fanout, now: float, actions: list[Action]) -> None:
        """Hedge late attempts, and set the timer for those that are not late yet."""
        delay = self._delay(now)
        if delay is None:
            return
        next_due = self._deadline_at_s
        for progress in fanout.shards():
            if not progress.open or len(progress.live) != 1:
                continue
            (attempt,) = progress.live.values()
            due = attempt.sent_at_s + delay
            if due > now + TIMER_SLACK_S:
                next_due = min(next_due, due)
            elif fanout.can_hedge(progress, now) and self._service.budget.take():
                fanout.hedge(progress, now, actions)
        if next_due < self._deadline_at_s:
            actions.append(SetTimer(self._query.query_id, TimerKind.HEDGE, next_due))

    def _delay(self, now: float) -> float | None:
        """Return the time (s) after which an attempt is late; ``None`` when hedging is not possible."""
        if self._policy is None or not self._query.repeatable or not self._context.options.hedging:
            return None
        observed = self._service.latency_of(self._query.request_class).quantile(self._policy.quantile, now)
        return None if observed is None else max(observed, self._policy.minimum_delay_ms / 1000)
