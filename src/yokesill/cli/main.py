"""Entry point of the ``yokesill`` command."""

from cleo.application import Application

from yokesill import __version__
from yokesill.cli.apply import ApplyCommand
from yokesill.cli.delete import DeleteCommand
from yokesill.cli.demo import DemoCommand
from yokesill.cli.emulate import EmulateCommand
from yokesill.cli.get import GetCommand
from yokesill.cli.load import LoadCommand
from yokesill.cli.query import QueryCommand
from yokesill.cli.report import ReportCommand
from yokesill.cli.serve import ServeCommand
from yokesill.cli.status import StatusCommand
from yokesill.cli.validate import ValidateCommand

COMMANDS = (
    ServeCommand,
    DemoCommand,
    EmulateCommand,
    ApplyCommand,
    GetCommand,
    DeleteCommand,
    QueryCommand,
    StatusCommand,
    ValidateCommand,
    LoadCommand,
    ReportCommand,
)


def main() -> int:
    """Run the command line; return its exit code."""
    application = Application("yokesill", __version__)
    for command in COMMANDS:
        application.add(command())
    return application.run()


if __name__ == "__main__":
    raise SystemExit(main())
