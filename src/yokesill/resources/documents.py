"""The configuration documents: namespaces, tokens, services and replica sets.

A service and its policies form one document, so that they take effect together or not at all. The
replicas of each shard form a separate document, so that a change to one server transfers about a
kilobyte instead of the whole service.
"""

import enum
import re
from typing import Annotated, Any, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Discriminator,
    Field,
    StringConstraints,
    Tag,
    field_validator,
    model_validator,
)

from yokesill.resources.hashing import KEY_SPACE, HashRange

NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
ADDRESS_PATTERN = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")

Name = Annotated[str, StringConstraints(pattern=NAME_PATTERN)]


class Document(BaseModel):
    """Base class of all documents: immutable, with unknown keys rejected."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class Role(enum.StrEnum):
    """Permissions of a token's holder in its namespace."""

    CALLER = "caller"
    VIEWER = "viewer"
    EDITOR = "editor"
    ADMIN = "admin"


class Namespace(Document):
    """A team's namespace; ``share`` is its weight relative to others when capacity is short."""

    kind: Literal["namespace"] = "namespace"
    description: str = ""
    share: float = Field(default=1.0, gt=0, le=1000)


class Token(Document):
    """A bearer token, stored as the hex SHA-256 of its secret."""

    kind: Literal["token"] = "token"
    sha256: Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
    role: Role


class Shard(Document):
    """One shard: its id and the range of key hashes that it holds."""

    id: Name
    range: HashRange


class ShardMap(Document):
    """Partition of the key space into shards in one epoch, without gaps or overlaps."""

    epoch: int = Field(ge=1)
    shards: tuple[Shard, ...] = Field(min_length=1, max_length=4096)

    @model_validator(mode="after")
    def _check_key_space_coverage(self) -> "ShardMap":
        position = 0
        for shard in sorted(self.shards, key=lambda each: each.range.start):
            if shard.range.start != position:
                word = "gap" if shard.range.start > position else "overlap"
                raise ValueError(
                    f"shard map epoch {self.epoch}: {word} at {position} before shard {shard.id}"
                )
            position = shard.range.end
        if position != KEY_SPACE:
            raise ValueError(
                f"shard map epoch {self.epoch}: gap at {position}, the key space ends at {KEY_SPACE}"
            )
        if len({shard.id for shard in self.shards}) != len(self.shards):
            raise ValueError(f"shard map epoch {self.epoch}: two shards share an id")
        return self


class Hedge(Document):
    """When a request is hedged to a second replica.

    The hedge is sent once the ``quantile`` of recent latency has passed, and no earlier than
    ``minimum_delay_ms``.
    """

    quantile: float = Field(default=0.95, ge=0.5, lt=1)
    minimum_delay_ms: float = Field(default=2, ge=0)


class ZonePreference(enum.StrEnum):
    """Which replicas are tried first."""

    NEAR = "near"
    ANY = "any"


class Serve(Document):
    """A rule's outcome: serve the request within these limits.

    ``wait_ms`` is the maximum wait (the caller's deadline may be shorter). After ``soft_wait_ms`` an
    answer that covers at least ``soft_minimum_coverage`` is returned; at the end of the wait, one that
    covers at least ``minimum_coverage``.
    """

    wait_ms: float = Field(default=140, gt=0, le=600_000)
    zone: ZonePreference = ZonePreference.NEAR
    hedge: Hedge | None = None
    minimum_coverage: float = Field(default=1.0, ge=0, le=1)
    soft_wait_ms: float | None = Field(default=None, gt=0)
    soft_minimum_coverage: float | None = Field(default=None, ge=0, le=1)

    @model_validator(mode="after")
    def _check_limits(self) -> "Serve":
        if (self.soft_wait_ms is None) != (self.soft_minimum_coverage is None):
            raise ValueError("soft_wait_ms and soft_minimum_coverage go together")
        if self.soft_wait_ms is not None and self.soft_wait_ms >= self.wait_ms:
            raise ValueError(f"soft_wait_ms {self.soft_wait_ms} is not below wait_ms {self.wait_ms}")
        if self.soft_minimum_coverage is not None and self.soft_minimum_coverage < self.minimum_coverage:
            raise ValueError(
                "soft_minimum_coverage is below minimum_coverage: the wait after it gains nothing"
            )
        if self.hedge and self.hedge.minimum_delay_ms >= self.wait_ms:
            raise ValueError(f"hedge.minimum_delay_ms is not below wait_ms {self.wait_ms}: it never fires")
        return self


class Refuse(Document):
    """A rule's outcome: refuse the request at once, with the delay before a retry."""

    refuse: Annotated[str, StringConstraints(min_length=1, max_length=200)]
    retry_after_ms: int = Field(default=1000, ge=0, le=3_600_000)


def _outcome_tag(value: Any) -> str:
    """Return the tag of the intended outcome, so that an error is reported once, not per alternative."""
    refuses = "refuse" in value if isinstance(value, dict) else isinstance(value, Refuse)
    return "Refuse" if refuses else "Serve"


class Rule(Document):
    """One rule: a CEL condition over facts of the request and live facts, and its outcome."""

    when: Annotated[str, StringConstraints(min_length=1, max_length=500)] = "true"
    then: Annotated[
        Annotated[Serve, Tag("Serve")] | Annotated[Refuse, Tag("Refuse")], Discriminator(_outcome_tag)
    ]


class RequestClass(Document):
    """A class of requests and its policy: the first rule whose condition holds applies.

    When capacity is short, classes of higher ``priority`` are refused last.
    """

    priority: int = Field(default=5, ge=0, le=9)
    rules: tuple[Rule, ...] = Field(min_length=1, max_length=50)


class WhenIsolated(enum.StrEnum):
    """Behaviour of a node that cannot confirm with any other that its configuration is fresh."""

    SERVE = "serve"
    REFUSE = "refuse"


class Service(Document):
    """A service: its shard maps (several during a repartitioning) and its request classes."""

    kind: Literal["service"] = "service"
    shard_maps: tuple[ShardMap, ...] = Field(min_length=1, max_length=4)
    classes: dict[Name, RequestClass] = Field(min_length=1, max_length=64)
    extra_load_budget: float = Field(default=0.05, ge=0, le=1)
    when_isolated: WhenIsolated = WhenIsolated.SERVE
    subset_size: int = Field(default=2, ge=1, le=64)

    @field_validator("shard_maps")
    @classmethod
    def _check_unique_epochs(cls, maps: tuple[ShardMap, ...]) -> tuple[ShardMap, ...]:
        if len({each.epoch for each in maps}) != len(maps):
            raise ValueError("two shard maps share an epoch")
        return maps


class Replica(Document):
    """One server that holds a shard."""

    address: str
    zone: Name
    connections: int = Field(default=90, ge=1, le=100_000)

    @field_validator("address")
    @classmethod
    def _check_address(cls, address: str) -> str:
        if not ADDRESS_PATTERN.match(address):
            raise ValueError(f"{address!r} is not of the form IP:PORT")
        return address


class ReplicaSet(Document):
    """The servers that hold one shard in one epoch."""

    kind: Literal["replicaset"] = "replicaset"
    replicas: tuple[Replica, ...] = Field(max_length=256)

    @field_validator("replicas")
    @classmethod
    def _check_unique_addresses(cls, replicas: tuple[Replica, ...]) -> tuple[Replica, ...]:
        if len({each.address for each in replicas}) != len(replicas):
            raise ValueError("two replicas share an address")
        return replicas


AnyDocument = Annotated[Namespace | Token | Service | ReplicaSet, Field(discriminator="kind")]
