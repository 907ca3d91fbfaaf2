"""Tells when a state that lasts is reported again: at once, then after pauses that double."""

FIRST_PAUSE_S, MAX_PAUSE_S = 1.0, 60.0


class Reminder:
    """Reports of one state that a node waits in; a change of what it waits for is reported at once."""

    __slots__ = ("_due_at_s", "_pause_s", "_since_s", "_told")

    def __init__(self) -> None:
        self._told: object = None
        self._since_s = self._due_at_s = 0.0
        self._pause_s = FIRST_PAUSE_S

    def due(self, waits_for: object, now: float) -> bool:
        """Return whether to report that the node waits for ``waits_for``, which is not ``None``."""
        if self._told is None:
            self._since_s = now
        changed = waits_for != self._told
        if not changed and now < self._due_at_s:
            return False
        self._told = waits_for
        self._pause_s = FIRST_PAUSE_S if changed else min(MAX_PAUSE_S, 2 * self._pause_s)
        self._due_at_s = now + self._pause_s
        return True

    def waited_s(self, now: float) -> float:
        """Return for how long the state has lasted, by the times given to ``due``."""
        return now - self._since_s
