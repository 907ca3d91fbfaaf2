"""The queue of shards that wait for a free slot of a server.

Waiters are kept by shard and snapshot, so a server with a free slot is only offered what it can serve. The
highest priority goes first; within a priority, the namespace that has received the least relative to its
share; within a namespace, the earliest deadline. The recent service interval of a queue gives the expected
wait (in seconds) that admission uses.
"""

import heapq
import itertools
from dataclasses import dataclass, field

from yokesill.resources.keys import ServiceName
from yokesill.routing.messages import Snapshot

ShardKey = tuple[ServiceName, str, Snapshot]
# Weight of the newest interval between two served waiters in its moving average, which follows a change
# within some five waiters.
INTERVAL_WEIGHT = 0.2


@dataclass(order=True, slots=True)
class Waiter:
    """One shard of one query, waiting since ``since_s`` (seconds)."""

    order: tuple[int, float, int]
    query_id: str = field(compare=False)
    shard_id: str = field(compare=False)
    since_s: float = field(compare=False)
    abandoned: bool = field(default=False, compare=False)


class WaitingQueue:
    """All waiters of a node, with recent service intervals."""

    def __init__(self) -> None:
        self._queues: dict[ShardKey, list[Waiter]] = {}
        self._counts: dict[ShardKey, int] = {}
        self._charges: dict[str, float] = {}
        self._sequence = itertools.count()
        self._intervals: dict[ShardKey, float] = {}
        self._served_at: dict[ShardKey, float] = {}

    def add(self, key: ShardKey, query_id: str, priority: int, deadline: float, now: float) -> Waiter:
        """Add a waiter for the shard ``key``."""
        order = (-priority, deadline, next(self._sequence))
        waiter = Waiter(order, query_id, key[1], now)
        heapq.heappush(self._queues.setdefault(key, []), waiter)
        self._counts[key] = self._counts.get(key, 0) + 1
        return waiter

    def remove(self, key: ShardKey, waiter: Waiter) -> None:
        """Remove a waiter that has not been served."""
        if not waiter.abandoned:
            waiter.abandoned = True
            self._counts[key] -= 1

    def evict(self, key: ShardKey) -> list[Waiter]:
        """Remove all waiters of ``key``, whose snapshot a server no longer holds; return them."""
        waiters = [each for each in self._queues.pop(key, []) if not each.abandoned]
        self._counts.pop(key, None)
        return waiters

    def length(self, key: ShardKey) -> int:
        """Return the number of waiters for the shard ``key``."""
        return self._counts.get(key, 0)

    def delay(self, key: ShardKey, now: float) -> float:
        """Return the expected wait of a new waiter in seconds: queue length times recent service interval.

        It is at least as long as the first waiter has waited, so that a stalled queue is noticed.
        """
        head = self._head(key)
        if head is None:
            return 0.0
        expected = (self.length(key) + 1) * self._intervals.get(key, 0.0)
        return max(expected, now - head.since_s)

    def pop_next(self, keys: set[ShardKey], now: float) -> Waiter | None:
        """Remove and return the next waiter among those for ``keys``."""
        heads = [(key, head) for key in keys if (head := self._head(key)) is not None]
        if not heads:
            return None
        key, waiter = min(heads, key=lambda each: self._sort_key(*each))
        heapq.heappop(self._queues[key])
        self._counts[key] -= 1
        self._update_interval(key, waiter, now)
        return waiter

    def _update_interval(self, key: ShardKey, waiter: Waiter, now: float) -> None:
        """Update the service interval: the time since the last served waiter, or since this one was added."""
        since = max(self._served_at.get(key, 0.0), waiter.since_s)
        interval = self._intervals.get(key, 0.0)
        self._intervals[key] = interval + INTERVAL_WEIGHT * (now - since - interval)
        self._served_at[key] = now

    def charge_namespace(self, name: ServiceName, share: float) -> None:
        """Charge a namespace for one attempt; the charge is inversely proportional to its share."""
        floor = min(self._charges.values(), default=0.0)
        current = max(self._charges.get(name.namespace, floor), floor)
        self._charges[name.namespace] = current + 1.0 / share

    def _sort_key(self, key: ShardKey, waiter: Waiter) -> tuple[int, float, float, int]:
        priority, deadline, sequence = waiter.order
        return (priority, self._charges.get(key[0].namespace, 0.0), deadline, sequence)

    def _head(self, key: ShardKey) -> Waiter | None:
        queue = self._queues.get(key)
        while queue:
            if not queue[0].abandoned:
                return queue[0]
            heapq.heappop(queue)
        return None
