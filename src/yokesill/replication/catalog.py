"""Compiles the replicated objects into the services, tokens and shares that are in force.

A service is compiled from its own document and its replica sets, and replaced as a whole. A document
that this node cannot use (for example one written by a newer release) leaves the service unchanged
and is reported in ``Catalog.unusable``.
"""

from collections.abc import Callable, Iterable

from yokesill.policy.compiler import compile_class, validate_service
from yokesill.replication.state import ReplicatedState
from yokesill.resources.documents import (
    AnyDocument,
    Namespace,
    Replica,
    ReplicaSet,
    Service,
    ShardMap,
    Token,
)
from yokesill.resources.keys import ServiceName, parse_key, replica_set_key
from yokesill.resources.validation import parse_document
from yokesill.routing.compiled import CompiledMap, CompiledService, CompiledShard

Subsetter = Callable[[str, ReplicaSet, int], tuple[Replica, ...]]


def all_replicas(_subject: str, replica_set: ReplicaSet, _size: int) -> tuple[Replica, ...]:
    """Return every replica: the subsetter for small deployments."""
    return replica_set.replicas


class Catalog:
    """Typed view of the configuration, updated from the replicated state by ``refresh``.

    ``unusable`` maps the key of each document that cannot be used to the reason.
    """

    def __init__(self, state: ReplicatedState, subsetter: Subsetter = all_replicas) -> None:
        self.services: dict[ServiceName, CompiledService] = {}
        self.tokens: dict[str, tuple[str, Token]] = {}
        self.unusable: dict[str, str] = {}
        self._state = state
        self._subsetter = subsetter
        self._documents: dict[str, AnyDocument] = {}

    def refresh(self, changed: Iterable[str]) -> list[ServiceName]:
        """Apply the objects at the ``changed`` keys; return the services to install or remove."""
        affected: set[ServiceName] = set()
        for key_text in changed:
            key = parse_key(key_text)
            if key is None:
                continue
            self._update_document(key_text)
            if key.service_name is not None:
                affected.add(key.service_name)
            elif key.kind == "namespace":
                affected.update(name for name in self._service_names() if name.namespace == key.namespace)
        self._index_tokens()
        return [name for name in sorted(affected, key=str) if self._compile_service(name)]

    def recompile_all(self) -> list[ServiceName]:
        """Compile every service again; called when a membership change altered the subsets."""
        return [name for name in self._service_names() if self._compile_service(name)]

    def namespace(self, name: str) -> Namespace | None:
        """Return a namespace's document."""
        document = self._documents.get(f"namespaces/{name}")
        return document if isinstance(document, Namespace) else None

    def _update_document(self, key_text: str) -> None:
        """Parse the object at ``key_text`` into the documents, or record why it is unusable."""
        stored, key = self._state.get(key_text), parse_key(key_text)
        self.unusable.pop(key_text, None)
        if stored is None or stored.value is None or key is None:
            self._documents.pop(key_text, None)
            return
        parsed = parse_document(key, stored.value)
        errors = parsed if isinstance(parsed, list) else []
        if isinstance(parsed, Service):
            errors = validate_service(parsed)
        if errors or isinstance(parsed, list):
            self.unusable[key_text] = "; ".join(str(each) for each in errors)
            return
        self._documents[key_text] = parsed

    def _index_tokens(self) -> None:
        self.tokens = {
            document.sha256: (key.namespace, document)
            for key_text, document in self._documents.items()
            if isinstance(document, Token) and (key := parse_key(key_text)) is not None
        }

    def _service_names(self) -> list[ServiceName]:
        keys = (
            parse_key(key_text) for key_text, each in self._documents.items() if isinstance(each, Service)
        )
        return [name for key in keys if key is not None and (name := key.service_name) is not None]

    def _compile_service(self, name: ServiceName) -> bool:
        """Compile or remove a service; return whether ``services`` changed."""
        service = self._documents.get(name.key)
        if not isinstance(service, Service):
            return self.services.pop(name, None) is not None
        namespace = self.namespace(name.namespace)
        stored = self._state.get(name.key)
        self.services[name] = CompiledService(
            name=name,
            revision=stored.revision if stored else 0,
            share=namespace.share if namespace else 1.0,
            maps={each.epoch: self._compile_map(name, service, each) for each in service.shard_maps},
            policies={each: compile_class(rules) for each, rules in service.classes.items()},
            extra_load_budget=service.extra_load_budget,
            when_isolated=service.when_isolated,
        )
        return True

    def _compile_map(self, name: ServiceName, service: Service, shard_map: ShardMap) -> CompiledMap:
        shards = []
        for shard in sorted(shard_map.shards, key=lambda each: each.range.start):
            key = replica_set_key(name, shard_map.epoch, shard.id)
            document = self._documents.get(key)
            replicas: tuple[Replica, ...] = ()
            if isinstance(document, ReplicaSet):
                replicas = self._subsetter(key, document, service.subset_size)
            shards.append(CompiledShard(shard.id, shard.range, replicas))
        return CompiledMap(shard_map.epoch, tuple(shards))
