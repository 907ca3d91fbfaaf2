"""A simulated deployment of nodes, servers, store and network, with fault injection."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc

from simulation.edges import MemoryBackendClient, MemoryStore
from simulation.network import MemoryTransport, Network
from yokesill.emulator.scenario import Scenario, documents_of, place_servers
from yokesill.emulator.server_model import ServerModel
from yokesill.emulator.store_model import StoreModel
from yokesill.node import Node
from yokesill.query.calls import QueryCall
from yokesill.query.driver import FinalAnswer
from yokesill.resources.keys import ServiceName
from yokesill.settings import Settings

SERVER_HOST = "10.1.0.0"
FIRST_SERVER_PORT = 1
NODE_PORT = 7101
POLL_INTERVAL_S = 0.05
CLUSTER_KEY = "5a" * 32


@dataclass(slots=True)
class RunningNode:
    """A node with its clients and the cancel scope that kills it."""

    node: Node
    store: MemoryStore
    backends: MemoryBackendClient
    scope: anyio.CancelScope
    stopped: bool = False


@dataclass(slots=True)
class SimulatedCluster:
    """One simulated deployment; create it within a running task group."""

    scenario: Scenario
    task_group: anyio.abc.TaskGroup
    random_source: random.Random
    store_model: StoreModel = field(default_factory=StoreModel)
    nodes: dict[str, RunningNode] = field(default_factory=dict)
    models: dict[str, ServerModel] = field(default_factory=dict)
    documents: dict[str, dict[str, Any]] = field(default_factory=dict)
    settings_changes: dict[str, dict[str, Any]] = field(default_factory=dict)
    _network: Network | None = None
    _incarnation: int = 1000

    def __post_init__(self) -> None:
        self._network = Network(self.random_source, self.task_group)
        placed = place_servers(self.scenario, SERVER_HOST, FIRST_SERVER_PORT)
        for each in placed:
            seed = self.random_source.random()
            model = ServerModel(each.profile, random.Random(seed), {(1, 1)})
            model.started_at = float("-inf")
            self.models[each.profile.address] = model
        self.documents = documents_of(self.scenario, placed)

    @property
    def network(self) -> Network:
        """The network between the nodes."""
        assert self._network is not None
        return self._network

    # --- nodes ---

    def address_of(self, index: int) -> str:
        """Return the address of the ``index``-th node."""
        return f"10.0.{index // 250}.{index % 250 + 1}:{NODE_PORT}"

    def zone_of(self, index: int) -> str:
        """Return the zone of the ``index``-th node."""
        return self.scenario.zones[index % len(self.scenario.zones)]

    def start_node(self, index: int) -> RunningNode:
        """Start or restart a node, without any retained state and with a higher incarnation."""
        address, zone = self.address_of(index), self.zone_of(index)
        self._incarnation += 1000
        source = random.Random(self.random_source.random())
        store = MemoryStore(self.store_model)
        backends = MemoryBackendClient(self.models, zone, source)
        settings = self._settings(address, zone)
        self.network.down.discard(address)
        transport = MemoryTransport(address, zone, self.network)
        node = Node(settings, store, transport, backends, source, self._incarnation)
        running = RunningNode(node, store, backends, anyio.CancelScope())
        self.nodes[address] = running
        self.task_group.start_soon(self._run, running)
        return running

    def kill_node(self, index: int) -> None:
        """Stop a node abruptly, like the loss of its machine."""
        address = self.address_of(index)
        self.network.down.add(address)
        self.nodes.pop(address).scope.cancel()

    def node(self, index: int) -> Node:
        """Return the ``index``-th node."""
        return self.nodes[self.address_of(index)].node

    def cut(self, zone: str) -> None:
        """Cut a zone off from every other zone and from the store, which belongs to no zone."""
        for other in self.scenario.zones:
            if other != zone:
                self.network.cut(zone, other)
        for running in self.nodes.values():
            own_zone = running.node.table.own.zone
            if own_zone == zone:
                running.store.reachable = False
                running.backends.cut_zones = set(self.scenario.zones) - {zone}
            else:
                running.backends.cut_zones.add(zone)

    def heal(self) -> None:
        """Remove every cut."""
        self.network.heal()
        for running in self.nodes.values():
            running.store.reachable = True
            running.backends.cut_zones.clear()

    async def _run(self, running: RunningNode) -> None:
        with running.scope:
            await running.node.run()
            running.stopped = True
            self.network.down.add(running.node.table.own.address)

    def _settings(self, address: str, zone: str) -> Settings:
        values: dict[str, dict[str, Any]] = {
            "node": {"address": address, "zone": zone, "seeds": [self.address_of(0), self.address_of(1)]},
            "store": {"url": "http://store"},
            "cluster": {"keys": [CLUSTER_KEY]},
            "administration": {"token_sha256": "0" * 64},
        }
        for section, changes in self.settings_changes.items():
            values.setdefault(section, {}).update(changes)
        return Settings.model_validate(values)

    # --- helpers ---

    async def until(self, condition: Callable[[], object], limit: float) -> float:
        """Wait until ``condition()`` holds; return the seconds waited.

        Raises ``TimeoutError`` after ``limit`` seconds.
        """
        started = anyio.current_time()
        with anyio.fail_after(limit):
            while not condition():
                await anyio.sleep(POLL_INTERVAL_S)
        return anyio.current_time() - started

    async def start(self, count: int, limit: float = 30.0) -> None:
        """Write the configuration, start ``count`` nodes and wait until all of them are settled."""
        for key, value in self.documents.items():
            await self.store_model.put(key, 0, f"setup-{key}", value)
        for index in range(count):
            self.start_node(index)
        await self.until(self.settled, limit)

    def settled(self) -> bool:
        """Whether every node is ready, lists every other, is up to date, and has its servers' holdings."""
        return all(
            running.node.ready
            and len(running.node.table.serving()) == len(self.nodes)
            and running.node.replica.state.revision == self.store_model.revision
            and all(server.holdings for server in running.node.router.servers.all())
            for running in self.nodes.values()
        )

    def call(
        self,
        service: str,
        request_class: str,
        key: str | None = None,
        repeatable: bool = True,
        deadline_ms: float = 1000.0,
        idempotency_key: str | None = None,
        minimum_coverage: float = 0.0,
    ) -> QueryCall:
        """Return a caller's request for a service of the scenario."""
        return QueryCall(
            service=ServiceName(self.scenario.namespace, service),
            request_class=request_class,
            payload={"select": "all"},
            size=20,
            key=key,
            deadline_ms=deadline_ms,
            repeatable=repeatable,
            minimum_coverage=minimum_coverage,
            idempotency_key=idempotency_key,
        )

    async def query(self, index: int, call: QueryCall) -> FinalAnswer:
        """Send a request to the ``index``-th node."""
        return await self.node(index).query(call)
