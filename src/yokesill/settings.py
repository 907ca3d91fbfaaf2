"""Settings of a node, from one TOML file: every key has a type, a range and a description.

Unknown keys are errors.
"""

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

from yokesill.membership.detector import DetectorOptions
from yokesill.resources.documents import Name
from yokesill.resources.validation import DocumentError
from yokesill.routing.options import RoutingOptions, thin_options

Address = Annotated[str, StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Sha256 = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
HexKey = Annotated[str, StringConstraints(pattern=r"^([0-9a-f]{2}){16,64}$")]


class Section(BaseModel):
    """Base class of all sections: immutable, and unknown keys are errors."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class NodeSection(Section):
    """Identity and location of this node."""

    address: Address = Field(description="IP:PORT for callers, operators and peers (TCP and UDP)")
    zone: Name = Field(description="the zone that the machine stands in")
    region: Name = Field(default="main", description="the region of the zone; each has its own watchers")
    seeds: tuple[Address, ...] = Field(default=(), description="addresses of some other nodes")
    seed: int | None = Field(default=None, description="seed of all randomness; unset: from the system")


class StoreSection(Section):
    """The platform's object API."""

    url: str = Field(pattern=r"^http://", description="where the object API listens")
    timeout_seconds: float = Field(default=2.0, gt=0, le=60, description="bound of each call")


class ClusterSection(Section):
    """Communication between nodes."""

    keys: tuple[HexKey, ...] = Field(min_length=1, description="shared keys; the first seals, any opens")
    probe_interval_seconds: float = Field(default=1.0, ge=0.05, le=60, description="between probes")
    isolation_seconds: float = Field(
        default=5.0, gt=0, le=3600, description="silence that counts as isolation"
    )


class AdministrationSection(Section):
    """Access for the first operator, before any token is stored."""

    token_sha256: Sha256 = Field(description="hex SHA-256 of the bootstrap administrator's token")


class RoutingSection(Section):
    """The data path; the defaults are suitable for production."""

    hedging: bool = Field(default=True, description="whether policies' hedges are sent")
    thin: bool = Field(default=False, description="the baseline: one random replica and no protection")
    connections_a_server: int = Field(
        default=32, ge=1, le=10_000, description="most connections to one server"
    )
    waiting_bound: int = Field(default=64, ge=1, le=100_000, description="most queries waiting for one shard")
    health_interval_seconds: float = Field(
        default=5.0, gt=0, le=3600, description="a server silent for so long is asked for its health"
    )

    def options(self, zone: str) -> RoutingOptions:
        """Return the router's options."""
        if self.thin:
            return thin_options(zone)
        return RoutingOptions(zone=zone, hedging=self.hedging, waiting_bound=self.waiting_bound)


class LimitsSection(Section):
    """Limits on requests of callers and operators, and on a planned stop."""

    body_bytes: int = Field(default=1_048_576, ge=1024, le=67_108_864, description="largest request body")
    deadline_ms: int = Field(default=60_000, ge=1, le=3_600_000, description="longest deadline of a query")
    drain_seconds: float = Field(
        default=60.0, ge=0, le=3600, description="longest wait for requests in flight at a planned stop"
    )
    lame_duck_seconds: float = Field(
        default=1.0, ge=0, le=300, description="how long a stopping node still takes requests"
    )


class LogSection(Section):
    """Logging."""

    level: str = Field(default="info", pattern="^(debug|info|warning|error)$", description="least level")


class Settings(Section):
    """All settings of a node."""

    node: NodeSection
    store: StoreSection
    cluster: ClusterSection
    administration: AdministrationSection
    routing: RoutingSection = RoutingSection()
    limits: LimitsSection = LimitsSection()
    logs: LogSection = LogSection()

    def detector_options(self) -> DetectorOptions:
        """Return the failure detector's options."""
        interval = self.cluster.probe_interval_seconds
        return DetectorOptions(
            probe_interval=interval, probe_timeout=0.3 * interval, gossip_interval=0.2 * interval
        )


def parse_settings(text: str) -> Settings | list[DocumentError]:
    """Parse settings from TOML text; return every error with its place."""
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return [DocumentError("(file)", str(error))]
    try:
        return Settings.model_validate(values)
    except ValidationError as error:
        return [
            DocumentError(".".join(str(part) for part in each["loc"]), each["msg"]) for each in error.errors()
        ]


def load_settings(path: Path) -> Settings | list[DocumentError]:
    """Load the settings file at ``path``; return every error with its place."""
    try:
        return parse_settings(path.read_text())
    except OSError as error:
        return [DocumentError(str(path), error.strerror or "cannot be read")]
