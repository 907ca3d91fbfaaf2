"""The documents resource: ``GET``, ``PUT`` and ``DELETE`` of ``/v1/{key}``, and document histories."""

import uuid
from typing import Any

import anyio
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from yokesill.admin.replies import outcome_reply
from yokesill.frontend.http import JsonError, read_json, require_grant
from yokesill.node import Node
from yokesill.policy.compiler import validate_service
from yokesill.resources.documents import Role, Service
from yokesill.resources.keys import ObjectKey, parse_key
from yokesill.resources.objects import StoredObject
from yokesill.resources.validation import DocumentError, parse_document
from yokesill.store.changes import Accepted, Change, commit
from yokesill.verdict import Failure

# Kinds of documents that an editor may change; all others need an administrator.
EDITOR_KINDS = frozenset({"service", "replicaset"})


class ObjectController:
    """Reads and changes documents; a change is fully validated before it is committed."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def list(self, request: Request) -> Response:
        """List the keys that the token may see, with their revisions."""
        grant = self._node.access.find_grant(request.headers.get("authorization"))
        if grant is None:
            raise JsonError(401, "unauthenticated", "a valid bearer token is needed")
        keys = {
            item.key: item.revision
            for item in self._node.replica.state.all()
            if not item.deleted
            and (key := parse_key(item.key)) is not None
            and grant.allows(key.namespace, Role.VIEWER)
        }
        return JSONResponse({"objects": dict(sorted(keys.items()))})

    async def get(self, request: Request) -> Response:
        """Return a document and its revision as held by this node."""
        key = self._require_key(request)
        require_grant(self._node.access, request, key.namespace, Role.VIEWER)
        stored = self._node.replica.state.get(key.text)
        if stored is None or stored.deleted:
            raise JsonError(404, "unknown_object", f"there is no {key.kind} at {key.text}")
        return JSONResponse(_describe(stored), headers={"ETag": f'"{stored.revision}"'})

    async def history(self, request: Request) -> Response:
        """Return the revisions that the store keeps of a document."""
        key = self._require_key(request)
        require_grant(self._node.access, request, key.namespace, Role.VIEWER)
        revisions = await self._node.store.history(key.text)
        if isinstance(revisions, Failure):
            raise JsonError(503, "store_unavailable", revisions.detail, headers={"Retry-After": "1"})
        return JSONResponse({"key": key.text, "revisions": [_describe(each) for each in revisions]})

    async def put(self, request: Request) -> Response:
        """Validate a document completely and commit it."""
        key = self._require_key(request)
        self._authorise_change(request, key)
        value, _ = await read_json(request, self._node.settings.limits.body_bytes)
        errors = _validate(key, value)
        if errors:
            raise JsonError(400, "invalid_document", f"{len(errors)} errors; nothing was changed", errors)
        base = self._base_revision(request, key)
        if request.query_params.get("dry_run") in ("1", "true"):
            return JSONResponse({"outcome": "valid", "base_revision": base})
        return await self._commit(Change(key.text, base, uuid.uuid4().hex, value))

    async def delete(self, request: Request) -> Response:
        """Delete a document; a tombstone with its own revision replaces it."""
        key = self._require_key(request)
        self._authorise_change(request, key)
        stored = self._node.replica.state.get(key.text)
        if stored is None or stored.deleted:
            raise JsonError(404, "unknown_object", f"there is no {key.kind} at {key.text}")
        base = self._base_revision(request, key)
        return await self._commit(Change(key.text, base, uuid.uuid4().hex, None))

    async def _commit(self, change: Change) -> Response:
        """Commit a change, apply it here and push it to peers before replying that it is accepted."""
        with anyio.CancelScope(shield=True):
            outcome = await commit(self._node.store, change)
            holders: list[str] = []
            if isinstance(outcome, Accepted):
                holders = await self._node.apply_committed(outcome.stored)
        return outcome_reply(self._node, change.change_id, outcome, holders)

    def _require_key(self, request: Request) -> ObjectKey:
        key = parse_key(request.path_params["key"])
        if key is None:
            raise JsonError(404, "unknown_resource", f"there is no resource {request.url.path}")
        return key

    def _authorise_change(self, request: Request, key: ObjectKey) -> None:
        role = Role.EDITOR if key.kind in EDITOR_KINDS else Role.ADMIN
        require_grant(self._node.access, request, key.namespace, role)

    def _base_revision(self, request: Request, key: ObjectKey) -> int:
        """Return the revision on which the change is based, from ``If-Match`` or the current state."""
        stored = self._node.replica.state.get(key.text)
        header = request.headers.get("if-match")
        if header is not None:
            return _parse_etag(header)
        if stored is None:
            return 0
        if stored.deleted:
            return stored.revision
        detail = f"{key.text} exists at revision {stored.revision}: name it in If-Match"
        raise JsonError(428, "precondition_required", detail, headers={"ETag": f'"{stored.revision}"'})


def _parse_etag(header: str) -> int:
    text = header.strip().strip('"')
    if not text.isdigit():
        raise JsonError(400, "invalid_request", f"If-Match {header!r} is not a revision")
    return int(text)


def _validate(key: ObjectKey, value: Any) -> list[DocumentError]:
    parsed = parse_document(key, value)
    if isinstance(parsed, list):
        return parsed
    return validate_service(parsed) if isinstance(parsed, Service) else []


def _describe(stored: StoredObject) -> dict[str, Any]:
    return {
        "key": stored.key,
        "revision": stored.revision,
        "change_id": stored.change_id,
        "document": stored.value,
    }
