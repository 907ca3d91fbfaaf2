"""Creates the components on a request's path: router and driver, their feeds, and the callers' application.

These are the first stages of ``builder``, which adds the components that exchange information with other
nodes. Holds no state.
"""

import random
import time
from functools import partial
from typing import NamedTuple

import anyio

from yokesill.callers.application import GatewayApplication
from yokesill.callers.bounds import ListenerBounds
from yokesill.callers.closings import ClosingReporter, ReportClosed
from yokesill.callers.listener import Listener, create_listener
from yokesill.callers.memory import CallerMemory
from yokesill.comm.reply_memory import ReplyMemory
from yokesill.coordinators.client import CoordinatorClient
from yokesill.coordinators.forwarding import Forwarder
from yokesill.coordinators.remote_coordinators import RemoteCoordinators
from yokesill.gateway.forwarding import CoordinatorChoice
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.router import GatewayRouter
from yokesill.logs import get_logger
from yokesill.quarantine.detector import QuarantineStatus
from yokesill.registry.feed_states import CONFIGURATION, EVACUATIONS, QUARANTINE, ROLLOUTS, SERVERS
from yokesill.registry.following import FollowedFeed, RegistryFollowing
from yokesill.serving.dependencies import Dependencies
from yokesill.serving.driver import GatewayDriver
from yokesill.serving.feed_updates import FeedUpdates
from yokesill.serving.settings import GatewaySettings
from yokesill.serving.state_snapshot import whole_feed
from yokesill.supervision import Supervisor
from yokesill.telemetry.figures import GatewayMetrics
from yokesill.telemetry.observer import Observer
from yokesill.upstreams.server_client import ServerClient


class Core(NamedTuple):
    """Components that all others depend on."""

    settings: GatewaySettings
    dependencies: Dependencies
    options: GatewayOptions
    source: random.Random
    metrics: GatewayMetrics
    observer: Observer
    router: GatewayRouter
    supervisor: Supervisor
    client: ServerClient
    driver: GatewayDriver
    key_prefix: str
    memory: ReplyMemory
    caller_memory: CallerMemory
    report_closed: ReportClosed


class Registry(NamedTuple):
    """Components that keep the router up to date and find coordinators."""

    updates: FeedUpdates
    following: RegistryFollowing
    remote_coordinators: RemoteCoordinators


class Callers(NamedTuple):
    """Components that serve callers."""

    application: GatewayApplication
    listener: Listener


def create_core(
    settings: GatewaySettings, dependencies: Dependencies, source: random.Random, now: float
) -> Core:
    """Return the components that all others depend on."""
    options = settings.options()
    metrics = GatewayMetrics()
    observer = Observer(get_logger("requests"), metrics)
    router = GatewayRouter(options, source, now)
    supervisor = Supervisor(partial(_count_failure, metrics))
    memory = ReplyMemory(settings.reply_memory_bytes)
    client = ServerClient(
        dependencies.names,
        supervisor=supervisor,
        memory=memory,
        max_connections=settings.server_connections,
    )
    driver = GatewayDriver(router, client, observer.log_event, supervisor)
    key_prefix = f"{settings.node}-{source.getrandbits(32):08x}"
    return Core(
        settings,
        dependencies,
        options,
        source,
        metrics,
        observer,
        router,
        supervisor,
        client,
        driver,
        key_prefix,
        memory,
        CallerMemory(settings.caller_memory_bytes),
        ClosingReporter(get_logger("callers"), metrics.closed_connections, time.monotonic),
    )


def _count_failure(metrics: GatewayMetrics, _part: str) -> None:
    metrics.decisions["part_failed"] += 1


def create_registry(core: Core) -> Registry:
    """Return the components that keep the router up to date."""
    dependencies = core.dependencies
    updates = FeedUpdates(
        core.driver,
        awaits_quarantine=dependencies.quarantine is not None,
        awaits_rollouts=dependencies.rollouts is not None,
    )
    updates.subscribe(dependencies.configuration.learn)
    following = RegistryFollowing(
        core.settings,
        _followed_feeds(dependencies, core.driver, updates),
        partial(whole_feed, core.router),
        core.options.switches.few_watchers,
        core.source,
        core.supervisor,
        dependencies.read_position,
    )
    return Registry(updates, following, RemoteCoordinators(core.options, core.router.servers))


def _followed_feeds(
    dependencies: Dependencies, driver: GatewayDriver, updates: FeedUpdates
) -> dict[str, FollowedFeed]:
    feeds = {
        CONFIGURATION: FollowedFeed(dependencies.configuration, updates.apply),
        SERVERS: FollowedFeed(dependencies.servers, driver.feed),
    }
    if dependencies.evacuations is not None:
        feeds[EVACUATIONS] = FollowedFeed(dependencies.evacuations, driver.feed)
    if dependencies.quarantine is not None:
        feeds[QUARANTINE] = FollowedFeed(dependencies.quarantine, driver.feed)
    if dependencies.rollouts is not None:
        feeds[ROLLOUTS] = FollowedFeed(dependencies.rollouts, updates.apply)
    return feeds


def create_callers(core: Core, registry: Registry) -> Callers:
    """Return the components that serve callers."""
    settings = core.settings
    forwarder = None
    if core.options.switches.hands_over:
        forwarder = Forwarder(
            CoordinatorChoice(core.settings.node),
            CoordinatorClient(memory=core.memory, max_connections=settings.coordinator_connections),
            registry.following.coordinators,
            lambda: core.router.configuration,
            core.observer,
            registry.remote_coordinators,
            partial(_runs_here, core.router),
        )
    application = GatewayApplication(
        core.driver,
        core.dependencies.names,
        core.observer,
        core.key_prefix,
        forwarder,
    )
    bounds = ListenerBounds(settings.caller_connections, kernel_bytes=settings.caller_kernel_bytes)
    listener = create_listener(application, bounds, core.caller_memory, core.report_closed)
    return Callers(application, listener)


def _runs_here(router: GatewayRouter, request: GatewayRequest) -> bool:
    """Whether a request is not forwarded, because it may crash servers or this node is about to end.

    If the coordinator of a request that may crash servers failed, two nodes would send it. One that this node
    can't answer before it ends is refused here.
    """
    now = anyio.current_time()
    suspected = router.quarantine.status(request, now) > QuarantineStatus.CLEAR
    return suspected or router.ends_too_soon(request, now)
