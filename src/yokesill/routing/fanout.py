"""The shards of one query under one pinned snapshot: attempts, waiters, coverage and verdict.

``dispatch`` decides which server an attempt goes to, and when a shard waits or is given up. A re-plan starts
a new fan-out.
"""

import itertools
from collections.abc import Iterable
from typing import Any, Protocol

from yokesill.routing.context import RoutingContext
from yokesill.routing.coverage import coverage_of
from yokesill.routing.events import Action, CancelAttempt, SendAttempt
from yokesill.routing.messages import Attempt, Coverage, Partial, QueryRequest, Snapshot
from yokesill.routing.progress import LiveAttempt, ShardProgress
from yokesill.routing.selection import choose_server, has_candidate
from yokesill.routing.servers import ServerState
from yokesill.routing.service import ServiceState
from yokesill.routing.waiting import ShardKey
from yokesill.verdict import Reason, Verdict, join


class FanoutOwner(Protocol):
    """What a fan-out needs of its query; ``deadline_at_s`` is in seconds."""

    query: QueryRequest
    service: ServiceState
    priority: int
    prefer_near: bool
    deadline_at_s: float


class Fanout:
    """The sub-requests of one query; a re-plan closes this fan-out and starts a new one."""

    def __init__(
        self,
        owner: FanoutOwner,
        snapshot: Snapshot,
        context: RoutingContext[Any],
        attempt_numbers: "itertools.count[int]",
    ) -> None:
        self.snapshot = snapshot
        self._owner = owner
        self._context = context
        self._attempt_numbers = attempt_numbers
        self._shard_of_attempt: dict[str, ShardProgress] = {}
        self._shards = {
            shard.id: ShardProgress(shard.id, shard.range, self._service.servers_of(snapshot.epoch, shard.id))
            for shard in self._service.requested_shards(snapshot, self._query.key_hash)
        }
        self._open = len(self._shards)
        self._exhausted = 0

    @property
    def _query(self) -> QueryRequest:
        return self._owner.query

    @property
    def _service(self) -> ServiceState:
        return self._owner.service

    # --- progress and result ---

    def shards(self) -> Iterable[ShardProgress]:
        """Return the progress of all shards, in the order of their hash ranges."""
        return self._shards.values()

    def shard(self, shard_id: str) -> ShardProgress:
        """Return the progress of one shard."""
        return self._shards[shard_id]

    def has_attempt(self, attempt_id: str) -> bool:
        """Whether the attempt is live and belongs to this fan-out."""
        return attempt_id in self._shard_of_attempt

    def shard_of(self, attempt_id: str) -> ShardProgress:
        """Return the shard of a live attempt."""
        return self._shard_of_attempt[attempt_id]

    @property
    def any_open(self) -> bool:
        """Whether some shard may still contribute."""
        return self._open > 0

    @property
    def any_exhausted(self) -> bool:
        """Whether some shard was given up."""
        return self._exhausted > 0

    def merge(self, progress: ShardProgress, partial: Partial) -> None:
        """Store a valid shard reply and close its shard."""
        progress.partial = partial
        self._open -= 1

    def give_up(self, progress: ShardProgress, reason: Reason) -> None:
        """Give up an open shard; the reason of an earlier failure is kept."""
        progress.exhausted = True
        progress.last_reason = progress.last_reason or reason
        self._open -= 1
        self._exhausted += 1

    def coverage(self) -> Coverage:
        """Return the coverage reached so far."""
        return self._coverage_of(each for each in self.shards() if each.partial is not None)

    def possible_coverage(self) -> Coverage:
        """Return the coverage that can still be reached."""
        return self._coverage_of(each for each in self.shards() if not each.exhausted)

    def verdict(self) -> Verdict:
        """Return the joined verdict of all attempts."""
        return join(each.verdict_now() for each in self.shards())

    def entries(self) -> list[object]:
        """Return the merged entries of the shard replies, in the order of their ranges."""
        parts = [each.partial for each in self.shards() if each.partial is not None]
        return [entry for part in parts for entry in part.entries]

    def give_up_reason(self) -> Reason:
        """Return the reason shared by all shards that were given up, else ``COVERAGE_TOO_LOW``."""
        reasons = {each.last_reason for each in self.shards() if each.exhausted and each.last_reason}
        return next(iter(reasons)) if len(reasons) == 1 else Reason.COVERAGE_TOO_LOW

    def defect(self, partial: Partial) -> Reason | None:
        """Return why a shard reply must not be merged, or ``None`` if it is valid."""
        if partial.truncated:
            return Reason.MALFORMED_REPLY
        progress = self.shard_of(partial.attempt_id)
        if partial.snapshot != self.snapshot or partial.range != progress.range:
            return Reason.FOREIGN_REPLY
        return None

    # --- attempts ---

    def dispatch(self, progress: ShardProgress, now: float, actions: list[Action]) -> None:
        """Send an attempt, wait for a slot, or give up the shard."""
        live = [each.server.address for each in progress.live.values()]
        skipped = progress.tried if self.any_untried(progress) else live
        server = self._choose(progress, skipped, now)
        if server is not None:
            self._send(progress, server, now, actions)
        elif has_candidate(progress.servers, self.snapshot, live) and self._may_wait(now):
            self._wait(progress, now)
        elif not progress.live:
            self.give_up(progress, Reason.NO_REPLICA)

    def hedge(self, progress: ShardProgress, now: float, actions: list[Action]) -> None:
        """Send one more attempt, to a server that was not tried yet."""
        server = self._choose(progress, progress.tried, now)
        if server is not None:
            self._send(progress, server, now, actions)

    def send_unconfirmed(self, progress: ShardProgress, now: float, actions: list[Action]) -> bool:
        """Send to an untried server that is not known to hold the snapshot; it declines if it doesn't.

        Returns ``False`` when there is no untried server that can accept a request.
        """
        untried = [each for each in progress.servers if each.address not in progress.tried]
        ready = [each for each in untried if each.can_accept(now)]
        if not ready:
            return False
        self._send(progress, min(ready, key=lambda each: each.reported_at_s), now, actions)
        return True

    def can_hedge(self, progress: ShardProgress, now: float) -> bool:
        """Whether some untried server holds the snapshot and can accept one more request."""
        return any(
            each.can_accept(now) and each.address not in progress.tried and self.snapshot in each.holdings
            for each in progress.servers
        )

    def any_untried(self, progress: ShardProgress) -> bool:
        """Whether some server of the shard that holds the snapshot was not tried yet."""
        return has_candidate(progress.servers, self.snapshot, progress.tried)

    def dropped_by_all(self, progress: ShardProgress) -> bool:
        """Whether no server of the shard holds the snapshot any more, while some server holds another one."""
        if has_candidate(progress.servers, self.snapshot, ()):
            return False
        return any(each.usable and each.holdings for each in progress.servers)

    def end_attempt(self, attempt_id: str) -> tuple[ShardProgress, LiveAttempt]:
        """Remove and return an attempt; the router releases its server's slot."""
        progress = self._shard_of_attempt.pop(attempt_id)
        return progress, progress.live.pop(attempt_id)

    def cancel_live(self, progress: ShardProgress, now: float, actions: list[Action]) -> None:
        """Cancel the live attempts of a shard and release their slots."""
        for attempt in list(progress.live.values()):
            self.end_attempt(attempt.attempt_id)
            attempt.server.record_cancelled(now - attempt.sent_at_s)
            self._context.release(attempt.attempt_id, attempt.server)
            actions.append(CancelAttempt(attempt.attempt_id))

    def close(self, now: float, actions: list[Action]) -> None:
        """Cancel all live attempts and remove all waiters."""
        for progress in self.shards():
            self.cancel_live(progress, now, actions)
            if progress.waiter is not None:
                self._context.waiting.remove(self._key(progress), progress.waiter)
                progress.waiter = None

    def _coverage_of(self, contributing: Iterable[ShardProgress]) -> Coverage:
        return coverage_of([each.range for each in self.shards()], [each.range for each in contributing])

    def _choose(self, progress: ShardProgress, skipped: list[str], now: float) -> ServerState | None:
        context = self._context
        return choose_server(
            progress.servers,
            self.snapshot,
            skipped,
            context.options,
            context.random_source,
            now,
            self._owner.prefer_near,
        )

    def _send(self, progress: ShardProgress, server: ServerState, now: float, actions: list[Action]) -> None:
        attempt_id = f"{self._query.query_id}.{next(self._attempt_numbers)}"
        self._service.count_attempt(extra=progress.sent)
        progress.tried.append(server.address)
        progress.live[attempt_id] = LiveAttempt(attempt_id, server, now)
        self._shard_of_attempt[attempt_id] = progress
        server.in_flight += 1
        self._context.attempt_owners[attempt_id] = self._owner
        self._context.waiting.charge_namespace(self._query.service, self._service.compiled.share)
        actions.append(SendAttempt(self._attempt(attempt_id, progress, server)))

    def _attempt(self, attempt_id: str, progress: ShardProgress, server: ServerState) -> Attempt:
        query = self._query
        return Attempt(
            attempt_id=attempt_id,
            query_id=query.query_id,
            address=server.address,
            service=query.service,
            shard_id=progress.shard_id,
            range=progress.range,
            snapshot=self.snapshot,
            request_class=query.request_class,
            payload=query.payload,
            deadline_at_s=self._owner.deadline_at_s,
            repeatable=query.repeatable,
        )

    def _may_wait(self, now: float) -> bool:
        return self._context.options.limits and now < self._owner.deadline_at_s

    def _wait(self, progress: ShardProgress, now: float) -> None:
        owner = self._owner
        progress.waiter = self._context.waiting.add(
            self._key(progress), self._query.query_id, owner.priority, owner.deadline_at_s, now
        )

    def _key(self, progress: ShardProgress) -> ShardKey:
        return (self._query.service, progress.shard_id, self.snapshot)
