"""Admission control: a query that would wait too long is refused on arrival.

The decision depends on the query's deadline and priority, the expected wait of its slowest shard, the 0.9
quantile of its class's latency (in seconds) and the length of its longest queue. A refusal is ``NOT_RUN``;
its Retry-After is the expected wait, after which the current queue has been served. Shares and bounds are set
in ``RoutingOptions``. The effect of admission at 1.5 times the capacity is described in
docs/design/limits.md.
"""

from yokesill.routing.messages import QueryRequest
from yokesill.routing.options import RoutingOptions
from yokesill.routing.waiting import ShardKey, WaitingQueue
from yokesill.verdict import Failure, Reason, Verdict

# Priorities in a policy range from 0 to 9 (``resources.documents``).
HIGHEST_PRIORITY = 9
# With a shorter delay, callers would retry before a slot is free.
MINIMUM_RETRY_AFTER_MS = 50


def queue_delay(waiting: WaitingQueue, keys: list[ShardKey], now: float) -> float:
    """Return the longest expected wait among the shards, in seconds."""
    return max((waiting.delay(key, now) for key in keys), default=0.0)


def admit(
    query: QueryRequest,
    deadline: float,
    priority: int,
    delay: float,
    tail_latency: float,
    longest_queue: int,
    options: RoutingOptions,
    now: float,
) -> Failure | None:
    """Return the failure that refuses the query, or ``None`` to admit it.

    Waiting may use only a share of the remaining time: a query that has waited for long is likely to be given
    up later, after servers have worked on it. The lower the priority, the smaller the share and the shorter
    the queue, so the least urgent queries are refused first.
    """
    if query.deadline_at_s <= now:
        return Failure(Reason.DEADLINE_EXCEEDED, Verdict.NOT_RUN, "the deadline had passed on arrival")
    priority_factor = (priority + 1) / (HIGHEST_PRIORITY + 1)
    queue_full = longest_queue >= options.waiting_bound * priority_factor
    remaining = deadline - now
    too_late = delay > 0.0 and (
        delay > remaining * options.waiting_share * priority_factor or delay + tail_latency > remaining
    )
    if not queue_full and not too_late:
        return None
    retry_after_ms = max(MINIMUM_RETRY_AFTER_MS, int(delay * 1000))
    detail = f"{longest_queue} waiting, {delay * 1000:.0f} ms expected"
    return Failure(Reason.OVERLOADED, Verdict.NOT_RUN, detail, retry_after_ms)
