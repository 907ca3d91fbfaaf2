"""Fetches the state from seed nodes while a starting node can't get it from the registry.

A snapshot may be older than the registry's state: ``serving.builder`` applies only the feeds for which the
registry hasn't answered yet.
"""

import random
from collections.abc import Callable

import anyio

from yokesill.comm.http_status import OK
from yokesill.gateway.events import Event
from yokesill.logs import get_logger
from yokesill.registry.api_client import ApiClient
from yokesill.registry.snapshots import decode_snapshot
from yokesill.serving.settings import Address
from yokesill.upstreams.wires import StreamConnector
from yokesill.verdict import Failure, Reason, Verdict

# Path of a node's state snapshot; served beside the probes.
SNAPSHOT_PATH = "/snapshot"
# The registry usually answers within this time, so that no peer needs to send a snapshot.
REGISTRY_HEAD_START_S = 0.8
# Timeout of a call to one seed.
CALL_TIMEOUT_S = 1.0
# Pause after all seeds have been called.
RETRY_PAUSE_S = 0.5


class PeerBootstrap:
    """Fetches a state snapshot from one of ``seeds`` unless the node is synchronised by other means first.

    Parameters
    ----------
    seeds
        Nodes to call, in random order.
    connect
        Opens a connection.
    synchronised
        Returns whether this node has enough state to serve, from any source.
    feed_router
        Applies an event of a snapshot.
    source
        Random source that orders the seeds and spreads the calls of many nodes over time.
    """

    def __init__(
        self,
        seeds: tuple[Address, ...],
        connect: StreamConnector,
        synchronised: Callable[[], bool],
        feed_router: Callable[[Event], None],
        source: random.Random,
    ) -> None:
        self._seeds = list(seeds)
        self._connect = connect
        self._synchronised = synchronised
        self._feed_router = feed_router
        self._random = source
        self._logged: set[tuple[Address, Reason]] = set()
        self._log = get_logger("peers")

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seeds."""
        self._seeds = list(seeds)

    async def run(self) -> None:
        """Call seeds until one of them or the registry has supplied the state."""
        await anyio.sleep(REGISTRY_HEAD_START_S)
        while not self._synchronised():
            self._random.shuffle(self._seeds)
            for seed in list(self._seeds):
                if self._synchronised() or await self._fetch_from(seed):
                    return
            await anyio.sleep(RETRY_PAUSE_S * (0.5 + self._random.random()))

    async def _fetch_from(self, seed: Address) -> bool:
        """Fetch and apply a seed's snapshot; return whether one was applied."""
        events = await self.fetch_snapshot(seed, CALL_TIMEOUT_S)
        if self._synchronised():
            return False
        for event in events:
            self._feed_router(event)
        return bool(events)

    async def fetch_snapshot(self, seed: Address, timeout_s: float) -> tuple[Event, ...]:
        """Return the events of a seed's snapshot; none if it sent no proper one in time."""
        client = ApiClient(seed, self._connect)
        reply = await client.fetch("GET", SNAPSHOT_PATH, timeout_s)
        if isinstance(reply, Failure):
            self._log_failure(seed, reply)
            return ()
        if reply.status != OK:
            failure = Failure(Reason.NOT_READY, Verdict.NOT_RUN, f"the node returned status {reply.status}")
            self._log_failure(seed, failure)
            return ()
        try:
            events = decode_snapshot(reply.body)
        except ValueError as error:
            self._log.error("snapshot_rejected", seed=str(seed), problem=str(error))
            return ()
        self._log.info("snapshot_taken", seed=str(seed), bytes=len(reply.body))
        return events

    def _log_failure(self, seed: Address, failure: Failure) -> None:
        """Log a failure once per seed and reason; an unreachable region would else log twice a second."""
        if (seed, failure.reason) not in self._logged:
            self._logged.add((seed, failure.reason))
            details = {"reason": failure.reason, "detail": failure.detail}
            self._log.info("snapshot_unavailable", seed=str(seed), **details)
