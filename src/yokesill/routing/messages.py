"""Queries, attempts, server reports, partial answers and their coverage."""

from dataclasses import dataclass
from typing import Any

from yokesill.resources.hashing import HashRange
from yokesill.resources.keys import ServiceName


@dataclass(frozen=True, slots=True, order=True)
class Snapshot:
    """One state of a service's index: the epoch of its shard map and an index version within it."""

    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """A caller's request as the router sees it.

    ``deadline_at_s`` is absolute, in seconds of the node's clock. ``key_hash`` is ``None`` when the query
    goes to all shards. ``payload`` is opaque and passed to the back ends unchanged.
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
    """The load that a server reports about itself; it may be stale or wrong."""

    slots: int
    active: int
    queued: int


@dataclass(frozen=True, slots=True)
class ServerReport:
    """What a reply or a health check reports about its server, besides the answer."""

    incarnation: str
    holdings: frozenset[Snapshot] | None = None
    load: LoadReport | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Partial:
    """One shard's part of an answer, with the snapshot and range that the server named."""

    attempt_id: str
    snapshot: Snapshot
    range: HashRange
    entries: list[Any]
    truncated: bool = False


@dataclass(frozen=True, slots=True)
class Coverage:
    """How much of the requested key space contributed; ``missing`` lists the ranges that did not."""

    asked_width: int
    covered_width: int
    missing: tuple[HashRange, ...]

    @property
    def fraction(self) -> float:
        """The covered share of the requested key space, in ``[0, 1]``."""
        return self.covered_width / self.asked_width if self.asked_width else 0.0
