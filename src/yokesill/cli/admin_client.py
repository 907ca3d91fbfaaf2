"""Client of the query nodes' administration API: JSON over HTTP with a bearer token.

Separate from ``registry.api_client``, the client of the registry and of gateway nodes, which is optimised for
long polls and low memory use. This client uses httpcore's pool, which serving nodes don't load.
"""

import json
from dataclasses import dataclass
from typing import Any

from yokesill.comm import http_status
from yokesill.comm.http_client import HttpClient
from yokesill.verdict import Failure

# An operator waits for the reply; a node's own timeouts are far shorter.
CALL_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class AdminReply:
    """Reply of a node; ``body`` is the decoded JSON."""

    status: int
    headers: dict[str, str]
    body: Any

    @property
    def ok(self) -> bool:
        """Whether the call succeeded."""
        return self.status == http_status.OK


class AdminClient:
    """Client of one node with one bearer token."""

    def __init__(self, node: str, token: str) -> None:
        self.node = node
        self.token = token
        self._client = HttpClient()

    async def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> AdminReply | Failure:
        """Send one request; a ``Failure`` means that no reply was received."""
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
