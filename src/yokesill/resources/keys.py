"""Object keys: the path of each document in the platform's store.

``namespaces/{ns}``, ``namespaces/{ns}/tokens/{name}``, ``namespaces/{ns}/services/{svc}`` and
``namespaces/{ns}/services/{svc}/replicas/{epoch}/{shard}``.
"""

import re
from dataclasses import dataclass

from yokesill.resources.documents import NAME_PATTERN

_NAME = NAME_PATTERN.strip("^$")
_KEY = re.compile(
    rf"^namespaces/(?P<namespace>{_NAME})"
    rf"(/tokens/(?P<token>{_NAME})"
    rf"|/services/(?P<service>{_NAME})(/replicas/(?P<epoch>[1-9]\d{{0,9}})/(?P<shard>{_NAME}))?)?$"
)


@dataclass(frozen=True, slots=True)
class ServiceName:
    """A service's name, qualified by its namespace."""

    namespace: str
    service: str

    def __str__(self) -> str:
        return f"{self.namespace}/{self.service}"

    @property
    def key(self) -> str:
        """The key of the service's document."""
        return f"namespaces/{self.namespace}/services/{self.service}"


@dataclass(frozen=True, slots=True)
class ObjectKey:
    """A parsed key; ``kind`` is the kind of the document stored at it."""

    text: str
    kind: str
    namespace: str
    service: str | None = None
    epoch: int | None = None
    shard: str | None = None

    @property
    def service_name(self) -> ServiceName | None:
        """The service that the document belongs to, if any."""
        return None if self.service is None else ServiceName(self.namespace, self.service)


def parse_key(text: str) -> ObjectKey | None:
    """Parse a key; ``None`` when ``text`` is not one."""
    match = _KEY.match(text)
    if match is None:
        return None
    namespace, service, shard = match["namespace"], match["service"], match["shard"]
    if shard is not None:
        return ObjectKey(text, "replicaset", namespace, service, int(match["epoch"]), shard)
    if service is not None:
        return ObjectKey(text, "service", namespace, service)
    return ObjectKey(text, "token" if match["token"] else "namespace", namespace)


def replica_set_key(name: ServiceName, epoch: int, shard: str) -> str:
    """Return the key of the replica set of ``shard`` in ``epoch``."""
    return f"{name.key}/replicas/{epoch}/{shard}"
