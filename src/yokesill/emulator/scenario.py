"""Scenario files: the stand-ins to run, and the configuration documents that match them."""

from pathlib import Path
from typing import Any

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from yokesill.emulator.faults import ServerFaults
from yokesill.emulator.server_model import ServerProfile
from yokesill.resources.documents import Name, RequestClass
from yokesill.resources.hashing import split_key_space
from yokesill.resources.validation import DocumentError


class Part(BaseModel):
    """Base of all parts: immutable, rejects unknown keys."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class Load(Part):
    """Load of one request class; ``rate`` in queries per second."""

    request_class: str = Field(alias="class")
    rate: float = Field(gt=0)
    keyed: bool = False
    repeatable: bool = True
    deadline_ms: float = Field(default=1000, gt=0)


class ScenarioService(Part):
    """One service: ``shards`` shards of ``replicas`` servers each."""

    name: Name
    shards: int = Field(ge=1, le=4096)
    replicas: int = Field(ge=1, le=64)
    slots: int = Field(default=3, ge=1, le=1000)
    queue_bound: int = Field(default=16, ge=1)
    connections: int = Field(default=90, ge=1)
    service_time_ms: float = Field(default=4.0, gt=0)
    records: int = Field(default=64, ge=1)
    classes: dict[str, RequestClass]
    extra_load_budget: float = Field(default=0.05, ge=0, le=1)
    load: tuple[Load, ...] = ()


class FaultEvent(Part):
    """Faults set at ``at`` seconds on the matching servers and cleared at ``until``, if given.

    A server matches on ``service``, ``replica`` and ``shard``; ``None`` matches all.
    """

    at: float = Field(ge=0)
    until: float | None = None
    service: str | None = None
    replica: int | None = None
    shard: int | None = None
    faults: ServerFaults


class Scenario(Part):
    """A deployment with its stand-ins, load and faults."""

    name: str
    namespace: Name
    zones: tuple[Name, ...] = Field(min_length=1)
    zone_delay_ms: float = Field(default=1.0, ge=0)
    connection_cost_ms: float = Field(default=1.0, ge=0)
    services: tuple[ScenarioService, ...] = Field(min_length=1)
    events: tuple[FaultEvent, ...] = ()


class PlacedServer(BaseModel):
    """A server of the scenario with its shard and replica index."""

    profile: ServerProfile
    shard_index: int
    replica_index: int
    connections: int


def load_scenario(path: Path) -> Scenario | list[DocumentError]:
    """Read a scenario file; return all errors with their locations."""
    try:
        return Scenario.model_validate(yaml.safe_load(path.read_text()))
    except (OSError, yaml.YAMLError) as error:
        return [DocumentError(str(path), str(error))]
    except ValidationError as error:
        return [DocumentError(".".join(map(str, each["loc"])), each["msg"]) for each in error.errors()]


def place_servers(scenario: Scenario, host: str, first_port: int) -> list[PlacedServer]:
    """Give every server an address and a zone; a shard's replicas are spread over the zones."""
    placed: list[PlacedServer] = []
    port = first_port
    for service in scenario.services:
        for shard_index in range(service.shards):
            for replica_index in range(service.replicas):
                zone = scenario.zones[(shard_index + replica_index) % len(scenario.zones)]
                profile = ServerProfile(
                    address=f"{host}:{port}",
                    service=service.name,
                    zone=zone,
                    slots=service.slots,
                    queue_bound=service.queue_bound,
                    service_time=service.service_time_ms / 1000,
                    records=service.records,
                )
                placed.append(
                    PlacedServer(
                        profile=profile,
                        shard_index=shard_index,
                        replica_index=replica_index,
                        connections=service.connections,
                    )
                )
                port += 1
    return placed


def documents_of(scenario: Scenario, placed: list[PlacedServer]) -> dict[str, dict[str, Any]]:
    """Return the configuration documents by key, in the order in which they must be applied."""
    root = f"namespaces/{scenario.namespace}"
    documents: dict[str, dict[str, Any]] = {root: {"kind": "namespace", "description": scenario.name}}
    for service in scenario.services:
        key = f"{root}/services/{service.name}"
        ranges = split_key_space(service.shards)
        shards = [
            {"id": f"s{index}", "range": {"start": each.start, "end": each.end}}
            for index, each in enumerate(ranges)
        ]
        documents[key] = {
            "kind": "service",
            "shard_maps": [{"epoch": 1, "shards": shards}],
            "classes": {name: each.model_dump(mode="json") for name, each in service.classes.items()},
            "extra_load_budget": service.extra_load_budget,
        }
        for index in range(service.shards):
            shard_servers = [
                p for p in placed if p.profile.service == service.name and p.shard_index == index
            ]
            replicas = [
                {"address": p.profile.address, "zone": p.profile.zone, "connections": p.connections}
                for p in shard_servers
            ]
            documents[f"{key}/replicas/1/s{index}"] = {"kind": "replicaset", "replicas": replicas}
    return documents
