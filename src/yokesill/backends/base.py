"""The interface through which the query driver reaches back ends."""

import abc

from yokesill.routing.events import AttemptAnswered, AttemptFailed
from yokesill.routing.messages import Attempt, ServerReport


class BackendClient(abc.ABC):
    """Sends attempts and health checks to servers."""

    @abc.abstractmethod
    async def call(self, attempt: Attempt) -> AttemptAnswered | AttemptFailed:
        """Send one attempt and return how it ended; cancelling the call cancels the attempt."""

    @abc.abstractmethod
    async def check(self, address: str) -> ServerReport | None:
        """Request a report of a server's holdings and load; ``None`` when it does not answer in time."""

    async def forget(self, addresses: set[str]) -> None:  # noqa: B027 (most clients keep no connections)
        """Close the connections of servers other than ``addresses``."""
