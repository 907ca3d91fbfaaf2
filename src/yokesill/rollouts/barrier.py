"""Decides when a switch is complete: when no live node can still use the old version's servers.

Inputs: each node's reports (effective state, requests in flight at old servers) and the set of live nodes.
"""

from collections.abc import Iterable
from typing import NamedTuple

from yokesill.rollouts.orders import RolloutState

# A node whose last report is older (six report intervals) may be gone and is not waited for. If it was only
# suspended, the feed and the decisions move it to the new version when it resumes.
NODE_TIMEOUT_S = 3.0


class _NodeState(NamedTuple):
    incarnation: int
    effective: RolloutState
    old_in_flight: int


class Barrier:
    """Tracks each node's effective state under one order and its requests in flight at old servers."""

    def __init__(self) -> None:
        self._states: dict[str, _NodeState] = {}
        self._past_incarnations: set[tuple[str, int]] = set()

    def report(self, node: str, incarnation: int, effective: RolloutState, old_in_flight: int) -> None:
        """Apply a node's report; a report from before the node's latest restart is ignored.

        Incarnations are only tested for equality: they come from a clock that may have been set back.
        """
        before = self._states.get(node)
        if (node, incarnation) in self._past_incarnations:
            return
        if before is not None and before.incarnation != incarnation:
            self._past_incarnations.add((node, before.incarnation))
        self._states[node] = _NodeState(incarnation, effective, old_in_flight)

    def waits_for(self, live: Iterable[str]) -> tuple[str, ...]:
        """Return the live nodes that may still use the old version.

        A live node whose reports don't include the order has not received it, and still uses the old version.
        """
        return tuple(sorted(node for node in live if not self._has_left_old_version(node)))

    def _has_left_old_version(self, node: str) -> bool:
        known = self._states.get(node)
        if known is None or known.old_in_flight > 0:
            return False
        return known.effective in (RolloutState.SWITCHING, RolloutState.COMPLETED)
