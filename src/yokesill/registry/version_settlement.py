"""Settles which versions of each service serve, by the registry's record and by other nodes.

A node that starts reads the record and, where it would still have to guess, asks its seeds. It goes on asking
until somebody knows. Nodes that call the registry write what they know for certain; a write names the record
that it replaces, so that several of them do no harm. Times are in seconds.
"""

import random
from collections.abc import Awaitable, Callable, Iterable

import anyio

from yokesill.gateway.events import Event, VersionsEstablished, VersionsRecorded
from yokesill.logs import get_logger
from yokesill.registry.feeds import NodeContact, StoredVersions, VersionRecords
from yokesill.rollouts.version_record import Recorded, decode_record, encode_record, merge, unrecorded
from yokesill.rollouts.versions import ServiceVersions
from yokesill.serving.settings import Address
from yokesill.verdict import Failure

# Timeout of a call to one node, connecting included, and of a read of the record before the node is ready.
CALL_TIMEOUT_S = 0.5
# How often a node looks whether it knows more than the record.
TURN_S = 1.0
# Longest pause between two questions while nobody knows.
MAX_PAUSE_S = 10.0
# Spreads the nodes that learn something at the same time, so that one of them writes it for all.
WRITE_SPREAD_S = 4.0

FetchSnapshot = Callable[[Address, float], Awaitable[tuple[Event, ...]]]


class VersionSettlement:
    """One node's knowledge of which versions serve, beside its router's.

    Parameters
    ----------
    versions
        What the router knows.
    records
        The registry's record; ``None`` if there is none.
    fetch_snapshot
        Fetches the events of another node's snapshot within some seconds; none if it fails.
    apply_event
        Applies an event.
    may_write
        Returns whether this node calls the registry and has its state.
    own
        This node's address for calls of other nodes, which is often among the seeds.
    seeds
        Nodes to ask.
    source
        Random source that chooses nodes and spreads calls over time.
    """

    def __init__(
        self,
        versions: ServiceVersions,
        records: VersionRecords | None,
        fetch_snapshot: FetchSnapshot,
        apply_event: Callable[[Event], None],
        may_write: Callable[[], bool],
        own: Address | None,
        seeds: tuple[Address, ...],
        source: random.Random,
    ) -> None:
        self._versions = versions
        self._records = records
        self._fetch_snapshot = fetch_snapshot
        self._apply_event = apply_event
        self._may_write = may_write
        self._own = own
        self._seeds = seeds
        self._nodes: tuple[Address, ...] = ()
        self._random = source
        # What the record is known to say; ``None`` until it was read.
        self._recorded: Recorded | None = None
        # Whether stale reads may still show a record that the registry has lost.
        self._restored = False
        self._log = get_logger("rollouts")

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seeds."""
        self._seeds = seeds

    def set_nodes(self, contacts: Iterable[NodeContact]) -> None:
        """Replace the other nodes that can be asked."""
        endpoints = (each.peers.rpartition(":") for each in contacts if each.peers)
        self._nodes = tuple(Address(host, int(port)) for host, _, port in endpoints)

    def record_again(self) -> None:
        """Read the record again, and write what it lacks: the registry came back from an older copy."""
        self._recorded, self._restored = None, True

    async def settle(self) -> None:
        """Learn before this node serves which versions serve, as far as anybody can tell in time.

        Each seed is asked once at most. If none of them knows, as after a loss of all nodes and of the
        record, the guess remains for now.
        """
        if not self._versions.active:
            return
        with anyio.move_on_after(CALL_TIMEOUT_S):
            await self._read_record(stale=not self._versions.has_guesses)
        others = self._others()
        for seed in self._random.sample(others, len(others)):
            if not self._versions.has_guesses:
                return
            await self._ask(seed)
        if self._versions.has_guesses:
            self._log.warning("versions_guessed")

    async def run(self) -> None:
        """Ask on while this node guesses, and keep the record, until cancelled."""
        pause_s = TURN_S
        while self._versions.active:
            await anyio.sleep(pause_s)
            if self._versions.has_guesses or (self._recorded is None and self._records is not None):
                await self._ask_again()
                pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)
            else:
                pause_s = TURN_S
            if self._may_write() and self._unrecorded():
                await anyio.sleep(WRITE_SPREAD_S * self._random.random())
                await self._record()

    async def _ask_again(self) -> None:
        """Read the record and ask one node, any that is known."""
        await self._read_record(stale=not self._restored)
        others = self._others(self._nodes)
        if self._versions.has_guesses and others:
            await self._ask(self._random.choice(others))

    def _others(self, nodes: tuple[Address, ...] = ()) -> list[Address]:
        """Return the seeds and some more nodes, each once, without this one."""
        return [each for each in dict.fromkeys((*self._seeds, *nodes)) if each != self._own]

    async def _ask(self, node: Address) -> None:
        """Adopt what another node knows for certain; its own guesses it keeps to itself."""
        with anyio.move_on_after(CALL_TIMEOUT_S):
            for event in await self._fetch_snapshot(node, CALL_TIMEOUT_S):
                if isinstance(event, VersionsEstablished):
                    self._apply_event(event)

    # --- the record ---

    def _unrecorded(self) -> list[str]:
        """Return the services of which this node knows more than the record is known to say."""
        if self._recorded is None:
            return []
        return unrecorded(self._versions.recordable(), self._recorded)

    async def _read_record(self, stale: bool) -> StoredVersions | None:
        """Read the record and adopt what it says; ``None`` if it is not answered."""
        if self._records is None:
            return None
        stored = await self._records.read(stale)
        if isinstance(stored, Failure):
            return None
        self._recorded, self._restored = decode_record(stored.value), False
        self._apply_event(VersionsRecorded(self._recorded))
        return stored

    async def _record(self) -> None:
        """Write what the record lacks, unless another node has written it meanwhile."""
        stored = await self._read_record(stale=not self._restored)
        if stored is None or self._records is None or not self._unrecorded():
            return
        stored = await self._read_record(stale=False)
        names = self._unrecorded()
        if stored is None or not names:
            return
        merged = merge(self._versions.recordable(), self._recorded or {}, self._versions.services)
        outcome = await self._records.write(stored, encode_record(merged))
        if isinstance(outcome, Failure):
            self._log.info("versions_not_recorded", reason=outcome.reason, detail=outcome.detail)
            return
        # Another node may have been first: what stands there is read again.
        self._recorded = None
        self._log.info("versions_recorded", services=len(names), first=names[0])
