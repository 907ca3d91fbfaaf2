"""Calls the administration API of the product's own query nodes: JSON over HTTP with a bearer token.

Not the client of the registry and of gateway nodes, ``registry.api_client``, which is made for long polls and
little memory: this one uses httpcore's pool, which serving nodes don't load.
"""

import json
from dataclasses import dataclass
from typing import Any

from yokesill.comm import http_status
from yokesill.comm.http_client import HttpClient
from yokesill.verdict import Failure

# A person waits for the reply; a node bounds its own work far below that.
CALL_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class AdminReply:
    """A node's reply; ``body`` is the decoded JSON."""

    status: int
    headers: dict[str, str]
    body: Any

    @property
    def ok(self) -> bool:
        """Whether the call did what was asked for."""
        return self.status == http_status.OK


class AdminClient:
    """Calls one node with one token."""

    def __init__(self, node: str, token: str) -> None:
        self.node = node
        self.token = token
        self._client = HttpClient()

    async def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> AdminReply | Failure:
        """Send one request; a failure means that no reply came."""
        content = b"" if body is None else json.dumps(body).encode()
        all_headers = {"Authorization": f"Bearer {self.token}", **(headers or {})}
        reply = await self._client.call(
            method, f"http://{self.node}{path}", CALL_TIMEOUT_S, content, all_headers
        )
        if isinstance(reply, Failure):
            return reply
        try:
            decoded = json.loads(reply.body) if reply.body else None
        except ValueError:
            decoded = {"detail": reply.body.decode(errors="replace").strip()}
        return AdminReply(reply.status, reply.headers, decoded)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()
