"""Wires one node together; the only place that knows every part."""

import random
from collections.abc import Awaitable, Callable

import anyio

from yokesill.access import Access
from yokesill.backends.base import BackendClient
from yokesill.backends.health import HealthChecker
from yokesill.backends.subsetting import SubsetPlanner
from yokesill.charts.lifecycle import Lifecycle
from yokesill.cluster.gossip import Gossip
from yokesill.cluster.leaving import LeavingServers
from yokesill.cluster.sync import Synchroniser
from yokesill.cluster.watcher import StoreWatcher
from yokesill.comm.base import Transport
from yokesill.comm.sealing import Sealer
from yokesill.logs import get_logger
from yokesill.membership.records import MemberRecord, MemberStatus
from yokesill.membership.rumors import ServerNotice
from yokesill.membership.table import MemberTable
from yokesill.metrics import Metrics
from yokesill.query.calls import QueryCall
from yokesill.query.driver import FinalAnswer, QueryDriver
from yokesill.query.service import QueryService
from yokesill.replication import messages as msg
from yokesill.replication.catalog import Catalog
from yokesill.replication.replica import ConfigurationReplica
from yokesill.resources.keys import ServiceName
from yokesill.resources.objects import StoredObject
from yokesill.routing.events import AnnounceLeaving, ServerLeaving, ServiceInstalled, ServiceRemoved
from yokesill.routing.router import Router
from yokesill.settings import Settings
from yokesill.store.base import Store
from yokesill.supervision import Supervisor
from yokesill.verdict import Failure, Reason, Verdict

# Before a starting node asks store and peers again.
BARRIER_PAUSE_S = 0.3
# How soon a draining node notices that it is idle.
IDLE_CHECK_S = 0.02
SERVING_STATES = frozenset({"serving", "lame_duck"})


class Node:
    """One node, from its settings and its ways to the outside."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        transport: Transport,
        backends: BackendClient,
        random_source: random.Random,
        incarnation: int,
    ) -> None:
        own = settings.node
        self.settings = settings
        self.store = store
        self.lifecycle = Lifecycle("node")
        self.metrics = Metrics()
        self.supervisor = Supervisor(self._part_failed)
        self.transport = transport
        self.sealer = Sealer([bytes.fromhex(each) for each in settings.cluster.keys])
        record = MemberRecord(own.address, own.zone, own.region, incarnation, MemberStatus.ALIVE)
        self.table = MemberTable(record)
        self.replica = ConfigurationReplica()
        self.subsets = SubsetPlanner(self.table)
        self.catalog = Catalog(self.replica.state, self.subsets.choose)
        self.access = Access(self.catalog, settings.administration.token_sha256)
        self.gossip = Gossip(
            transport, self.sealer, self.table, self.replica, random_source, settings.detector()
        )
        self.sync = Synchroniser(transport, self.sealer, self.gossip, self.replica, random_source)
        self.watcher = StoreWatcher(store, self.gossip, self.table, random_source)
        self.router = Router(settings.routing.options(own.zone), random_source)
        self.driver = QueryDriver(self.router, backends, self._announce_leaving_server, self.supervisor)
        self.health = HealthChecker(
            self.router, backends, self.driver, settings.routing.health_interval_seconds
        )
        self.queries = QueryService(
            self.catalog,
            self.driver,
            self.metrics,
            self.table,
            transport,
            self.sealer,
            self._not_accepting,
            lambda: self.isolated,
            self.supervisor,
        )
        self.leaving_servers = LeavingServers(self.gossip, self._tell_router, self._incarnation_of)
        self.close_listener: Callable[[], Awaitable[None]] = _nothing_to_close
        self._backends = backends
        self._resync_wanted = anyio.Event()
        self._stop_wanted = anyio.Event()
        self._log = get_logger("node")
        self.gossip.on_change = self._configuration_changed
        self.gossip.on_server = self.leaving_servers.learn
        self.gossip.known_leaving = self.leaving_servers.all
        self.gossip.on_pause = self._paused
        transport.serve(self.gossip.handle_datagram, self._peer_request)

    # --- life cycle ---

    async def run(self) -> None:
        """Start, pass the barrier and serve; returns once a planned stop is complete."""
        parts: dict[str, Callable[[], Awaitable[None]]] = {
            "transport": self.transport.run,
            "driver": self.driver.run,
            "keyed_queries": self.queries.owned.run,
            "gossip": self.gossip.run,
            "start": self._barrier,
            "resynchronisation": self._resynchronise_when_wanted,
            "membership": self._follow_membership,
        }
        async with anyio.create_task_group() as task_group:
            for name, run in parts.items():
                task_group.start_soon(self.supervisor.keep_running, name, run)
            await self._stop_wanted.wait()
            await self._drain()
            task_group.cancel_scope.cancel()

    def stop(self) -> None:
        """Begin a planned stop; ``run`` returns when it is complete."""
        self._stop_wanted.set()

    @property
    def accepting(self) -> bool:
        """Whether new requests are taken."""
        return self.lifecycle.state in SERVING_STATES

    @property
    def ready(self) -> bool:
        """Whether callers should come here: serving and not about to stop."""
        return self.lifecycle.state == "serving"

    async def _barrier(self) -> None:
        """Learn the configuration from peers of several zones, and from the store, before serving."""
        seeds = list(self.settings.node.seeds)
        while True:
            loaded = await self.watcher.load()
            if loaded:
                await self._learn_machines(seeds)
            answered = await self.sync.barrier(seeds) if seeds else 0
            if answered or loaded:
                break
            self._log.info("barrier_waits", reason="neither the store nor a peer answered")
            await anyio.sleep(BARRIER_PAUSE_S)
        self.gossip.rumors.add(self.table.own)
        self._configuration_changed()
        self._enter("synchronised")
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self.supervisor.keep_running, "synchronisation", self.sync.run)
            task_group.start_soon(self.supervisor.keep_running, "store", self.watcher.run)
            task_group.start_soon(self.supervisor.keep_running, "health", self.health.run)

    async def _learn_machines(self, seeds: list[str]) -> None:
        """Take further seeds from the platform's machine list."""
        machines = await self.store.machines()
        if isinstance(machines, Failure):
            return
        known = {self.table.own.address, *seeds}
        nodes = [each.address for each in machines if each.kind == "node" and not each.leaving]
        seeds.extend(address for address in nodes if address not in known)

    async def _drain(self) -> None:
        """Lame duck, then drain: nothing in flight is cut off."""
        limits = self.settings.limits
        if self._enter("stop") == "lame_duck":
            await self.supervisor.run_once("gossip", self.gossip.announce_leaving)
            await anyio.sleep(limits.lame_duck_seconds)
            self._enter("announced")
        await self.supervisor.run_once("listener", self.close_listener)
        with anyio.move_on_after(limits.drain_seconds) as bound:
            while self.queries.in_flight or self.router.queries_in_flight:
                await anyio.sleep(IDLE_CHECK_S)
        self._enter("drain_time_over" if bound.cancelled_caught else "idle")

    def _enter(self, event: str) -> str:
        before = self.lifecycle.state
        state = self.lifecycle.handle(event)
        if state != before:
            self._log.info("state", node=self.table.own.address, before=before, state=state)
        return state

    def _part_failed(self, part: str) -> None:
        failures = self.supervisor.failures[part]
        self.metrics.gauge(f"yokesill_failures_{part}", "How often this part began anew", failures)

    def _paused(self) -> None:
        """After a pause the configuration is confirmed before new requests are taken."""
        self._enter("paused")
        self._resync_wanted.set()

    async def _resynchronise_when_wanted(self) -> None:
        while True:
            await self._resync_wanted.wait()
            self._resync_wanted = anyio.Event()
            alone = not self.table.peers()
            while not await self.sync.barrier([], 1) and not await self.watcher.load() and not alone:
                await anyio.sleep(BARRIER_PAUSE_S)
            self._enter("synchronised")

    async def _follow_membership(self) -> None:
        """Choose subsets anew when members came or went."""
        seen = self.table.version
        while True:
            await anyio.sleep(1.0)
            self.table.expire(anyio.current_time())
            if self.table.version == seen:
                continue
            seen = self.table.version
            if await self.subsets.replan(self.replica.state):
                self._install(self.catalog.recompile_all())

    # --- configuration ---

    def _configuration_changed(self) -> None:
        self._install(self.catalog.refresh(self.replica.take_changed()))

    def _install(self, names: list[ServiceName]) -> None:
        for name in names:
            service = self.catalog.services.get(name)
            self.driver.feed(ServiceRemoved(name) if service is None else ServiceInstalled(service))
        for notice in self.leaving_servers.all():
            self._tell_router(notice)

    async def take_into_force(self, stored: StoredObject) -> list[str]:
        """Take a committed object into force here and hand it to peers; return who has it."""
        if self.gossip.merge_objects([stored], anyio.current_time()):
            self._configuration_changed()
        return await self.sync.push([stored])

    def reached_another_zone(self, addresses: list[str]) -> bool:
        """Whether some address is of another zone, or there is no other zone to reach."""
        own_zone = self.table.own.zone
        others = {each.address for each in self.table.peers() if each.zone != own_zone}
        return not others or bool(others.intersection(addresses))

    @property
    def isolated(self) -> bool:
        """Whether nobody outside this zone (or nobody at all) confirmed freshness lately."""
        since = anyio.current_time() - self.settings.cluster.isolation_seconds
        if self.watcher.confirmed_at >= since:
            return False
        peers = self.table.peers()
        if not peers:
            return True
        other_zones = any(each.zone != self.table.own.zone for each in peers)
        return not self.gossip.detector.heard_since(since, other_zones)

    # --- leaving servers ---

    def _announce_leaving_server(self, action: AnnounceLeaving) -> None:
        self.leaving_servers.learn(ServerNotice(action.address, action.incarnation))

    def _tell_router(self, notice: ServerNotice) -> None:
        self.driver.feed(ServerLeaving(notice.address, notice.incarnation))

    def _incarnation_of(self, address: str) -> str:
        server = self.router.servers.get(address)
        return server.incarnation if server is not None else ""

    # --- queries ---

    async def query(self, call: QueryCall) -> FinalAnswer:
        """Answer a caller's request, or refuse it at once."""
        return await self.queries.answer(call)

    def _not_accepting(self) -> str | None:
        return None if self.accepting else f"the node is {self.lifecycle.state}"

    # --- peers ---

    async def _peer_request(self, kind: str, frame: bytes) -> bytes | Failure:
        body = self.sealer.open(frame)
        if body is None:
            return Failure(Reason.MALFORMED_REPLY, Verdict.NOT_RUN, "a forged frame")
        answer = self._answer_status() if kind == msg.STATUS else self.sync.answer(kind, body)
        if answer is None:
            answer = await self.queries.answer_peer(kind, body)
        if isinstance(answer, Failure):
            return answer
        return self.sealer.seal(answer)

    def own_status(self) -> msg.StatusReply:
        """Return what this node has in force."""
        own, state = self.table.own, self.replica.state
        return msg.StatusReply(
            own.address, own.zone, self.lifecycle.state, state.digest, state.revision, self.watcher.watching
        )

    def _answer_status(self) -> bytes:
        return msg.encode_status(self.own_status())


async def _nothing_to_close() -> None:
    """The listener of a node without one, as in simulations."""
