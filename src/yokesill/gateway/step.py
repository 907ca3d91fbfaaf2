"""One event while the router handles it: when it is handled, and what was decided so far.

The router creates one step for each event and hands it to every rule, which reads the time from it and
appends its actions. Rules never read a clock.
"""

from yokesill.gateway.events import Action


class Step:
    """The handling of one event; ``now`` in seconds of the node's clock, ``actions`` in their order."""

    __slots__ = ("actions", "now")

    def __init__(self, now: float) -> None:
        self.now = now
        self.actions: list[Action] = []
