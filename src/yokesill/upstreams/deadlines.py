"""Watches the deadlines of calls: the attempts of one request share theirs, and so one timer.

Owns the calls by deadline until they end or expire; the timers are ``ServerClient``'s.
"""

from collections.abc import Callable

from yokesill.timers import Timers
from yokesill.upstreams.attempt_call import AttemptCall


class Deadlines:
    """Calls ``expire`` with each call that is still watched at its deadline."""

    __slots__ = ("_calls", "_expire", "_timers")

    def __init__(self, timers: Timers[Callable[[], None]], expire: Callable[[AttemptCall], None]) -> None:
        self._calls: dict[float, dict[int, AttemptCall]] = {}
        self._timers = timers
        self._expire = expire

    def watch(self, call: AttemptCall) -> None:
        """Watch a call's deadline."""
        deadline_at_s = call.attempt.deadline_at_s
        sharing = self._calls.get(deadline_at_s)
        if sharing is None:
            sharing = self._calls[deadline_at_s] = {}
            self._timers.set(deadline_at_s, lambda: self._expire_all(deadline_at_s))
        sharing[call.attempt.number] = call

    def forget(self, call: AttemptCall) -> None:
        """Stop watching a call that ended.

        Kept until their deadlines, the ended calls of some seconds would hold their requests'
        headers and bodies: 156 bytes a call and up, 5.6 MB at 9,000 sub-requests a second.
        """
        deadline_at_s = call.attempt.deadline_at_s
        sharing = self._calls.get(deadline_at_s)
        if sharing is not None:
            sharing.pop(call.attempt.number, None)
            if not sharing:
                del self._calls[deadline_at_s]

    def _expire_all(self, deadline_at_s: float) -> None:
        for call in list(self._calls.pop(deadline_at_s, {}).values()):
            self._expire(call)
