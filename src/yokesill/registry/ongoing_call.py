"""A follower's ongoing call of the registry: a list, or a long poll for changes.

A follower makes one call at a time and cancels it when its answer is no longer of use.
"""

from collections.abc import Awaitable
from typing import TypeVar

import anyio

Outcome = TypeVar("Outcome")


class OngoingCall:
    """Runs one cancellable call at a time.

    ``waits`` is whether the last one was a long poll.
    """

    def __init__(self) -> None:
        self.waits = False
        self._scope: anyio.CancelScope | None = None

    @property
    def under_way(self) -> bool:
        """Whether a call is in progress."""
        return self._scope is not None

    async def run(self, call: Awaitable[Outcome], waits: bool) -> Outcome | None:
        """Await a call and return its outcome; ``None`` if it was cancelled."""
        self.waits = waits
        outcome: Outcome | None = None
        try:
            with anyio.CancelScope() as self._scope:
                outcome = await call
        finally:
            self._scope = None
        return outcome

    def cancel(self) -> None:
        """Cancel the call in progress, if any."""
        if self._scope is not None:
            self._scope.cancel()
