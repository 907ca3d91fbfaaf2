"""A simulated zone of nodes that follow one store in virtual time, with roles, datagrams and faults."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from conftest import run_virtual
from memory_servers import MemoryServer, MemoryStream, ReceivedRequest
from store_standin import StoreStandin

from yokesill.gateway import events as ev
from yokesill.gateway.documents import Configuration, ServerRecord
from yokesill.platform.feeds import configuration_feed, evacuation_feed, quarantine_feed, server_feed
from yokesill.platform.names import POSITION_KIND
from yokesill.platform.rollouts import read_order, rollout_feed
from yokesill.platform.store import MetadataStore, item_of
from yokesill.registry.api_client import ApiClient
from yokesill.registry.availability import RegistryAvailability
from yokesill.registry.feed_states import (
    CONFIGURATION,
    EVACUATIONS,
    QUARANTINE,
    ROLLOUTS,
    SERVERS,
    WholeFeed,
)
from yokesill.registry.feeds import Feed, NodeContact
from yokesill.registry.follower import FeedFollower
from yokesill.registry.position_check import PositionCheck
from yokesill.registry.reopenings import ReopenedZones
from yokesill.registry.zone_watch import ZoneWatch
from yokesill.rollouts.orders import RolloutOrder
from yokesill.serving.settings import Address
from yokesill.verdict import Failure, Reason, Verdict
from yokesill.watchers.role import WatchRole
from yokesill.watchers.timing import WatchTiming

CHANGE_BOUND_S = 3.0
COALESCE_S = 0.9
UNREACHABLE = Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, "unreachable")
CONFIG: dict[str, Any] = {
    "routes": [],
    "services": [],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


def most_checks(seconds: float) -> int:
    """Return how many checks one node makes in some seconds at most: one an interval, with its jitter."""
    return 1 + int(seconds / (0.9 * WatchTiming.within(CHANGE_BOUND_S).check_interval_s))


class ZoneNode:
    """One node with its state and its faults.

    ``store_mode`` is how the store answers it: ``up``, ``busy`` (503) or ``silent``. With ``drops_datagrams``
    it receives no datagrams; if ``dead`` it was killed; while ``paused`` it sends and receives nothing.
    ``can_fetch`` is whether it can call other nodes. Its calls for objects of ``silent_kind`` are never
    answered.
    """

    def __init__(self, zone: "Zone", number: int, cores: float = 0.5) -> None:
        host = f"10.0.0.{number + 1}"
        self.contact = NodeContact(f"n{number}", "z1", f"{host}:1", f"{host}:2", f"{host}:3", cores)
        self.zone = zone
        self.store_mode = "up"
        self.silent_kind = ""
        self.drops_datagrams = self.dead = self.paused = False
        self.can_fetch = True
        self.fetched: list[str] = []
        self.version = 0
        self.went_back = False
        self.servers: dict[str, ServerRecord] = {}
        self.configuration: Configuration | None = None
        self.evacuated: frozenset[str] = frozenset()
        # Reopened zones whose servers this node treats as cold.
        self.unread_zones: frozenset[str] = frozenset()
        self.orders: dict[str, RolloutOrder] = {}
        self.quarantined: frozenset[str] = frozenset()
        self.full_price_calls = self.exact_checks = 0
        server = MemoryServer(self._script, zone.tasks)
        store = MetadataStore(ApiClient(Address("10.9.9.9", 80), server.connect))
        source = random.Random(number)
        timing = WatchTiming.within(CHANGE_BOUND_S)
        feeds: dict[str, Feed] = {
            CONFIGURATION: configuration_feed(store),
            SERVERS: server_feed(store),
            EVACUATIONS: evacuation_feed(store),
        }
        if zone.with_rollouts:
            feeds[ROLLOUTS] = rollout_feed(store)
        if zone.with_quarantine:
            feeds[QUARANTINE] = quarantine_feed(store)
        coalesce_s = {SERVERS: COALESCE_S}
        availability = RegistryAvailability()
        self.followers = {
            name: FeedFollower(
                feed,
                self._apply_event,
                coalesce_s.get(name, 0.3),
                source,
                watching=False,
                availability=availability,
            )
            for name, feed in feeds.items()
        }
        self.check = PositionCheck(
            self.followers.values(), store.read_position, timing.check_interval_s, availability, source
        )
        ReopenedZones(self.followers, self._whole_feed, self._apply_event)
        self.watch = ZoneWatch(
            self.contact, self.followers, self._whole_feed, self._send, self._fetch, timing, source
        )
        self.scope = anyio.CancelScope()

    @property
    def watching(self) -> bool:
        return self.watch.role is WatchRole.WATCHING

    async def run(self) -> None:
        with self.scope:
            async with anyio.create_task_group() as tasks:
                for follower in self.followers.values():
                    tasks.start_soon(follower.run)
                tasks.start_soon(self.check.run)
                tasks.start_soon(self.watch.run)

    def kill(self) -> None:
        self.dead = True
        self.scope.cancel()

    async def wait_until_resumed(self) -> None:
        while self.paused:
            await anyio.sleep(0.01)

    async def _script(self, server: MemoryServer, stream: MemoryStream, heard: ReceivedRequest) -> None:
        if "stale=1" not in heard.head.split("\r\n")[0]:
            self.full_price_calls += 1
            self.exact_checks += f"/objects/{POSITION_KIND} " in heard.head
        await self.wait_until_resumed()
        if self.store_mode == "silent" or (self.silent_kind and f"/objects/{self.silent_kind}" in heard.head):
            await anyio.sleep_forever()
        if self.store_mode == "busy":
            await stream.send(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            return
        await self.zone.standin.script(server, stream, heard)
        await self.wait_until_resumed()

    async def _send(self, address: str, data: bytes) -> None:
        await self.wait_until_resumed()
        await anyio.sleep(self.zone.send_delay_s)
        self.zone.deliver(self.contact.reports, address, data)

    async def _fetch(self, address: str, feed: str) -> bytes | Failure:
        other = next((each for each in self.zone.nodes if each.contact.peers == address), None)
        self.fetched.append(feed)
        if other is None or other.dead or not self.can_fetch:
            return UNREACHABLE
        with anyio.move_on_after(1.0):
            await other.wait_until_resumed()
            return other.watch.state(feed) or UNREACHABLE
        return UNREACHABLE

    def _whole_feed(self, feed: str) -> WholeFeed | None:
        if feed == SERVERS:
            return ev.ServersReplaced(tuple(self.servers.values()))
        if feed == EVACUATIONS:
            return ev.EvacuationsReplaced(self.evacuated)
        if feed == ROLLOUTS:
            return ev.RolloutsReplaced(tuple(self.orders.values()))
        if feed == QUARANTINE:
            return ev.QuarantineReplaced(self.quarantined)
        return ev.ConfigurationReceived(self.configuration) if self.configuration else None

    def _apply_event(self, event: ev.Event) -> None:
        if isinstance(event, ev.ConfigurationReceived):
            if event.configuration.version > self.version:
                self.configuration, self.version = event.configuration, event.configuration.version
        elif isinstance(event, ev.ServersReplaced | ev.ServersRestored):
            self.servers = {record.instance: record for record in event.records}
        elif isinstance(event, ev.ServerListed):
            self.servers[event.record.instance] = event.record
        elif isinstance(event, ev.ServerRemoved):
            self.servers.pop(event.instance, None)
        elif isinstance(event, ev.EvacuationsReplaced | ev.ZoneEvacuated | ev.ZoneReopened):
            self._apply_evacuation(event)
        elif isinstance(event, ev.ReopenedServersKnown):
            self.unread_zones = frozenset()
        elif isinstance(event, ev.RolloutsReplaced):
            self.orders = {each.service: each for each in event.orders}
        elif isinstance(event, ev.RolloutOrdered):
            self.orders[event.order.service] = event.order
        elif isinstance(event, ev.RolloutWithdrawn):
            self.orders.pop(event.service, None)
        else:
            self._apply_quarantine(event)

    def _apply_evacuation(self, event: ev.EvacuationsReplaced | ev.ZoneEvacuated | ev.ZoneReopened) -> None:
        before = self.evacuated
        if isinstance(event, ev.EvacuationsReplaced):
            self.evacuated = event.zones
        elif isinstance(event, ev.ZoneEvacuated):
            self.evacuated |= {event.zone}
        else:
            self.evacuated -= {event.zone}
        self.unread_zones |= before - self.evacuated

    def _apply_quarantine(self, event: ev.Event) -> None:
        if isinstance(event, ev.QuarantineReplaced):
            self.quarantined = event.fingerprints
        elif isinstance(event, ev.RequestQuarantined):
            self.quarantined |= {event.fingerprint}
        elif isinstance(event, ev.QuarantineLifted):
            self.quarantined -= {event.fingerprint}


class Zone:
    """The nodes, their store, and the network between them."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        count: int,
        strong: frozenset[int],
        with_rollouts: bool = False,
        with_quarantine: bool = False,
    ) -> None:
        self.tasks = tasks
        self.with_rollouts, self.with_quarantine = with_rollouts, with_quarantine
        self.standin = StoreStandin()
        self.loss = 0.0
        self.send_delay_s = 0.0
        self.routes: list[dict[str, Any]] = []
        self.datagrams = 0
        self._random = random.Random(7)
        self._version = 0
        self.nodes: list[ZoneNode] = []
        self.configure()
        for number in range(8):
            self.list_server(f"i-{number}")
        self.join([ZoneNode(self, number, 2.0 if number in strong else 0.5) for number in range(count)])

    def join(self, nodes: list[ZoneNode]) -> None:
        """Start nodes and add them to the members of every node."""
        self.nodes = [*self.nodes, *nodes]
        for node in self.nodes:
            node.watch.set_members(each.contact for each in self.nodes)
        for node in nodes:
            self.tasks.start_soon(node.run)

    def deliver(self, sender: str, address: str, data: bytes) -> None:
        self.datagrams += 1
        for node in self.nodes:
            lost = self._random.random() < self.loss
            if node.contact.reports == address and not (node.dead or node.drops_datagrams or lost):
                self.tasks.start_soon(self._deliver_later, node, sender, data)

    async def _deliver_later(self, node: ZoneNode, sender: str, data: bytes) -> None:
        await node.wait_until_resumed()
        node.watch.receive(data, sender, anyio.current_time())

    def configure(self) -> None:
        self._version += 2
        self.standin.put("config", "main", {**CONFIG, "routes": self.routes, "configVersion": self._version})

    def list_server(self, name: str, state: str = "ready") -> None:
        spec = {"service": "s1", "address": "10.1.0.9:80", "zone": "z1", "capacity": 2, "state": state}
        self.standin.put("servers", name, spec)

    def listed(self) -> list[str]:
        return [name for kind, name in self.standin.objects if kind == "servers"]

    def change(self) -> None:
        """Make one change of each kind: configuration, evacuations, server draining, removed and added."""
        self.configure()
        self._change_evacuations()
        if self.with_rollouts:
            self._change_orders()
        self.list_server("i-0", "draining" if not self._is_draining("i-0") else "ready")
        gone = next(name for kind, name in self.standin.objects if kind == "servers" and name != "i-0")
        self.standin.remove("servers", gone)
        self.list_server(f"j-{self._version}")

    def change_feed(self, feed: str) -> None:
        """Make one change that only one feed shows."""
        {
            CONFIGURATION: self.configure,
            SERVERS: lambda: self.list_server("i-0", "ready" if self._is_draining("i-0") else "draining"),
            EVACUATIONS: self._change_evacuations,
            ROLLOUTS: self._change_orders,
            QUARANTINE: self._change_quarantine,
        }[feed]()

    def _change_evacuations(self) -> None:
        if "z2" in self._names("evacuations"):
            self.standin.remove("evacuations", "z2")
            self.standin.put("evacuations", "z1", {})
        else:
            self.standin.put("evacuations", "z2", {})

    def _change_quarantine(self) -> None:
        if "f1" in self._names("yokesill-quarantine"):
            self.standin.remove("yokesill-quarantine", "f1")
        else:
            self.standin.put("yokesill-quarantine", "f1", {})

    def _change_orders(self) -> None:
        """Order one roll-out, record its progress in the next call, and withdraw it in the one after."""
        item = self.standin.objects.get(("rollouts", "s1"))
        if item is None:
            spec = {"service": "s1", "targetVersion": "v2", "durationS": 12}
            self.standin.put("rollouts", "s1", spec)
        elif item["status"] is None:
            self.standin.put_status("rollouts", "s1", {"state": "completed", "targetVersion": "v2"})
        else:
            self.standin.remove("rollouts", "s1")

    def _expected_orders(self) -> dict[str, RolloutOrder]:
        return {
            name: read_order(item_of(item))
            for (kind, name), item in self.standin.objects.items()
            if kind == "rollouts"
        }

    def _names(self, kind: str) -> frozenset[str]:
        return frozenset(name for of, name in self.standin.objects if of == kind)

    def _is_draining(self, name: str) -> bool:
        return bool(self.standin.objects[("servers", name)]["spec"]["state"] == "draining")

    def stale_nodes(self) -> list[str]:
        """Return the live nodes whose state differs from the store's."""
        expected = {
            name: item["spec"]["state"] == "draining"
            for (kind, name), item in self.standin.objects.items()
            if kind == "servers"
        }
        return [
            node.contact.node
            for node in self.nodes
            if not node.dead
            and (
                (node.version, node.evacuated, node.orders, node.quarantined)
                != (
                    self._version,
                    self._names("evacuations"),
                    self._expected_orders(),
                    self._names("yokesill-quarantine"),
                )
                or {name: each.leaving for name, each in node.servers.items()} != expected
            )
        ]

    def watchers(self) -> list[ZoneNode]:
        return [node for node in self.nodes if node.watching and not node.dead]

    def full_price_calls(self) -> int:
        """Return the number of calls at full price."""
        return sum(node.full_price_calls for node in self.nodes)

    def calls_for_feeds(self) -> int:
        """Return the number of calls at full price for feeds, those of checks left out."""
        return self.full_price_calls() - self.exact_checks()

    def exact_checks(self) -> int:
        """Return the number of exact reads of the registry's position."""
        return sum(node.exact_checks for node in self.nodes)

    def assert_few_checks(self, before: int, seconds: float) -> None:
        """Assert that both watchers have made no more checks since ``before`` than fit into some seconds."""
        assert self.exact_checks() - before <= 2 * most_checks(seconds)


def run_in_zone(
    main: Callable[[Zone], Awaitable[None]],
    count: int = 20,
    strong: frozenset[int] = frozenset(),
    with_rollouts: bool = False,
    with_quarantine: bool = False,
) -> None:
    """Run ``main`` once a zone has settled; the nodes numbered in ``strong`` have four times the cores.

    With ``with_rollouts`` the nodes follow roll-outs too, and each change orders, records or withdraws one;
    with ``with_quarantine`` they follow the quarantined requests.
    """

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            zone = Zone(tasks, count, strong, with_rollouts, with_quarantine)
            await anyio.sleep(6.0)
            assert zone.stale_nodes() == []
            assert len(zone.watchers()) == min(2, count)
            await main(zone)
            tasks.cancel_scope.cancel()

    run_virtual(run)
