"""The call of the registry that a follower has under way: a list, or a wait for changes that may last long.

A follower has one at a time, and gives it up when something else shows that its answer is of no use any more.
"""

from collections.abc import Awaitable
from typing import TypeVar

import anyio

Outcome = TypeVar("Outcome")


class OngoingCall:
    """One call at a time, which may be cancelled; ``waits``: the last one was a wait for changes."""

    def __init__(self) -> None:
        self.waits = False
        self._began_at_s = 0.0
        self._scope: anyio.CancelScope | None = None

    @property
    def under_way(self) -> bool:
        """Whether there is a call without an answer."""
        return self._scope is not None

    async def run(self, call: Awaitable[Outcome], waits: bool) -> Outcome | None:
        """Return a call's outcome; ``None`` if it was cancelled."""
        self.waits = waits
        self._began_at_s = anyio.current_time()
        outcome: Outcome | None = None
        try:
            with anyio.CancelScope() as self._scope:
                outcome = await call
        finally:
            self._scope = None
        return outcome

    def cancel(self) -> None:
        """Give the call up, if there is one."""
        if self._scope is not None:
            self._scope.cancel()

    def lasts(self, seconds: float) -> bool:
        """Whether a call has been under way for so long."""
        return self.under_way and anyio.current_time() - self._began_at_s >= seconds
