"""The status resource (members, their configuration, leaving servers) and the planned stop of a node."""

from typing import Any

import anyio
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from yokesill.frontend.http import JsonError, require_grant
from yokesill.node import Node
from yokesill.replication.messages import STATUS, StatusReply, decode_status
from yokesill.resources.documents import Role
from yokesill.verdict import Failure

STATUS_TIMEOUT_S = 1.0
MAX_CONCURRENT_REQUESTS = 32


class StatusController:
    """Reports the state of the cluster.

    Members are queried only when an operator asks, so that status costs no traffic otherwise.
    """

    def __init__(self, node: Node) -> None:
        self._node = node

    async def get(self, request: Request) -> Response:
        """Return the state of the cluster, from the members that reply now."""
        node = self._node
        grant = node.access.find_grant(request.headers.get("authorization"))
        if grant is None or not grant.allows(grant.namespace, Role.VIEWER):
            raise JsonError(403 if grant else 401, "forbidden", "a viewer's token is needed")
        replies = await self._collect_statuses()
        own = node.own_status()
        in_force = sum(1 for each in replies.values() if each and each.digest == own.digest)
        members = [self._describe_member(record.address, replies) for record in node.table.all()]
        return JSONResponse(
            {
                "node": own.address,
                "state": own.state,
                "revision": own.revision,
                "in_force": {"members": in_force, "of": len(node.table.serving())},
                "isolated": node.isolated,
                "zones_cut": sorted(node.table.unreachable_zones),
                "members": sorted(members, key=lambda each: str(each["address"])),
                "watchers": sorted(each.address for each in replies.values() if each and each.watcher),
                "leaving_servers": sorted(each.address for each in node.leaving_servers.all()),
                "unusable": node.catalog.unusable,
                "services": {str(name): each.revision for name, each in node.catalog.services.items()},
            }
        )

    async def stop(self, request: Request) -> Response:
        """Start a planned stop of this node."""
        require_grant(self._node.access, request, "*", Role.ADMIN)
        self._node.stop()
        return JSONResponse({"state": "stopping"}, 202)

    async def _collect_statuses(self) -> dict[str, StatusReply | None]:
        node = self._node
        replies: dict[str, StatusReply | None] = {node.table.own.address: node.own_status()}
        limiter = anyio.Semaphore(MAX_CONCURRENT_REQUESTS)
        frame = node.sealer.seal(b"")

        async def fetch(address: str) -> None:
            async with limiter:
                answer = await node.transport.request(address, STATUS, frame, STATUS_TIMEOUT_S)
            replies[address] = None if isinstance(answer, Failure) else _open_status(node, answer)

        async with anyio.create_task_group() as task_group:
            for peer in node.table.peers():
                task_group.start_soon(fetch, peer.address)
        return replies

    def _describe_member(self, address: str, replies: dict[str, StatusReply | None]) -> dict[str, Any]:
        node = self._node
        record = node.table.get(address)
        reply = replies.get(address)
        return {
            "address": address,
            "zone": record.zone if record else "",
            "region": record.region if record else "",
            "status": record.status.name.lower() if record else "unknown",
            "state": reply.state if reply else "no answer",
            "revision": reply.revision if reply else None,
            "in_force": bool(reply and reply.digest == node.replica.state.digest),
        }


def _open_status(node: Node, answer: bytes) -> StatusReply | None:
    body = node.sealer.open(answer)
    try:
        return None if body is None else decode_status(body)
    except (ValueError, TypeError):
        return None
