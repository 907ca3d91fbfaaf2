"""A starting node asks its seeds for their state when the registry does not answer."""

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
from yokesill.verdict import Failure

SNAPSHOT_PATH = "/snapshot"
PATIENCE = 0.8
ASK_TIMEOUT = 1.0
PAUSE = 0.5


class PeerLearner:
    """Learns from one of ``seeds`` as long as ``known`` says that nothing was learnt yet."""

    def __init__(
        self,
        seeds: tuple[Address, ...],
        connect: StreamConnector,
        known: Callable[[], bool],
        feed_router: Callable[[Event], None],
        source: random.Random,
    ) -> None:
        self._seeds = list(seeds)
        self._connect = connect
        self._known = known
        self._feed_router = feed_router
        self._random = source
        self._log = get_logger("peers")

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Ask these from now on."""
        self._seeds = list(seeds)

    async def run(self) -> None:
        """Ask until something was learnt, from a seed or from the registry."""
        await anyio.sleep(PATIENCE)
        while not self._known():
            self._random.shuffle(self._seeds)
            for seed in list(self._seeds):
                if self._known() or await self._learn_from(seed):
                    return
            await anyio.sleep(PAUSE * (0.5 + self._random.random()))

    async def _learn_from(self, seed: Address) -> bool:
        client = ApiClient(seed, self._connect)
        reply = await client.fetch("GET", SNAPSHOT_PATH, ASK_TIMEOUT)
        if isinstance(reply, Failure) or reply.status != OK or self._known():
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
