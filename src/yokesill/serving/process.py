"""Wires one gateway node together, from start to the end of a planned stop."""

import random
from collections.abc import Iterable

import anyio

from yokesill import gc_tuning
from yokesill.callers.application import GatewayApplication
from yokesill.callers.listener import Listener, create_listener
from yokesill.charts.flat import transition_table
from yokesill.coordinators.client import CoordinatorClient
from yokesill.coordinators.coordinator import CoordinatorApplication
from yokesill.coordinators.forwarding import Forwarder
from yokesill.coordinators.remote_coordinators import RemoteCoordinators
from yokesill.gateway.events import (
    ConfigurationLearnt,
    Event,
    NodesCounted,
    NodesMet,
)
from yokesill.gateway.forwarding import CoordinatorChoice
from yokesill.gateway.router import GatewayRouter
from yokesill.logs import LogOutput, get_logger
from yokesill.quarantine.judge import QuarantineStatus
from yokesill.registry.awaited_connection import connect_tcp
from yokesill.registry.feed_states import CONFIGURATION, EVACUATIONS, QUARANTINE, ROLLOUTS, SERVERS
from yokesill.registry.feeds import NodeContact
from yokesill.registry.following import FollowedFeed, RegistryFollowing
from yokesill.registry.node_count import NodeCounter
from yokesill.registry.peers import PeerLearner
from yokesill.serving.dependencies import Dependencies
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.findings import Findings
from yokesill.serving.gauges import render_figures
from yokesill.serving.probes import ProbeApplication
from yokesill.serving.reachability import Reachability
from yokesill.serving.rollout_link import RolloutLink
from yokesill.serving.rollout_part import create_rollout_link
from yokesill.serving.settings import GatewaySettings
from yokesill.serving.state_snapshot import snapshot_of, whole_feed
from yokesill.telemetry.figures import GatewayFigures
from yokesill.telemetry.observer import Observer
from yokesill.upstreams.server_client import ServerClient

POLL = 0.01
LOG_FLUSH_INTERVAL = 0.5


class GatewayProcess:
    """One node of the gateway."""

    def __init__(
        self, settings: GatewaySettings, surroundings: Dependencies, source: random.Random, output: LogOutput
    ) -> None:
        self.settings = settings
        self._output = output
        self._random = source
        self._surroundings = surroundings
        self._table = transition_table("gateway")
        self.state = "starting"
        self._stop_wanted = anyio.Event()
        self._log = get_logger("gateway")
        self.figures = GatewayFigures()

    # --- life cycle ---

    async def run(self) -> None:
        """Serve; returns once a planned stop is complete."""
        self._build(anyio.current_time())
        async with anyio.create_task_group() as task_group:
            await task_group.start(self.driver.run)
            parts = (self._following, self._counter, self._findings, self._learner, self._reachability)
            for run in (*(part.run for part in parts), self._flush_logs):
                task_group.start_soon(run)
            if self._rollouts is not None:
                task_group.start_soon(self._rollouts.run, self.settings.rollout_datagrams)
            await self._listen()
            task_group.start_soon(self._become_ready)
            await self._stop_wanted.wait()
            await self._drain()
            task_group.cancel_scope.cancel()
        self._log.info("stopped", node=self.settings.node)
        self._output.flush()

    def stop(self) -> None:
        """Begin a planned stop; ``run`` returns when it is complete."""
        self._stop_wanted.set()

    def take_settings(self, settings: GatewaySettings) -> None:
        """Take changed settings over, as far as a running node can."""
        self.settings = settings
        self._surroundings.move_registry(settings.registry)
        self._learner.set_seeds(settings.seeds)
        self.router.set_budget(settings.budget)

    @property
    def ready(self) -> bool:
        """Whether callers should come here."""
        return self.state == "serving"

    def _build(self, now: float) -> None:
        settings, around = self.settings, self._surroundings
        options = settings.options()
        self.router = GatewayRouter(options, self._random, now)
        self._client = ServerClient(around.names)
        observer = Observer(get_logger("requests"), self.figures)
        self.driver = GatewayDriver(self.router, self._client, observer.note)
        prefix = f"{settings.node}-{self._random.getrandbits(32):08x}"
        self._following = RegistryFollowing(
            settings,
            self._feeds(),
            lambda feed: whole_feed(self.router, feed),
            options.few_watchers,
            self._random,
        )
        self._near_servers = RemoteCoordinators(options, self.router.servers)
        hand_over = Forwarder(
            CoordinatorChoice(settings.node),
            CoordinatorClient(),
            self._following.coordinators,
            lambda: self.router.configuration,
            observer,
            self._near_servers,
            lambda request: (
                self.router.quarantine.standing(request, anyio.current_time()) > QuarantineStatus.CLEAR
            ),
        )
        self._application = GatewayApplication(
            self.driver, around.names, observer, prefix, hand_over if options.hands_over else None
        )
        contact = self._following.contact
        self._counter = NodeCounter(
            around.nodes,
            contact,
            lambda count: self.driver.feed(NodesCounted(count)),
            self._random,
            self._meet,
        )
        records = around.quarantine_records
        self._findings = Findings(contact, settings.datagrams, self.driver, records, self._random)
        self._rollouts = self._create_rollout_link(contact)
        self._reachability = Reachability(
            settings.zone,
            self.router,
            lambda: self.driver.answered_at_s,
            connect_tcp,
            self._take_cut,
            self._random,
        )
        self._learner = PeerLearner(
            settings.seeds, connect_tcp, self._knows_enough, self._learn_from_peer, self._random
        )
        self._probes = ProbeApplication(
            around.ready_path,
            lambda: self.ready,
            self._render_figures,
            lambda: snapshot_of(self.router),
            self._following.state,
            lambda: None if self._rollouts is None else self._rollouts.view(),
        )
        self._coordinator = CoordinatorApplication(
            self._application,
            self._probes,
            lambda host: self._following.is_member(host) or self._near_servers.knows(host),
            self._version,
            lambda: self.router.lateness_s,
        )
        self._front = create_listener(self._application)
        self._side: list[Listener] = []

    def _create_rollout_link(self, contact: NodeContact) -> RolloutLink | None:
        terms, records = self.settings.rollouts, self._surroundings.rollout_records
        if terms is None or records is None:
            return None
        following = self._following
        return create_rollout_link(
            contact, terms, self.driver, records, lambda: following.reaches_registry, self._random
        )

    def _feeds(self) -> dict[str, FollowedFeed]:
        around = self._surroundings
        feeds = {
            CONFIGURATION: FollowedFeed(around.configuration, self._learn),
            SERVERS: FollowedFeed(around.servers, self.driver.feed),
        }
        if around.evacuations is not None:
            feeds[EVACUATIONS] = FollowedFeed(around.evacuations, self.driver.feed)
        if around.quarantine is not None:
            feeds[QUARANTINE] = FollowedFeed(around.quarantine, self.driver.feed)
        if around.rollouts is not None:
            feeds[ROLLOUTS] = FollowedFeed(around.rollouts, self._learn)
        return feeds

    async def _listen(self) -> None:
        await self._front.start(self.settings.callers, self._surroundings.callers_socket)
        settings = self.settings
        addresses = (settings.probes, settings.metrics, settings.peers)
        served = (self._probes, self._probes, self._coordinator)
        for address, app in zip(addresses, served, strict=True):
            if address is not None:
                listener = create_listener(app)
                await listener.start(address)
                self._side.append(listener)
        gc_tuning.keep_for_good()
        self._log.info("started", node=self.settings.node, callers=str(self.settings.callers))

    async def _become_ready(self) -> None:
        while not self._knows_enough():
            await anyio.sleep(POLL)
        self._application.known.set()
        self._enter("learnt")
        gc_tuning.keep_for_good()

    async def _drain(self) -> None:
        """Say that this node is not ready, serve who still comes, then finish what is in flight."""
        self._application.stopping = True
        if self._enter("stop") == "withdrawing":
            await anyio.sleep(self.settings.withdraw_time_s)
            self._enter("withdrawn")
        await self._front.close_listener()
        with anyio.move_on_after(self.settings.drain_time_s) as bound:
            self._front.close_idle_connections()
            while self._in_flight or self._front.server_state.connections:
                await anyio.sleep(POLL)
        cut = self._in_flight
        self._enter("time_over" if bound.cancelled_caught else "idle", cut=cut)

    @property
    def _in_flight(self) -> int:
        """How many requests have no answer yet: callers', and other nodes'."""
        return self._application.in_flight + self._coordinator.under_way

    def _take_cut(self, cut: bool) -> None:
        self._application.cut_off = cut
        self._enter("cut_off" if cut else "reached")

    def _version(self) -> int:
        configuration = self.router.configuration
        return configuration.version if configuration else 0

    def _enter(self, event: str, **details: object) -> str:
        before = self.state
        self.state = self._table.get((before, event), before)
        if self.state != before:
            self._log.info("state", before=before, state=self.state, **details)
        return self.state

    # --- what is learnt ---

    def _knows_enough(self) -> bool:
        """Whether requests can be served: a configuration and servers, from the registry or a peer.

        And which requests are kept from servers: the first one that comes may be one of them. Where there
        are roll-outs their orders too: in the midst of one, who serves can't be seen from servers alone.
        They come from the same places.
        """
        around, router = self._surroundings, self.router
        known = router.configuration is not None and len(router.servers) > 0
        known = known and (around.quarantine is None or router.quarantine.told)
        return known and (around.rollouts is None or router.rollouts.told)

    def _learn(self, event: Event) -> None:
        self.driver.feed(event)
        if self._rollouts is not None:
            self._rollouts.take(event)
        if isinstance(event, ConfigurationLearnt) and self.router.configuration is not None:
            limits = self.router.configuration.limits
            self._front.set_limits(limits.header_timeout_s, limits.idle_timeout_s)

    def _learn_from_peer(self, event: Event) -> None:
        if self._following.lacks(event):
            self._learn(event)

    def _meet(self, contacts: Iterable[NodeContact]) -> None:
        """Exchange what is seen of servers with the nodes that can be reached."""
        contacts = tuple(contacts)
        self._following.set_nodes(contacts)
        if self._rollouts is not None:
            self._rollouts.set_nodes(contacts)
        self._reachability.set_nodes(contacts)
        self._near_servers.set_nodes(contacts)
        coordinators = self._near_servers.gathering(contacts)
        self.driver.feed(NodesMet(frozenset(each.node for each in contacts), coordinators))
        self._findings.set_nodes(contacts)

    # --- figures and logs ---

    def _render_figures(self) -> bytes:
        self.figures.gauge("yokesill_cut_off", "Whether it reaches nothing", self.state == "cut_off")
        node = (self.router, self._coordinator, self._client, self._output, self._following)
        return render_figures(self.figures, self._version(), *node)

    async def _flush_logs(self) -> None:
        while True:
            await anyio.sleep(LOG_FLUSH_INTERVAL)
            self._output.flush()
