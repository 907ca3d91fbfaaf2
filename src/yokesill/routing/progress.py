"""The progress of one shard within a query."""

from dataclasses import dataclass, field

from yokesill.resources.hashing import HashRange
from yokesill.routing.messages import Partial
from yokesill.routing.servers import ServerState
from yokesill.routing.waiting import Waiter
from yokesill.verdict import Reason, Verdict


@dataclass(slots=True)
class LiveAttempt:
    """An attempt that has not ended; ``sent_at_s`` is in seconds."""

    attempt_id: str
    server: ServerState
    sent_at_s: float


@dataclass(slots=True)
class ShardProgress:
    """Attempts, reply and failures of one shard of a query under its pinned snapshot."""

    shard_id: str
    range: HashRange
    servers: tuple[ServerState, ...]
    tried: list[str] = field(default_factory=list)
    live: dict[str, LiveAttempt] = field(default_factory=dict)
    waiter: Waiter | None = None
    partial: Partial | None = None
    exhausted: bool = False
    retry_due: bool = False
    verdict: Verdict = Verdict.NOT_RUN
    last_reason: Reason | None = None

    @property
    def open(self) -> bool:
        """Whether the shard may still contribute."""
        return self.partial is None and not self.exhausted

    @property
    def sent(self) -> bool:
        """Whether any attempt was sent."""
        return bool(self.tried)

    def verdict_now(self) -> Verdict:
        """Return the joined verdict of the ended attempts and the live ones, which may have run."""
        if self.partial is not None:
            return Verdict.RAN
        return max(self.verdict, Verdict.MAY_HAVE_RUN) if self.live else self.verdict
