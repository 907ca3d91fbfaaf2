"""Who may do what: bearer tokens, namespaces and roles."""

import hashlib
import hmac
from dataclasses import dataclass

from yokesill.replication.catalog import Catalog
from yokesill.resources.documents import Role

EVERY_NAMESPACE = "*"
RANK = {Role.CALLER: 0, Role.VIEWER: 1, Role.EDITOR: 2, Role.ADMIN: 3}


@dataclass(frozen=True, slots=True)
class Grant:
    """What a token's holder may do: ``role`` in ``namespace`` (or in every one)."""

    namespace: str
    role: Role

    def allows(self, namespace: str, role: Role) -> bool:
        """Whether the grant reaches ``role`` in ``namespace``; callers' and operators' roles are apart."""
        if self.namespace not in (EVERY_NAMESPACE, namespace):
            return False
        if role is Role.CALLER:
            return self.role in (Role.CALLER, Role.EDITOR, Role.ADMIN)
        return self.role is not Role.CALLER and RANK[self.role] >= RANK[role]


class Access:
    """Looks tokens up in the configuration, by the hash of their secret."""

    def __init__(self, catalog: Catalog, bootstrap_sha256: str) -> None:
        self._catalog = catalog
        self._bootstrap = bootstrap_sha256

    def find_grant(self, authorization: str | None) -> Grant | None:
        """Return what an ``Authorization`` header grants; ``None`` for none or an unknown token."""
        scheme, _, secret = (authorization or "").partition(" ")
        if scheme.lower() != "bearer" or not secret:
            return None
        digest = hash_token(secret.strip())
        if hmac.compare_digest(digest, self._bootstrap):
            return Grant(EVERY_NAMESPACE, Role.ADMIN)
        found = self._catalog.tokens.get(digest)
        return None if found is None else Grant(found[0], found[1].role)


def hash_token(secret: str) -> str:
    """Return the hex SHA-256 under which a token is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()
