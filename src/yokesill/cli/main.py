"""Entry point of the ``yokesill`` command."""

import importlib
from collections.abc import Callable

from cleo.application import Application
from cleo.commands.command import Command
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from yokesill import __version__
from yokesill.serving.signals import hold_signals

COMMANDS = (
    "serve",
    "gateway",
    "demo",
    "demo-queries",
    "emulate",
    "apply",
    "get",
    "delete",
    "query",
    "status",
    "rollouts",
    "validate",
    "explain",
    "load",
    "report",
)
# These handle signals once they run; loading them takes most of their start.
NODE_COMMANDS = ("serve", "gateway")


def _factory(name: str) -> Callable[[], Command]:
    """Return a factory that imports the subcommand on use, so that a node does not load matplotlib."""

    def make() -> Command:
        if name in NODE_COMMANDS:
            hold_signals()
        words = name.split("-")
        module = importlib.import_module(f"yokesill.cli.{'_'.join(words)}")
        command: Command = getattr(module, "".join(map(str.capitalize, words)) + "Command")()
        return command

    return make


def main() -> int:
    """Run the command line; return its exit code."""
    application = Application("yokesill", __version__)
    application.set_command_loader(FactoryCommandLoader({name: _factory(name) for name in COMMANDS}))
    return application.run()


if __name__ == "__main__":
    raise SystemExit(main())
