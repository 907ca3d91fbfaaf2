"""The times of a planned stop, in seconds of the node's clock.

All are counted from the request to stop, from which the process's end is counted as well: a node whose event
loop is held gets round to the stop, and to each of its steps, late. The longest such delay of the stop so far
may come again at its end, so the answers are due sooner by as much.
"""

from yokesill.serving.settings import GatewaySettings


class StopClock:
    """When a node that was asked to stop at ``asked_at_s`` withdraws, answers and ends."""

    __slots__ = ("_answers_by_s", "_held_s", "_max_held_s", "asked_at_s", "end_at_s", "withdrawn_at_s")

    def __init__(self, asked_at_s: float, settings: GatewaySettings) -> None:
        self.asked_at_s = asked_at_s
        self.withdrawn_at_s = asked_at_s + settings.withdraw_time_s
        self.end_at_s = asked_at_s + settings.stop_time_s
        self._answers_by_s = asked_at_s + settings.answers_time_s
        self._max_held_s = settings.max_held_s
        self._held_s = 0.0

    @property
    def answers_by_s(self) -> float:
        """When every request must have its final answer."""
        return self._answers_by_s - self._held_s

    def observe_delay(self, delay_s: float) -> bool:
        """Record by how much the event loop was late; return whether answers are due sooner now."""
        held_s = min(delay_s, self._max_held_s)
        if held_s <= self._held_s:
            return False
        self._held_s = held_s
        return True
