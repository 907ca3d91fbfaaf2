"""Starts stand-ins in the caller's event loop."""

import random

import anyio
import anyio.abc

from yokesill.emulator.faults import ServerFaults
from yokesill.emulator.record_server import RecordServer
from yokesill.emulator.scenario import FaultEvent, PlacedServer, Scenario
from yokesill.emulator.server_http import ServerApp
from yokesill.emulator.server_model import ServerModel
from yokesill.emulator.store_http import create_store_app
from yokesill.emulator.store_model import StoreModel
from yokesill.frontend.server import EmbeddedServer, create_server

START_POLL_S = 0.01


async def start_server(app: object, host: str, port: int, task_group: anyio.abc.TaskGroup) -> EmbeddedServer:
    """Start a server for ``app``; returns once it listens."""
    server = create_server(app, host, port)
    task_group.start_soon(server.serve)
    while not server.started:
        await anyio.sleep(START_POLL_S)
    return server


def build_models(placed: list[PlacedServer], random_source: random.Random) -> dict[str, ServerModel]:
    """Return a model for each placed server, by address."""
    return {
        each.profile.address: ServerModel(
            each.profile, random.Random(random_source.random()), {(1, 1)}, incarnation="1"
        )
        for each in placed
    }


async def start_backends(
    scenario: Scenario, models: dict[str, ServerModel], task_group: anyio.abc.TaskGroup
) -> list[EmbeddedServer]:
    """Start a server for each model at its address."""
    servers = []
    for address, model in models.items():
        host, _, port = address.rpartition(":")
        model.started_at = anyio.current_time()
        app = ServerApp(model, scenario.connection_cost_ms / 1000)
        servers.append(await start_server(app, host, int(port), task_group))
    return servers


async def start_record_servers(servers: dict[str, RecordServer], task_group: anyio.abc.TaskGroup) -> None:
    """Start the record servers at their addresses."""
    for address, app in servers.items():
        host, _, port = address.rpartition(":")
        await start_server(app, host, int(port), task_group)


async def start_store(
    model: StoreModel, host: str, port: int, task_group: anyio.abc.TaskGroup
) -> EmbeddedServer:
    """Start the store's stand-in."""
    return await start_server(create_store_app(model), host, port, task_group)


async def run_events(scenario: Scenario, placed: list[PlacedServer], models: dict[str, ServerModel]) -> None:
    """Set and clear the scenario's faults at their times, counted from now."""
    started = anyio.current_time()
    steps = [(event.at, event, event.faults) for event in scenario.events]
    steps += [(each.until, each, ServerFaults()) for each in scenario.events if each.until is not None]
    for at, event, faults in sorted(steps, key=lambda step: step[0]):
        await anyio.sleep(max(0.0, started + at - anyio.current_time()))
        for each in placed:
            if _matches(event, each):
                models[each.profile.address].set_faults(faults.model_copy())


def _matches(event: FaultEvent, placed: PlacedServer) -> bool:
    wanted = (
        (event.service, placed.profile.service),
        (event.shard, placed.shard_index),
        (event.replica, placed.replica_index),
    )
    return all(expected is None or expected == actual for expected, actual in wanted)
