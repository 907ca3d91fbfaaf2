"""When a node reports that it is not ready because it is partitioned from other zones.

A node whose zone has servers for enough shards can serve during a partition. Any other depends on other
zones: when none can be reached it can only refuse wide requests, and its callers should be sent elsewhere.
Servers that are dark for every node are no reason: then nodes of other zones still answer, and all nodes
stay ready.

`depends_on_others` says whether the node needs other zones; ``serving/reachability`` looks whether any of
their nodes and servers can be reached, and `PartitionDetector` turns its looks into the decision. Times in
seconds of the node's clock. Reasons and runs: ``docs/design/placement.md``, "Readiness".
"""

from collections.abc import Collection, Iterable

from yokesill.gateway.documents import Configuration, Gather, ServerRecord

# Between two looks: while no server elsewhere has answered, and once a look reached nobody. Costs one
# connection a second at most while all is well.
CALM_INTERVAL_S, DOUBTFUL_INTERVAL_S = 1.0, 0.2
# Nobody answers for so long: two further looks at three places each, more than a lost packet or a dead node
# explains. Readiness is probed each second and lost after two misses: a partition of some seconds is over
# before a slower decision helps, and a wrong one is taken back before the second miss.
UNREACHABLE_S = 0.5
# The node is not ready for so long at most, then ready for as long: the places that are looked at may be
# unreachable for another reason while servers can be reached.
MAX_NOT_READY_S = 20.0
# Where no route is wide, a node depends on others if more than this share of the services has servers
# elsewhere only.
MOST_ELSEWHERE_SHARE = 0.5
# Coverage is compared with this much tolerance, since a share times a count is not exact.
ROUNDING = 1e-9


class PartitionDetector:
    """One node's decision; ``cut`` while it is taken to be partitioned from other zones."""

    def __init__(self) -> None:
        self.partitioned = False
        self._silent_since_s: float | None = None
        self._since_s = float("-inf")
        self._back_at_s = float("-inf")

    @property
    def last_check_failed(self) -> bool:
        """Whether the last look reached nobody."""
        return self._silent_since_s is not None

    @property
    def interval_s(self) -> float:
        """How long until the next look, in seconds."""
        return DOUBTFUL_INTERVAL_S if self.last_check_failed else CALM_INTERVAL_S

    def record_reachable(self, now: float) -> None:
        """Count a look that reached a server or node of another zone, or found that none is needed."""
        self._silent_since_s = None
        self._return(now)

    def record_unreachable(self, now: float) -> None:
        """Count a look that reached neither servers nor nodes of other zones."""
        if self._silent_since_s is None:
            self._silent_since_s = now
        if self.partitioned and now - self._since_s >= MAX_NOT_READY_S:
            self._return(now)
        elif not self.partitioned and now - max(self._silent_since_s, self._rested_at_s) >= UNREACHABLE_S:
            self.partitioned, self._since_s = True, now

    @property
    def _rested_at_s(self) -> float:
        """When a node that was not ready for ``MAX_NOT_READY_S`` may be so again."""
        was_longest = self._back_at_s - self._since_s >= MAX_NOT_READY_S
        return self._back_at_s + MAX_NOT_READY_S if was_longest else float("-inf")

    def _return(self, now: float) -> None:
        if self.partitioned:
            self.partitioned, self._back_at_s = False, now


def depends_on_others(
    zone: str, configuration: Configuration | None, servers: Iterable[ServerRecord]
) -> bool:
    """Whether some gathering route can reach its least coverage, but not with servers in ``zone`` alone.

    Where no route gathers: whether most services that routes reach have servers, but none in ``zone``.
    """
    if configuration is None:
        return False
    present = [each for each in servers if not each.leaving]
    listed = {each.service for each in present}
    near = {each.service for each in present if each.zone == zone}
    gathers = [each.destination for each in configuration.routes if isinstance(each.destination, Gather)]
    if gathers:
        return any(_covers(each, listed) and not _covers(each, near) for each in gathers)
    named = {name for route in configuration.routes for name in route.services}
    return len((named & listed) - near) > MOST_ELSEWHERE_SHARE * len(named)


def _covers(gather: Gather, services: Collection[str]) -> bool:
    reached = sum(name in services for name in gather.services)
    return reached >= gather.minimum_coverage * len(gather.services) - ROUNDING
