"""Determines when a decider writes an order's record, and which unconfirmed state may be recorded.

Two deciders want to write the same records. The first by rank writes immediately, each further one waits a
little, and the condition on the record's revision resolves the remaining conflicts, so that no lease is
needed. Inputs: the state to record, how many deciders rank before this one, which node found the version bad,
and how earlier writes ended; times in seconds of the node's clock.
"""

from yokesill.rollouts.orders import RolloutState
from yokesill.verdict import Failure, Verdict

# Covers a slow write (0.25 s) by the preceding decider and its announcement. With 1 s, the successor of a
# decider killed during the switch missed the order's deadline by 0.2 s.
STAGGER_S = 0.7
# A node that rolls a version back also records it. Other nodes do so after this delay, by which the first
# node's message or the feed would have arrived.
PEER_ROLLBACK_STAGGER_S = 0.5
# Pause after a failed write: longer than a slow write (0.25 s).
RETRY_DELAY_S = 0.3


def stagger_s(rolling_back: bool, rolled_back_by_peer: bool, deciders_before: int) -> float:
    """Return how long this node waits before it writes a record that is due.

    Parameters
    ----------
    rolling_back
        Whether the version is being rolled back, which needs no order among deciders.
    rolled_back_by_peer
        Whether another node rolled it back.
    deciders_before
        How many deciders rank before this one.
    """
    if rolling_back:
        return PEER_ROLLBACK_STAGGER_S if rolled_back_by_peer else 0.0
    return deciders_before * STAGGER_S


class RecordWrites:
    """Tracks this node's writes of one order's record."""

    def __init__(self, now: float) -> None:
        self._due: tuple[RolloutState, float] | None = None
        self._not_before_s = now
        self._in_flight: RolloutState | None = None
        self._in_doubt: RolloutState | None = None

    def is_due(self, state: RolloutState, wait_s: float, reaches_registry: bool, now: float) -> bool:
        """Whether to write a state now, which requires that it has been due for ``wait_s``."""
        if self._due is None or self._due[0] is not state:
            self._due = (state, now)
        return reaches_registry and now >= max(self._not_before_s, self._due[1] + wait_s)

    def clear_due(self) -> None:
        """Note that no write is due, since the record is correct or another state becomes due."""
        self._due = None

    def started(self, state: RolloutState) -> None:
        """Note that a write has started."""
        self._in_flight = state

    def ended(self) -> None:
        """Note that the write in flight has ended."""
        self._in_flight = None

    def failed(self, state: RolloutState, failure: Failure, now: float) -> None:
        """Note that a write failed; unless it certainly had no effect, its state is in doubt from now on."""
        self._not_before_s = now + RETRY_DELAY_S
        if failure.verdict is not Verdict.NOT_RUN:
            self._in_doubt = max(self._in_doubt or state, state, key=_rank)

    def record_confirmed(self) -> None:
        """Note that the record is known again, so that no state is in doubt."""
        self._in_doubt = None

    def may_be_recorded(self, state: RolloutState) -> bool:
        """Whether an unconfirmed write of this node may have recorded a state."""
        return state in (self._in_flight, self._in_doubt)


def _rank(state: RolloutState) -> int:
    return state.rank
