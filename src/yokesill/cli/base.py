"""Base of the subcommands: exit codes, options that select a node, one-line errors, tables and JSON.

Operators' scripts rely on the exit codes, option names and environment variables (``tests/forms``).
``admin_client`` makes the calls to a node.
"""

import enum
import json
import os
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.ui.table import Table

from yokesill.cli.admin_client import AdminClient, AdminReply
from yokesill.clock import run_with_boottime_clock
from yokesill.resources.validation import DocumentError
from yokesill.verdict import Failure

TOKEN_VARIABLE = "YOKESILL_TOKEN"
NODE_VARIABLE = "YOKESILL_NODE"
DEFAULT_NODE = "127.0.0.1:7101"


class ExitCode(enum.IntEnum):
    """Exit codes of every subcommand."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    REFUSED = 4
    UNREACHABLE = 5
    IN_DOUBT = 6


NODE_OPTIONS = [
    option("node", None, f"IP:PORT of a node (or ${NODE_VARIABLE})", flag=False),
    option("token", None, f"bearer token (or ${TOKEN_VARIABLE})", flag=False),
    option("output", "o", "table or json", flag=False, default="table"),
]


class BaseCommand(Command):
    """A subcommand; prints each error as one line on standard error, with advice where there is any."""

    def client(self) -> AdminClient:
        """Return a client of the node given by flag or environment."""
        node = self.option("node") or os.environ.get(NODE_VARIABLE) or DEFAULT_NODE
        token = self.option("token") or os.environ.get(TOKEN_VARIABLE) or ""
        return AdminClient(node, token)

    @property
    def wants_json(self) -> bool:
        """Whether the output is JSON."""
        return bool(self.option("output") == "json")

    def fail(self, code: ExitCode, message: str) -> int:
        """Print a one-line error and return the exit code."""
        self.line_error(f"<error>error:</error> {message}")
        return int(code)

    def fail_with_errors(self, source: str, errors: Sequence[DocumentError]) -> int:
        """Print each error with its location."""
        for each in errors:
            self.line_error(f"<error>error:</error> {source}: {each}")
        return int(ExitCode.INVALID)

    def fail_unreachable(self, client: AdminClient, failure: Failure) -> int:
        """Report that the node did not reply, and suggest another one."""
        message = f"node {client.node} does not answer ({failure.reason}); try another with --node"
        return self.fail(ExitCode.UNREACHABLE, message)

    def fail_with_reply(self, what: str, reply: AdminReply) -> int:
        """Report a refusal by a node with its reason."""
        body = reply.body if isinstance(reply.body, dict) else {}
        for each in body.get("errors", []):
            self.line_error(f"<error>error:</error> {what}: {each['place']}: {each['message']}")
        if body.get("errors"):
            return int(ExitCode.INVALID)
        advice = ""
        if body.get("retry_after_ms"):
            advice = f"; try again in {body['retry_after_ms']} ms"
        message = f"{what}: {body.get('reason', reply.status)}: {body.get('detail', '')}{advice}"
        return self.fail(ExitCode.REFUSED, message)

    def print_json(self, value: Any) -> None:
        """Print a value as JSON."""
        self.line(json.dumps(value, indent=2, sort_keys=True))

    def print_table(self, headers: list[str], rows: list[list[str]]) -> None:
        """Print a table."""
        table = Table(self.io)
        table.set_headers(list(headers))
        table.set_rows([list(row) for row in rows])
        table.render()

    @staticmethod
    def run_async(main: Callable[[], Awaitable[int]]) -> int:
        """Run ``main`` on asyncio's loop."""
        return run_with_boottime_clock(main)
