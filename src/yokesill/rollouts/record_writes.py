"""When a decider writes an order's record, and which written state may stand though nobody confirmed it.

Two deciders want the same records. Whoever ranks first writes at once, each further one waits a little, and
the condition on the record's revision settles what remains: so no lease is needed. Inputs: the state to
record, how many deciders rank before this one, who found the version bad, and how earlier writes ended;
times in seconds of the node's clock.
"""

from yokesill.rollouts.orders import RolloutState
from yokesill.verdict import Failure, Verdict

# What each further decider leaves the one before to do: a slow write (0.25 s) and its message.
# With 1 s, a decider killed in the switch made its successor 0.2 s too late for the order's time.
STAGGER_S = 0.7
# What another node took back is recorded by that node, unless it can't; its message or the feed comes before
# this.
PEER_HALT_STAGGER_S = 0.5
# Between a write that failed and the next one: longer than a slow write (0.25 s).
RETRY_S = 0.3


def stagger_s(halted: bool, halted_by_peer: bool, deciders_before: int) -> float:
    """Return how long a record stays due before this node writes it.

    Parameters
    ----------
    halted
        Whether the version is to be taken back, which needs no order among deciders.
    halted_by_peer
        Whether another node took it back.
    deciders_before
        How many deciders rank before this one.
    """
    if halted:
        return PEER_HALT_STAGGER_S if halted_by_peer else 0.0
    return deciders_before * STAGGER_S


class RecordWrites:
    """The writes of one order's record by this node."""

    def __init__(self, now: float) -> None:
        self._due: tuple[RolloutState, float] | None = None
        self._not_before_s = now
        self._under_way: RolloutState | None = None
        self._in_doubt: RolloutState | None = None

    def is_due(self, state: RolloutState, wait_s: float, reaches_registry: bool, now: float) -> bool:
        """Whether a state is to be written now, after it has been due for ``wait_s``."""
        if self._due is None or self._due[0] is not state:
            self._due = (state, now)
        return reaches_registry and now >= max(self._not_before_s, self._due[1] + wait_s)

    def nothing_due(self) -> None:
        """Note that the record is right, or that something else becomes due."""
        self._due = None

    def started(self, state: RolloutState) -> None:
        """Note that a write is under way."""
        self._under_way = state

    def ended(self) -> None:
        """Note that the write under way has ended."""
        self._under_way = None

    def failed(self, state: RolloutState, failure: Failure, now: float) -> None:
        """Note that a write failed; unless it certainly did nothing, its state is in doubt from now on."""
        self._not_before_s = now + RETRY_S
        if failure.verdict is not Verdict.NOT_RUN:
            self._in_doubt = max(self._in_doubt or state, state, key=_rank)

    def settled(self) -> None:
        """Note that the record is known again: no write is in doubt any more."""
        self._in_doubt = None

    def may_stand(self, state: RolloutState) -> bool:
        """Whether a state may stand in the record by a write of this node that nobody confirmed."""
        return state in (self._under_way, self._in_doubt)


def _rank(state: RolloutState) -> int:
    return state.rank
