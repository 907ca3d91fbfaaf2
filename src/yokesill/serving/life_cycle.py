"""The state of a node between its start and the end of its planned stop.

Owns the current state; the transitions are those of ``charts/gateway.yaml``. Readiness probes and the
process read it, the process and the partition check change it.
"""

from yokesill.charts.flat import transition_table
from yokesill.logs import Logger


class LifeCycle:
    """Applies the events of the chart ``gateway``; an event without a transition changes nothing."""

    __slots__ = ("_log", "_table", "state")

    def __init__(self, log: Logger) -> None:
        self.state = "starting"
        self._log = log
        self._table = transition_table("gateway")

    def apply_event(self, event: str, **details: object) -> str:
        """Apply an event and return the state after it; ``details`` go into the log line of a change."""
        before = self.state
        self.state = self._table.get((before, event), before)
        if self.state != before:
            self._log.info("state", before=before, state=self.state, **details)
        return self.state

    def is_ready(self) -> bool:
        """Whether readiness probes are answered with 200."""
        return self.state == "serving"
