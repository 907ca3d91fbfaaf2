"""Fetches a starting node's first state from its seed nodes while the registry doesn't answer.

The snapshot may be older than the registry's state: ``serving.builder`` applies only those feeds that the
registry has not answered yet. ``run`` ends once the node is synchronised.
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
# Usually the registry answers within this time, and no peer needs to send a snapshot.
REGISTRY_HEAD_START_S = 0.8
# Bounds a call to one peer, and the pause after all were called.
CALL_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.5


class PeerBootstrap:
    """Fetches the state snapshot of one of ``seeds`` until ``synchronised`` says that enough is known.

    Parameters
    ----------
    seeds
        Nodes to ask, in random order.
    connect
        Opens a connection.
    synchronised
        Whether this node knows enough to serve, from whichever source.
    feed_router
        Applies an event of a snapshot.
    source
        Orders the seeds and spreads the calls of many nodes over time.
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
        """Use these seeds from now on."""
        self._seeds = list(seeds)

    async def run(self) -> None:
        """Call seeds until enough is known, from one of them or from the registry."""
        await anyio.sleep(REGISTRY_HEAD_START_S)
        while not self._synchronised():
            self._random.shuffle(self._seeds)
            for seed in list(self._seeds):
                if self._synchronised() or await self._fetch_from(seed):
                    return
            await anyio.sleep(RETRY_PAUSE_S * (0.5 + self._random.random()))

    async def _fetch_from(self, seed: Address) -> bool:
        """Apply a seed's snapshot; whether there was one to apply."""
        client = ApiClient(seed, self._connect)
        reply = await client.fetch("GET", SNAPSHOT_PATH, CALL_TIMEOUT_S)
        if isinstance(reply, Failure):
            self._log_failure(seed, reply)
            return False
        if reply.status != OK:
            failure = Failure(Reason.NOT_READY, Verdict.NOT_RUN, f"the node answered {reply.status}")
            self._log_failure(seed, failure)
            return False
        if self._synchronised():
            return False
        try:
            events = decode_snapshot(reply.body)
        except ValueError as error:
            self._log.error("snapshot_rejected", seed=str(seed), problem=str(error))
            return False
        for event in events:
            self._feed_router(event)
        self._log.info("snapshot_taken", seed=str(seed), bytes=len(reply.body))
        return True

    def _log_failure(self, seed: Address, failure: Failure) -> None:
        """Log a failure once for each seed and reason: a dark region would otherwise log twice a second."""
        if (seed, failure.reason) not in self._logged:
            self._logged.add((seed, failure.reason))
            details = {"reason": failure.reason, "detail": failure.detail}
            self._log.info("snapshot_unavailable", seed=str(seed), **details)
