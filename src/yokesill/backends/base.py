"""What the query driver needs of the way to back ends."""

import abc

from yokesill.routing.events import AttemptAnswered, AttemptFailed
from yokesill.routing.messages import Attempt, ServerReport


class BackendClient(abc.ABC):
    """Sends attempts to servers and asks after their health."""

    @abc.abstractmethod
    async def call(self, attempt: Attempt) -> AttemptAnswered | AttemptFailed:
        """Send one attempt and return how it ended; cancelling the call cancels the attempt."""

    @abc.abstractmethod
    async def check(self, address: str) -> ServerReport | None:
        """Ask a server what it holds and how it is; ``None`` when it does not answer in time."""

    async def forget(self, addresses: set[str]) -> None:  # noqa: B027 (most clients keep nothing)
        """Close what is kept for servers other than ``addresses``."""
