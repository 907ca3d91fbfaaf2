"""The handling of one event by the router: its time, and the actions decided so far.

The router creates one step per event and passes it to every rule, which reads the time from it and appends
its actions. Rules never read a clock.
"""

from yokesill.gateway.events import Action


class Step:
    """The handling of one event; ``now`` is in seconds of the node's clock, ``actions`` are in order."""

    __slots__ = ("actions", "now")

    def __init__(self, now: float) -> None:
        self.now = now
        self.actions: list[Action] = []
