"""What a query, an attempt and a partial answer are."""

from dataclasses import dataclass
from typing import Any

from yokesill.resources.hashing import HashRange
from yokesill.resources.keys import ServiceName


@dataclass(frozen=True, slots=True, order=True)
class Snapshot:
    """One state of a service's index: a shard map's epoch and an index version of it."""

    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """A caller's request as the router sees it.

    ``deadline_at_s`` is absolute, in seconds of the node's clock. ``key_hash`` is ``None`` when all
    shards are asked. ``payload`` is opaque and goes to the back ends as it is.
    """

    query_id: str
    service: ServiceName
    request_class: str
    payload: Any
    size: int
    deadline_at_s: float
    repeatable: bool
    key_hash: int | None = None
    minimum_coverage: float = 0.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """One sub-request to one server; ``deadline_at_s`` is absolute, in seconds."""

    attempt_id: str
    query_id: str
    address: str
    service: ServiceName
    shard_id: str
    range: HashRange
    snapshot: Snapshot
    request_class: str
    payload: Any
    deadline_at_s: float
    repeatable: bool


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a server says of its load; it may lag or mislead."""

    slots: int
    active: int
    queued: int


@dataclass(frozen=True, slots=True)
class ServerReport:
    """What a reply or a health check tells of a server besides the answer."""

    incarnation: str
    holdings: frozenset[Snapshot] | None = None
    load: LoadReport | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Partial:
    """One shard's part of an answer, as the server labelled it."""

    attempt_id: str
    snapshot: Snapshot
    range: HashRange
    entries: list[Any]
    truncated: bool = False


@dataclass(frozen=True, slots=True)
class Coverage:
    """What part of the asked key space contributed; ``missing`` are the ranges that did not."""

    asked_width: int
    covered_width: int
    missing: tuple[HashRange, ...]

    @property
    def fraction(self) -> float:
        """The covered share of what was asked, in ``[0, 1]``."""
        return self.covered_width / self.asked_width if self.asked_width else 0.0
