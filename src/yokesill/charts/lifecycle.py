"""Slow charts, interpreted by sismic: a life cycle that steps a few times in a process's life."""

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
        """Step the chart with ``event`` (ignored where no transition takes it); return the state."""
        self._interpreter.queue(event)
        self._interpreter.execute()
        return self.state
