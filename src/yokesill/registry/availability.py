"""Whether the registry answers this node, and on which timeline: found out by one follower for all of them.

Each call is paid for, failed ones too. A node follows up to five feeds of one registry: while that doesn't
answer, one follower probes it, cheaply, and the others wait. At 90 nodes an outage then costs 90 failed calls
at their full price instead of 360 (worked out for four feeds, not measured).

A registry that came back from an older copy of itself is on a later timeline, where nobody answers a wait for
changes of the one before if its connection went silent. Whichever answer, or report of another node, shows
the later timeline first says so to all followers of this node.
"""

import anyio


class RegistryAvailability:
    """Which of one node's followers, if any, probes an unreachable registry, and its latest timeline."""

    __slots__ = ("_changed", "_moved", "_prober", "timeline")

    def __init__(self) -> None:
        self.timeline = 0
        self._moved = anyio.Event()
        self._prober: object | None = None
        self._changed = anyio.Event()

    def call_failed(self, follower: object) -> None:
        """Make a follower the prober, unless there is one."""
        if self._prober is None:
            self._prober = follower

    def call_answered(self) -> None:
        """End probing: the registry answered one of the followers."""
        if self._prober is not None:
            self._stop_probing()

    def withdraw(self, follower: object) -> None:
        """Stop a follower that no longer calls the registry from being the prober."""
        if self._prober is follower:
            self._stop_probing()

    def probed_by_another(self, follower: object) -> bool:
        """Whether another follower probes the registry, so that this one waits."""
        return self._prober is not None and self._prober is not follower

    async def wait_for_change(self) -> None:
        """Wait until the registry answers, or no follower probes it."""
        await self._changed.wait()

    def timeline_seen(self, timeline: int) -> None:
        """Note which timeline an answer or a report is of."""
        if timeline > self.timeline:
            self.timeline = timeline
            self._moved.set()
            self._moved = anyio.Event()

    async def wait_for_timeline(self) -> None:
        """Wait until a later timeline is seen."""
        await self._moved.wait()

    def _stop_probing(self) -> None:
        self._prober = None
        self._changed.set()
        self._changed = anyio.Event()
