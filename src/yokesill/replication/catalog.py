"""Turns the replicated objects into what is in force: compiled services, tokens and shares.

A service is compiled whole, from its own document and its replica sets, and swapped whole. A
document that cannot be compiled here (written by a newer release, say) leaves the service as it
was and is reported.
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
    """The subsetter of small deployments: every replica."""
    return replica_set.replicas


class Catalog:
    """What the configuration says, in typed form; ``refresh`` follows the replicated state."""

    def __init__(self, state: ReplicatedState, subsetter: Subsetter = all_replicas) -> None:
        self.services: dict[ServiceName, CompiledService] = {}
        self.tokens: dict[str, tuple[str, Token]] = {}
        self.unusable: dict[str, str] = {}
        self._state = state
        self._subsetter = subsetter
        self._documents: dict[str, AnyDocument] = {}

    def refresh(self, changed: Iterable[str]) -> list[ServiceName]:
        """Follow changes of ``changed`` keys; return the services to be installed or removed."""
        affected: set[ServiceName] = set()
        for text in changed:
            key = parse_key(text)
            if key is None:
                continue
            self._read(text)
            if key.service_name is not None:
                affected.add(key.service_name)
            elif key.kind == "namespace":
                affected.update(name for name in self._named_services() if name.namespace == key.namespace)
        self._read_tokens()
        return [name for name in sorted(affected, key=str) if self._compile(name)]

    def recompile_all(self) -> list[ServiceName]:
        """Compile every service again, after the membership (and so the subsets) changed."""
        return [name for name in self._named_services() if self._compile(name)]

    def namespace(self, name: str) -> Namespace | None:
        """Return a namespace's document."""
        document = self._documents.get(f"namespaces/{name}")
        return document if isinstance(document, Namespace) else None

    def _read(self, text: str) -> None:
        """Parse one object into the documents, or note why it cannot be."""
        stored, key = self._state.get(text), parse_key(text)
        self.unusable.pop(text, None)
        if stored is None or stored.value is None or key is None:
            self._documents.pop(text, None)
            return
        parsed = parse_document(key, stored.value)
        errors = parsed if isinstance(parsed, list) else []
        if isinstance(parsed, Service):
            errors = validate_service(parsed)
        if errors or isinstance(parsed, list):
            self.unusable[text] = "; ".join(str(each) for each in errors)
            return
        self._documents[text] = parsed

    def _read_tokens(self) -> None:
        self.tokens = {
            document.sha256: (key.namespace, document)
            for text, document in self._documents.items()
            if isinstance(document, Token) and (key := parse_key(text)) is not None
        }

    def _named_services(self) -> list[ServiceName]:
        names = (parse_key(text) for text, each in self._documents.items() if isinstance(each, Service))
        return [name for key in names if key is not None and (name := key.service_name) is not None]

    def _compile(self, name: ServiceName) -> bool:
        """Compile or drop a service; return whether what is in force changed."""
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
