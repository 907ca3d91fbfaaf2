"""Application on a node's ``peers`` address: serves forwarded requests and the paths of the probes.

Only selects the application by path; the coordinator checks which hosts may forward requests.
"""

from collections.abc import Awaitable, Callable

from yokesill.callers.application import Receive, Scope, Send
from yokesill.coordinators.client import COORDINATE_PATH

Application = Callable[[Scope, Receive, Send], Awaitable[None]]


class PeerApplication:
    """Passes ``COORDINATE_PATH`` to the coordinator and every other path to the probes."""

    __slots__ = ("_coordinator", "_probes")

    def __init__(self, coordinator: Application, probes: Application) -> None:
        self._coordinator = coordinator
        self._probes = probes

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        is_forwarded = scope["type"] == "http" and scope["path"] == COORDINATE_PATH
        await (self._coordinator if is_forwarded else self._probes)(scope, receive, send)
