"""Decides when a node reports itself as not ready because it is partitioned from other zones.

A node whose zone has servers for enough shards can serve during a partition. Any other node depends on other
zones: when none of them can be reached, it can only refuse wide requests, and its callers should be sent
elsewhere. Servers that no node can reach don't make a node unready: nodes of other zones still answer then,
and all nodes stay ready.

`depends_on_others` says whether the node needs other zones. ``serving/reachability`` checks whether any of
their nodes and servers can be reached, and `PartitionDetector` turns the results into the decision. Times are
in seconds of the node's clock. Reasons and runs: ``docs/design/placement.md``, "Readiness".
"""

from collections.abc import Collection, Iterable

from yokesill.gateway.documents import Configuration, Gather, ServerRecord

# Time between two checks while no server elsewhere answers, after a successful and after a failed check.
# Costs at most one connection a second while checks succeed.
CHECK_INTERVAL_S, RECHECK_INTERVAL_S = 1.0, 0.2
# How long checks must fail until the node counts as partitioned: two further checks of three places each,
# which a lost packet or a dead node does not explain. Readiness is probed each second and lost after two
# failed probes: a slower decision would come too late for a partition of some seconds, and a wrong decision
# is reverted before the second failed probe.
UNREACHABLE_S = 0.5
# The node is not ready for at most this long, then ready for as long: the places that are checked may be
# unreachable for another reason while servers can be reached.
MAX_NOT_READY_S = 20.0
# Without gathering routes, a node depends on other zones if more than this share of the services has servers
# only there.
MAX_ELSEWHERE_SHARE = 0.5
# Tolerance when coverage is compared, since a share times a count is not exact.
ROUNDING_ERROR = 1e-9


class PartitionDetector:
    """One node's decision; ``partitioned`` while it is considered partitioned from other zones."""

    def __init__(self) -> None:
        self.partitioned = False
        self._failing_since_s: float | None = None
        self._partitioned_since_s = float("-inf")
        self._ready_again_at_s = float("-inf")

    @property
    def last_check_failed(self) -> bool:
        """Whether the last check reached no place."""
        return self._failing_since_s is not None

    @property
    def interval_s(self) -> float:
        """The time until the next check, in seconds."""
        return RECHECK_INTERVAL_S if self.last_check_failed else CHECK_INTERVAL_S

    def record_reachable(self, now: float) -> None:
        """Record a check that reached a server or node of another zone, or found that none is needed."""
        self._failing_since_s = None
        self._become_ready(now)

    def record_unreachable(self, now: float) -> None:
        """Record a check that reached neither servers nor nodes of other zones."""
        if self._failing_since_s is None:
            self._failing_since_s = now
        if self.partitioned and now - self._partitioned_since_s >= MAX_NOT_READY_S:
            self._become_ready(now)
        elif not self.partitioned and now - max(self._failing_since_s, self._rearmed_at_s) >= UNREACHABLE_S:
            self.partitioned, self._partitioned_since_s = True, now

    @property
    def _rearmed_at_s(self) -> float:
        """When a node that was not ready for ``MAX_NOT_READY_S`` may become not ready again."""
        reached_maximum = self._ready_again_at_s - self._partitioned_since_s >= MAX_NOT_READY_S
        return self._ready_again_at_s + MAX_NOT_READY_S if reached_maximum else float("-inf")

    def _become_ready(self, now: float) -> None:
        if self.partitioned:
            self.partitioned, self._ready_again_at_s = False, now


def depends_on_others(
    zone: str, configuration: Configuration | None, servers: Iterable[ServerRecord]
) -> bool:
    """Whether some gathering route can reach its minimum coverage, but not with servers in ``zone`` alone.

    Without gathering routes: whether most services that routes reach have servers, but none in ``zone``.
    """
    if configuration is None:
        return False
    staying = [each for each in servers if not each.leaving]
    listed = {each.service for each in staying}
    local = {each.service for each in staying if each.zone == zone}
    gathers = [each.destination for each in configuration.routes if isinstance(each.destination, Gather)]
    if gathers:
        return any(_covers(each, listed) and not _covers(each, local) for each in gathers)
    routed = {name for route in configuration.routes for name in route.services}
    return len((routed & listed) - local) > MAX_ELSEWHERE_SHARE * len(routed)


def _covers(gather: Gather, services: Collection[str]) -> bool:
    reached = sum(name in services for name in gather.services)
    return reached >= gather.minimum_coverage * len(gather.services) - ROUNDING_ERROR
