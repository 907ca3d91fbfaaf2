"""Authorization by bearer tokens, namespaces and roles."""

import hashlib
import hmac
from dataclasses import dataclass

from yokesill.replication.catalog import Catalog
from yokesill.resources.documents import Role

ALL_NAMESPACES = "*"
ROLE_RANK = {Role.CALLER: 0, Role.VIEWER: 1, Role.EDITOR: 2, Role.ADMIN: 3}


@dataclass(frozen=True, slots=True)
class Grant:
    """Gives a token ``role`` in ``namespace``, or in all namespaces if that is ``ALL_NAMESPACES``."""

    namespace: str
    role: Role

    def allows(self, namespace: str, role: Role) -> bool:
        """Return whether the grant includes ``role`` in ``namespace``.

        The caller role is separate from the operator roles: it includes none of them, and viewers lack it.
        """
        if self.namespace not in (ALL_NAMESPACES, namespace):
            return False
        if role is Role.CALLER:
            return self.role in (Role.CALLER, Role.EDITOR, Role.ADMIN)
        return self.role is not Role.CALLER and ROLE_RANK[self.role] >= ROLE_RANK[role]


class Access:
    """Looks up tokens in the configuration by the SHA-256 of their secret."""

    def __init__(self, catalog: Catalog, bootstrap_sha256: str) -> None:
        self._catalog = catalog
        self._bootstrap_sha256 = bootstrap_sha256

    def find_grant(self, authorization: str | None) -> Grant | None:
        """Return the grant of an ``Authorization`` header; ``None`` if it has no known bearer token."""
        scheme, _, secret = (authorization or "").partition(" ")
        if scheme.lower() != "bearer" or not secret:
            return None
        digest = hash_token(secret.strip())
        if hmac.compare_digest(digest, self._bootstrap_sha256):
            return Grant(ALL_NAMESPACES, Role.ADMIN)
        found = self._catalog.tokens.get(digest)
        return None if found is None else Grant(found[0], found[1].role)


def hash_token(secret: str) -> str:
    """Return the hex SHA-256 under which a token is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()
