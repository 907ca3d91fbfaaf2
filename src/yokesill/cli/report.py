"""``yokesill report``: renders a results file as a self-contained page."""

import json
from pathlib import Path

from cleo.helpers import argument, option

from yokesill.cli.base import BaseCommand, ExitCode
from yokesill.loadgen.page import render_page


class ReportCommand(BaseCommand):
    """Renders the JSON results of ``load`` or of a benchmark as one HTML page."""

    name = "report"
    description = "Write a page of a load run's results"
    arguments = [argument("results", "JSON file of results")]
    options = [option("page", None, "file to write", flag=False, default="report.html")]

    def handle(self) -> int:
        """Read the results and write the page."""
        source = Path(self.argument("results"))
        try:
            page = render_page(json.loads(source.read_text()))
        except (OSError, ValueError, KeyError, TypeError) as error:
            return self.fail(ExitCode.INVALID, f"{source} is not a results file: {error!r}")
        Path(self.option("page")).write_text(page)
        self.line(f"wrote {self.option('page')}")
        return int(ExitCode.OK)
