"""Feeds of gateway events from the metadata store's kinds, and the records that nodes store there.

Malformed objects are returned as a batch's ``problems`` and logged; the previous state stays in effect.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

from yokesill.gateway import events as ev
from yokesill.platform.documents import read_configuration, read_server
from yokesill.platform.names import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATIONS_KIND,
    NODES_KIND,
    QUARANTINE_KIND,
    SERVERS_KIND,
    VERSIONS_KIND,
    VERSIONS_NAME,
)
from yokesill.platform.store import MetadataStore, StoredItem, StoreView
from yokesill.positions import Position
from yokesill.registry.feeds import (
    Batch,
    Feed,
    HistoryLost,
    NodeContact,
    NodeDirectory,
    NodeEntry,
    Problem,
    QuarantineRecords,
    StoredVersions,
    VersionRecords,
    contact_of,
)
from yokesill.registry.reading import ConfigurationReader, read_each
from yokesill.verdict import Failure


class StoreFeed(Feed):
    """A feed of one kind; ``read_changes`` converts changes to a batch, and ``read_all`` a complete list."""

    def __init__(
        self,
        name: str,
        kind: str,
        store: MetadataStore,
        read_changes: Callable[[StoreView], Batch],
        read_all: Callable[[StoreView], Batch],
    ) -> None:
        self.name = name
        self._kind = kind
        self._store = store
        self._read_changes = read_changes
        self._read_all = read_all

    async def list(self, stale: bool = False) -> Batch | Failure:
        """See ``Feed.list``."""
        view = await self._store.list(self._kind, stale)
        return view if isinstance(view, Failure) else self._read_all(view)

    async def changes(self, position: Position, wait: float) -> Batch | HistoryLost | Failure:
        """See ``Feed.changes``."""
        view = await self._store.watch(self._kind, position.revision, wait)
        return self._read_changes(view) if isinstance(view, StoreView) else view

    async def peek(self, position: Position) -> Batch | HistoryLost | Failure:
        """See ``Feed.peek``."""
        view = await self._store.watch(self._kind, position.revision, 0.0, stale=True)
        return self._read_changes(view) if isinstance(view, StoreView) else view


def configuration_feed(store: MetadataStore) -> Feed:
    """Return the feed of the operator's configuration."""
    reader = ConfigurationReader(read_configuration, f"{CONFIGURATION_KIND}/{CONFIGURATION_NAME}")
    read = partial(_configuration_batch, reader)
    feed = StoreFeed("configuration", CONFIGURATION_KIND, store, read, read)
    feed.learn = reader.learn
    return feed


def server_feed(store: MetadataStore) -> Feed:
    """Return the feed of the servers' entries."""
    return StoreFeed("servers", SERVERS_KIND, store, _server_batch, _all_servers_batch)


def evacuation_feed(store: MetadataStore) -> Feed:
    """Return the feed of the zones that operators evacuate; each object is named after its zone."""
    events = (ev.ZoneEvacuated, ev.ZoneReopened, ev.EvacuationsReplaced)
    return _name_feed("evacuations", EVACUATIONS_KIND, store, *events)


def quarantine_feed(store: MetadataStore) -> Feed:
    """Return the feed of quarantined requests; each object is named after a fingerprint."""
    events = (ev.RequestQuarantined, ev.QuarantineLifted, ev.QuarantineReplaced)
    return _name_feed("quarantine", QUARANTINE_KIND, store, *events)


def _name_feed(
    name: str,
    kind: str,
    store: MetadataStore,
    added: Callable[[str], ev.Event],
    removed: Callable[[str], ev.Event],
    replaced: Callable[[frozenset[str]], ev.Event],
) -> Feed:
    """Return a feed of a kind whose objects consist of their names; ``replaced`` gets all names."""

    def changes(view: StoreView) -> Batch:
        events = tuple((removed if item.gone else added)(item.name) for item in view.items)
        return Batch(view.at, events, view.problems)

    def whole(view: StoreView) -> Batch:
        names = frozenset(item.name for item in view.items if not item.gone)
        return Batch(view.at, (replaced(names),), view.problems)

    return StoreFeed(name, kind, store, changes, whole)


class StoredQuarantine(QuarantineRecords):
    """The records of quarantined requests; an operator lifts a quarantine by deleting its object."""

    def __init__(self, store: MetadataStore) -> None:
        self._store = store

    async def record(self, fingerprint: str) -> Failure | None:
        """See ``QuarantineRecords.record``."""
        return await self._store.put(QUARANTINE_KIND, fingerprint, {}, replace=False)

    async def lift(self, fingerprint: str) -> Failure | None:
        """See ``QuarantineRecords.lift``."""
        return await self._store.delete(QUARANTINE_KIND, fingerprint)


class StoredVersionRecord(VersionRecords):
    """The record of established versions."""

    def __init__(self, store: MetadataStore) -> None:
        self._store = store

    async def read(self, stale: bool) -> StoredVersions | Failure:
        """See ``VersionRecords.read``."""
        view = await self._store.list(VERSIONS_KIND, stale)
        if isinstance(view, Failure):
            return view
        stored = [StoredVersions(Position(each.timeline, each.revision), each.spec) for each in view.items]
        return stored[0] if stored else StoredVersions(None, None)

    async def write(self, before: StoredVersions, value: Any) -> Failure | None:
        """See ``VersionRecords.write``."""
        if before.position is None:
            return await self._store.put(VERSIONS_KIND, VERSIONS_NAME, value, replace=False)
        reply = await self._store.put_at(VERSIONS_KIND, VERSIONS_NAME, before.position, spec=value)
        return reply if isinstance(reply, Failure) else None


class StoredNodes(NodeDirectory):
    """The directory of nodes, with one object per node."""

    def __init__(self, store: MetadataStore) -> None:
        self._store = store

    async def announce(self, contact: NodeContact, beat: int) -> Failure | None:
        """See ``NodeDirectory.announce``."""
        spec = {"beat": beat, **contact._asdict()}
        return await self._store.put(NODES_KIND, contact.node, spec)

    async def nodes(self) -> tuple[NodeEntry, ...] | Failure:
        """See ``NodeDirectory.nodes``."""
        view = await self._store.list(NODES_KIND, stale=True)
        if isinstance(view, Failure):
            return view
        return tuple(NodeEntry(contact_of(item.name, item.spec), item.revision) for item in view.items)


def _configuration_batch(reader: ConfigurationReader, view: StoreView) -> Batch:
    newest = [item for item in view.items if item.name == CONFIGURATION_NAME and not item.gone][-1:]
    events, problems = reader.read([item.spec for item in newest])
    return Batch(view.at, events, view.problems + problems)


def _server_batch(view: StoreView) -> Batch:
    return Batch(view.at, *_server_events(view))


def _all_servers_batch(view: StoreView) -> Batch:
    # The newest last: it replaces older servers at the same address.
    items = tuple(sorted(view.items, key=lambda item: item.created_revision))
    events, problems = _server_events(view._replace(items=items))
    records = tuple(event.record for event in events if isinstance(event, ev.ServerListed))
    return Batch(view.at, (ev.ServersReplaced(records),), problems)


def _server_events(view: StoreView) -> tuple[tuple[ev.Event, ...], tuple[Problem, ...]]:
    # Only the last change of each server: one that a later change supersedes must not be applied.
    last = {item.name: item for item in view.items}.values()
    events, problems = read_each(last, _server_event, partial(_place, SERVERS_KIND))
    return events, view.problems + problems


def _place(kind: str, item: StoredItem) -> str:
    return f"{kind}/{item.name}"


def _server_event(item: StoredItem) -> ev.Event:
    if item.gone:
        return ev.ServerRemoved(item.name)
    return ev.ServerListed(read_server(item.name, item.spec))
