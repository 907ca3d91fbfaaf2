"""Bounds the number of a listener's connections: which one gives its place up for a new one."""

import enum
from itertools import islice
from typing import Protocol

from yokesill.callers.closings import CloseReason

# How many of the connections that have waited longest are considered for each new one.
MAX_CONSIDERED = 8


class Claim(enum.IntEnum):
    """How strong a waiting connection's claim to its place is."""

    NONE = 0
    # Its caller has taken a part of its answer since it was last considered.
    CALLER_GOES_ON = 1
    # Bytes of a request that it has begun wait to be parsed.
    NODE_HAS_BEGUN = 2
    # Its caller waits for this node, which has not read or not parsed any of its request yet.
    NODE_IS_DUE = 3


class PlaceHolder(Protocol):
    """A connection that may have to give its place up."""

    def claim(self) -> Claim:
        """Return its claim to its place."""

    def is_unread(self) -> bool:
        """Whether a caller of whom nothing has been read has sent something."""

    def close_after_answer(self) -> None:
        """Close the connection with the answer to its request."""

    def give_up(self, reason: CloseReason) -> None:
        """Close the connection."""


class ConnectionPlaces:
    """The connections with a place to run requests in, and those without, in the order in which they began.

    Those with a place either wait, for their callers or for this node, or run a request.
    """

    __slots__ = ("_running", "_waiting", "_without_place")

    def __init__(self) -> None:
        # A dict keeps the order and removes any member at once.
        self._waiting: dict[PlaceHolder, None] = {}
        self._running: dict[PlaceHolder, None] = {}
        self._without_place: dict[PlaceHolder, None] = {}

    @property
    def taken(self) -> int:
        """The number of connections with a place."""
        return len(self._waiting) + len(self._running)

    def set_waiting(self, connection: PlaceHolder) -> None:
        """Note that the last request of a connection with a place has been answered."""
        self._running.pop(connection, None)
        self._waiting.setdefault(connection)

    def set_running(self, connection: PlaceHolder) -> None:
        """Note that a connection's request is whole: it keeps its place until the answer."""
        self._waiting.pop(connection, None)
        self._running.setdefault(connection)

    def remove(self, connection: PlaceHolder) -> None:
        """Forget a connection that is being closed."""
        self._waiting.pop(connection, None)
        self._running.pop(connection, None)
        self._without_place.pop(connection, None)

    def take(self, connection: PlaceHolder, count: int) -> bool:
        """Give a connection one of ``count`` places; return whether there was one for it.

        If none is free, the connection that has gone longest without a whole request gives its place up, of
        those with the weakest claim; none that the node is due to does. If there is no such connection, the
        one whose request has run longest closes after its answer: callers with always one more request would
        keep all places.
        """
        if self.taken >= count and not self._give_one_up(self._waiting):
            self._without_place.setdefault(connection)
            self._close_longest_running()
            return False
        self._without_place.pop(connection, None)
        self._waiting[connection] = None
        return True

    def refuse_one(self, newest: PlaceHolder) -> None:
        """Give up the longest waiting connection without a place, or else ``newest``."""
        if not self._give_one_up(self._without_place):
            newest.give_up(CloseReason.CONNECTIONS)

    @staticmethod
    def _give_one_up(connections: dict[PlaceHolder, None]) -> bool:
        """Give up the first one of those with the weakest claim; return whether there was one."""
        considered = list(islice(connections, MAX_CONSIDERED))
        claims = {each: each.claim() for each in considered}
        # Sorting keeps the order of those with the same claim.
        for each in sorted(considered, key=lambda one: claims[one]):
            if claims[each] is Claim.NODE_IS_DUE:
                return False
            if not each.is_unread():
                each.give_up(CloseReason.CONNECTIONS)
                return True
        return False

    def _close_longest_running(self) -> None:
        longest = next(iter(self._running), None)
        if longest is not None:
            # The next one is another.
            self._running[longest] = self._running.pop(longest)
            longest.close_after_answer()
