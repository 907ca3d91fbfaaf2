"""The state of a node between its start and the end of its planned stop.

Owns the current state; the transitions are defined in ``charts/gateway.yaml``. Readiness probes and the
process read the state; the process and the partition check change it.
"""

from yokesill.charts.flat import transition_table
from yokesill.logs import Logger


class LifeCycle:
    """State machine of the chart ``gateway``; events without a transition from the state are ignored."""

    __slots__ = ("_log", "_table", "state")

    def __init__(self, log: Logger) -> None:
        self.state = "starting"
        self._log = log
        self._table = transition_table("gateway")

    def apply_event(self, event: str, **details: object) -> str:
        """Apply an event and return the new state; ``details`` are logged with a change of state."""
        before = self.state
        self.state = self._table.get((before, event), before)
        if self.state != before:
            self._log.info("state", before=before, state=self.state, **details)
        return self.state

    def is_ready(self) -> bool:
        """Whether readiness probes are answered with status 200."""
        return self.state == "serving"
