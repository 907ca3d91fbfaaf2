"""Whether a node can reach nothing of what its callers ask for, so that others should serve them.

A node whose zone has servers of enough shards can serve even when its zone is cut off. Any other depends on
the ways to other zones: when all of them are lost it can only refuse wide requests, and should say
that it is not ready, so that its callers are sent to where servers are. Servers that are dark for
everybody are no reason: then nodes of other zones still answer, and all nodes stay ready.
"""

from collections.abc import Collection, Iterable

from yokesill.gateway.documents import Configuration, Gather, ServerRecord

# Looked at so often while nothing was heard from a server elsewhere, and while a look reached nobody.
CALM_INTERVAL_S, DOUBTFUL_INTERVAL_S = 1.0, 0.2
# Nobody answers for so long: two looks more at three places each. A lost packet or a dead node can't do that.
# Whoever asks whether a node is ready leaves it after two misses, a second apart: a cut of some seconds is
# over before a slower judgement helps anybody, and one that was wrong is taken back before the second miss.
SILENCE_S = 0.5
# If the ways that are looked at are closed for good although servers can be reached otherwise, the node
# is ready half of the time at least.
LONGEST_S = 20.0
MOST = 0.5
ROUNDING = 1e-9


class PartitionDetector:
    """One node's judgement; times in seconds of its clock."""

    def __init__(self) -> None:
        self.cut = False
        self._silent_since_s: float | None = None
        self._since_s = float("-inf")
        self._back_at_s = float("-inf")

    @property
    def doubtful(self) -> bool:
        """Whether the last look reached nobody."""
        return self._silent_since_s is not None

    @property
    def interval_s(self) -> float:
        """When to look again."""
        return DOUBTFUL_INTERVAL_S if self.doubtful else CALM_INTERVAL_S

    def reached(self, now: float) -> None:
        """Take that a server or a node of another zone answered, or that nothing depends on them."""
        self._silent_since_s = None
        self._return(now)

    def reached_nobody(self, now: float) -> None:
        """Take that neither servers nor nodes of other zones answered."""
        if self._silent_since_s is None:
            self._silent_since_s = now
        if self.cut and now - self._since_s >= LONGEST_S:
            self._return(now)
        elif not self.cut and now - max(self._silent_since_s, self._rested_at_s) >= SILENCE_S:
            self.cut, self._since_s = True, now

    @property
    def _rested_at_s(self) -> float:
        """When a node that was not ready for as long as it may be, may be so again."""
        long = self._back_at_s - self._since_s >= LONGEST_S
        return self._back_at_s + LONGEST_S if long else float("-inf")

    def _return(self, now: float) -> None:
        if self.cut:
            self.cut, self._back_at_s = False, now


def depends_on_others(
    zone: str, configuration: Configuration | None, servers: Iterable[ServerRecord]
) -> bool:
    """Whether a wide route's least coverage can be reached, but not by servers in ``zone`` alone.

    Where no route is wide, whether most services that routes reach have servers, but none there.
    """
    if configuration is None:
        return False
    present = [each for each in servers if not each.leaving]
    listed = {each.service for each in present}
    near = {each.service for each in present if each.zone == zone}
    wide = [each.destination for each in configuration.routes if isinstance(each.destination, Gather)]
    if wide:
        return any(_covers(each, listed) and not _covers(each, near) for each in wide)
    named = {name for route in configuration.routes for name in route.services}
    return len((named & listed) - near) > MOST * len(named)


def _covers(gather: Gather, services: Collection[str]) -> bool:
    reached = sum(name in services for name in gather.services)
    return reached >= gather.minimum_coverage * len(gather.services) - ROUNDING
