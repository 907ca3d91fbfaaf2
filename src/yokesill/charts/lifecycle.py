"""Runs charts in sismic's interpreter: life cycles that step only a few times per process."""

from sismic.interpreter import Interpreter

from yokesill.charts.tables import load_chart


class Lifecycle:
    """One running instance of a chart."""

    def __init__(self, chart_name: str) -> None:
        chart = load_chart(chart_name)
        self._interpreter = Interpreter(chart)
        self._root: str = chart.root
        self._interpreter.execute()

    @property
    def state(self) -> str:
        """The name of the active state; ``stopped`` once the chart is in a final state."""
        if self._interpreter.final:
            return "stopped"
        active = [name for name in self._interpreter.configuration if name != self._root]
        return str(active[-1])

    def handle(self, event: str) -> str:
        """Process ``event``, which is ignored if no transition matches; return the new state."""
        self._interpreter.queue(event)
        self._interpreter.execute()
        return self.state
