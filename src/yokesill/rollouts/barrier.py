"""When the switch is complete: no live node may still use the old version's servers.

Inputs: each node's reports (effective state, requests in flight at old servers) and which nodes live.
"""

from collections.abc import Iterable
from typing import NamedTuple

from yokesill.rollouts.orders import RolloutState

# A node that is silent for longer (six intervals of reports) is not waited for: it may be gone. One that is
# only frozen wakes to a feed and decisions that send it to the new version.
LIVE_S = 3.0


class _NodeState(NamedTuple):
    incarnation: int
    effective: RolloutState
    old_in_flight: int


class Barrier:
    """Each node's effective state under one order, and its requests in flight at old servers."""

    def __init__(self) -> None:
        self._states: dict[str, _NodeState] = {}
        self._earlier_starts: set[tuple[str, int]] = set()

    def report(self, node: str, incarnation: int, effective: RolloutState, old_in_flight: int) -> None:
        """Take a node's report; one of a start that another one has followed changes nothing.

        Starts are distinguished but not compared: the clock that names them may have been set back.
        """
        before = self._states.get(node)
        if (node, incarnation) in self._earlier_starts:
            return
        if before is not None and before.incarnation != incarnation:
            self._earlier_starts.add((node, before.incarnation))
        self._states[node] = _NodeState(incarnation, effective, old_in_flight)

    def waits_for(self, live: Iterable[str]) -> tuple[str, ...]:
        """Return which of the live nodes may still use the old version.

        A live one that doesn't name the order has not received it and does.
        """
        return tuple(sorted(node for node in live if not self._has_left(node)))

    def _has_left(self, node: str) -> bool:
        known = self._states.get(node)
        if known is None or known.old_in_flight > 0:
            return False
        return known.effective in (RolloutState.SWITCHING, RolloutState.COMPLETED)
