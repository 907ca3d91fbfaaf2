"""Availability and timeline of the registry, shared by all followers of a node.

Every call is billed, failed ones too. A node follows up to five feeds of one registry: while the registry
doesn't answer, one follower probes it with cheap calls and the others wait. With 90 nodes an outage then
costs 90 failed calls at full price instead of 360 (calculated for four feeds, not measured).

A registry that was restored from an older copy is on a later timeline. A long poll for changes of the
previous timeline is never answered there if its connection became unresponsive. The first answer, or report
of another node, that carries the later timeline therefore notifies all followers of this node.
"""

import anyio


class RegistryAvailability:
    """The follower, if any, that probes an unreachable registry, and the latest timeline seen."""

    __slots__ = ("_prober", "_probing_ended", "_timeline_advanced", "timeline")

    def __init__(self) -> None:
        self.timeline = 0
        self._timeline_advanced = anyio.Event()
        self._prober: object | None = None
        self._probing_ended = anyio.Event()

    def call_failed(self, follower: object) -> None:
        """Make a follower the prober unless there already is one."""
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
        """Return whether another follower probes the registry, so that this one waits."""
        return self._prober is not None and self._prober is not follower

    async def wait_until_probing_ends(self) -> None:
        """Wait until the registry answers or the prober stops probing."""
        await self._probing_ended.wait()

    def record_timeline(self, timeline: int) -> None:
        """Record the timeline of an answer or a report, and notify the followers if it is a later one."""
        if timeline > self.timeline:
            self.timeline = timeline
            self._timeline_advanced.set()
            self._timeline_advanced = anyio.Event()

    async def wait_for_later_timeline(self) -> None:
        """Wait until a later timeline is recorded."""
        await self._timeline_advanced.wait()

    def _stop_probing(self) -> None:
        self._prober = None
        self._probing_ended.set()
        self._probing_ended = anyio.Event()
