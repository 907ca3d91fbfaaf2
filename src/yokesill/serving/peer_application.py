"""What a node serves on its ``peers`` address: forwarded requests, and the probes' paths beside them.

Only joins the two by path; who may forward is checked by the coordinator.
"""

from collections.abc import Awaitable, Callable

from yokesill.callers.application import Receive, Scope, Send
from yokesill.coordinators.client import COORDINATE_PATH

Application = Callable[[Scope, Receive, Send], Awaitable[None]]


class PeerApplication:
    """Serves ``COORDINATE_PATH`` by the coordinator and every other path by the probes."""

    __slots__ = ("_coordinator", "_probes")

    def __init__(self, coordinator: Application, probes: Application) -> None:
        self._coordinator = coordinator
        self._probes = probes

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        coordinates = scope["type"] == "http" and scope["path"] == COORDINATE_PATH
        await (self._coordinator if coordinates else self._probes)(scope, receive, send)
