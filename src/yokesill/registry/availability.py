"""Whether the registry answers this node: found out by one of its followers for all of them.

Each call is paid for, refused ones too. A node follows up to four feeds of one registry: while that is
away one follower looks for its return, cheaply, and the others wait. At 90 nodes an outage then costs 90
failed calls at their full price in place of 360 (worked out, not measured).
"""

import anyio


class RegistryAvailability:
    """What the followers of one node know of the registry together."""

    def __init__(self) -> None:
        self._looking: object | None = None
        self._changed = anyio.Event()

    def lost(self, follower: object) -> None:
        """Take that a follower got no answer; it looks for the registry's return unless another one does."""
        if self._looking is None:
            self._looking = follower

    def answered(self) -> None:
        """Take that the registry answered one of the followers."""
        if self._looking is not None:
            self._stop_looking()

    def left(self, follower: object) -> None:
        """Take that a follower need not ask any more: if it was the one that looked, another one does."""
        if self._looking is follower:
            self._stop_looking()

    def must_wait(self, follower: object) -> bool:
        """Whether another follower looks for the registry's return."""
        return self._looking is not None and self._looking is not follower

    async def change(self) -> None:
        """Wait until the registry is back, or nobody looks for it."""
        await self._changed.wait()

    def _stop_looking(self) -> None:
        self._looking = None
        self._changed.set()
        self._changed = anyio.Event()
