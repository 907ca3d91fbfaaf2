"""Admission: refuse at once what could only be answered too late.

A refusal here has run nowhere and says when to come back: by then the queue that stands now has
been served.
"""

from yokesill.routing.messages import QueryRequest
from yokesill.routing.options import RoutingOptions
from yokesill.routing.waiting import ShardKey, WaitingQueue
from yokesill.verdict import Failure, Reason, Verdict

HIGHEST_PRIORITY = 9
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
    """Return why the query is refused, or ``None`` to admit it.

    A queue may take only a share of the time that is left: what has waited for long is likely to
    be given up later, when work for it was already done. The lower the priority, the smaller the
    share and the shorter the queue, so that what matters least is refused first.
    """
    if query.deadline <= now:
        return Failure(Reason.DEADLINE_EXCEEDED, Verdict.NOT_RUN, "the deadline had passed on arrival")
    rank = (priority + 1) / (HIGHEST_PRIORITY + 1)
    too_long = longest_queue >= options.waiting_bound * rank
    remaining = deadline - now
    too_late = delay > 0.0 and (
        delay > remaining * options.waiting_share * rank or delay + tail_latency > remaining
    )
    if not too_long and not too_late:
        return None
    retry_after_ms = max(MINIMUM_RETRY_AFTER_MS, int(delay * 1000))
    detail = f"{longest_queue} waiting, {delay * 1000:.0f} ms expected"
    return Failure(Reason.OVERLOADED, Verdict.NOT_RUN, detail, retry_after_ms)
