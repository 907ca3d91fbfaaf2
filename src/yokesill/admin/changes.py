"""The changes resource: ``GET /v1/changes/{id}`` resolves a change whose outcome was in doubt."""

import anyio
from starlette.requests import Request
from starlette.responses import Response

from yokesill.admin.replies import outcome_reply
from yokesill.frontend.http import JsonError, require_grant
from yokesill.node import Node
from yokesill.resources.documents import Role
from yokesill.resources.keys import parse_key
from yokesill.store.changes import Accepted, parse_change_id, resolve


class ChangeController:
    """Reports the outcome of a change; any node can resolve any change."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def get(self, request: Request) -> Response:
        """Resolve the change: accepted, permanently rejected, or still in doubt."""
        change = parse_change_id(request.path_params["change_id"])
        key = parse_key(change.key) if change else None
        if change is None or key is None:
            raise JsonError(404, "unknown_change", "this is not a change id")
        require_grant(self._node.access, request, key.namespace, Role.EDITOR)
        with anyio.CancelScope(shield=True):
            outcome = await resolve(self._node.store, change)
            holders: list[str] = []
            if isinstance(outcome, Accepted):
                holders = await self._node.apply_committed(outcome.stored)
        return outcome_reply(self._node, change.change_id, outcome, holders)
