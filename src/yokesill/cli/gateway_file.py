"""Schema of a gateway file (TOML): node, routes and servers of a gateway that runs without a registry."""

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

from yokesill.gateway.documents import (
    Configuration,
    Gather,
    Route,
    ServerRecord,
    ServiceLimits,
    Split,
    WeightedService,
)
from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.serving.settings import Address, GatewaySettings, SettingsProblem

IpAndPort = Annotated[str, StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
UNUSED_ADDRESS = Address("0.0.0.0", 0)


class Table(BaseModel):
    """Base of all tables: immutable, rejects unknown keys."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class NodeTable(Table):
    """Name, zone and addresses of the node."""

    name: str = Field(min_length=1, description="the node's name in logs")
    zone: str = Field(default="main", description="the zone that it stands in")
    callers: IpAndPort = Field(description="IP:PORT for callers")
    probes: IpAndPort = Field(description="IP:PORT for readiness (/ready) and figures (/metrics)")
    stop_grace_seconds: float = Field(default=6.0, ge=0.5, le=3600, description="bound of a planned stop")


class BudgetTable(Table):
    """Budget of extra attempts per service: ``ratio`` of its requests plus ``allowance`` per window."""

    ratio: float = Field(default=0.1, ge=0, le=10)
    allowance: float = Field(default=10.0, ge=0, le=1_000_000)
    window_seconds: float = Field(default=10.0, ge=1, le=3600)


class SplitTable(Table):
    """One weighted service of a split."""

    service: str
    weight: float = Field(gt=0)


class RouteTable(Table):
    """One route: ``gather`` asks one server of each service, ``split`` one server of one service."""

    name: str = Field(min_length=1)
    host: str = Field(min_length=1)
    prefix: str = Field(pattern=r"^/.*")
    repeatable: bool = True
    timeout_ms: float = Field(gt=0)
    target_ms: float = Field(gt=0)
    attempts: int = Field(default=2, ge=1, le=100)
    priority: int = Field(default=5, ge=0)
    gather: tuple[str, ...] = ()
    greatest: int = Field(default=100, ge=1)
    minimum_coverage: float = Field(default=1.0, ge=0, le=1)
    split: tuple[SplitTable, ...] = ()

    def document(self) -> Route:
        """Return the gateway's document of this route."""
        destination: Gather | Split
        if self.gather:
            destination = Gather(self.gather, self.greatest, self.minimum_coverage)
        else:
            destination = Split(tuple(WeightedService(part.service, part.weight) for part in self.split))
        times = (self.timeout_ms / 1000, self.target_ms / 1000)
        host = self.host.lower()
        return Route(
            self.name, host, self.prefix, self.repeatable, *times, self.attempts, self.priority, destination
        )


class ServerTable(Table):
    """One server instance."""

    instance: str = Field(min_length=1)
    service: str
    address: IpAndPort
    zone: str = "main"
    slots: int = Field(default=2, ge=1)

    def document(self) -> ServerRecord:
        """Return the gateway's record of this server."""
        host, _, port = self.address.rpartition(":")
        return ServerRecord(self.instance, self.service, host, int(port), self.zone, self.slots)


class GatewayFile(Table):
    """The whole file; a change takes effect only with a higher ``version``."""

    version: int = Field(ge=1)
    node: NodeTable
    budget: BudgetTable = BudgetTable()
    connections_a_server: int = Field(default=32, ge=1, le=100_000)
    routes: tuple[RouteTable, ...] = Field(min_length=1)
    servers: tuple[ServerTable, ...] = ()

    def settings(self) -> GatewaySettings:
        """Return the node's settings."""
        return GatewaySettings(
            node=self.node.name,
            zone=self.node.zone,
            callers=_address(self.node.callers),
            probes=_address(self.node.probes),
            registry=UNUSED_ADDRESS,
            budget=BudgetLimits(self.budget.ratio, self.budget.allowance, self.budget.window_seconds),
            stop_grace_s=self.node.stop_grace_seconds,
        )

    def configuration(self) -> Configuration:
        """Return the configuration: routes and limits per service."""
        routes = tuple(route.document() for route in self.routes)
        limits = {name: ServiceLimits(self.connections_a_server) for each in routes for name in each.services}
        return Configuration(self.version, routes, limits)

    def records(self) -> tuple[ServerRecord, ...]:
        """Return the records of all servers."""
        return tuple(server.document() for server in self.servers)


def read_gateway_file(path: Path) -> GatewayFile | list[SettingsProblem]:
    """Read and validate a file; return all problems with their locations."""
    try:
        parsed = GatewayFile.model_validate(tomllib.loads(path.read_text()))
    except OSError as error:
        return [SettingsProblem(str(path), error.strerror or "cannot be read")]
    except tomllib.TOMLDecodeError as error:
        return [SettingsProblem("(file)", str(error))]
    except ValidationError as error:
        return [SettingsProblem(".".join(map(str, each["loc"])), each["msg"]) for each in error.errors()]
    return _check_routes(parsed) or parsed


def _check_routes(parsed: GatewayFile) -> list[SettingsProblem]:
    listed_services = {server.service for server in parsed.servers}
    problems = []
    for index, route in enumerate(parsed.routes):
        place = f"routes.{index}"
        if bool(route.gather) == bool(route.split):
            problems.append(SettingsProblem(place, "exactly one of gather and split is needed"))
        names = {*route.gather, *(part.service for part in route.split)}
        for name in sorted(names - listed_services):
            problems.append(SettingsProblem(place, f"no server of service {name!r} is listed"))
    return problems


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
