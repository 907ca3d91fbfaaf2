"""``yokesill explain``: the log lines that explain one request, from the logs of one or more nodes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cleo.helpers import argument

from yokesill.cli.base import BaseCommand, ExitCode

CONTEXT_EVENTS = frozenset({"server_state", "server_entry", "rollout_obeyed"})
VERDICT_EVENT = "request_judged"
HIDDEN_FIELDS = frozenset({"event", "timestamp", "level", "component", "request"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One JSON log line with its time (ISO 8601) and the machine or file that it comes from."""

    time: str
    source: str
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Name of the logged event."""
        return str(self.fields.get("event", ""))

    def __str__(self) -> str:
        """Format the line for the terminal."""
        details = " ".join(
            f"{name}={value}" for name, value in self.fields.items() if name not in HIDDEN_FIELDS
        )
        return f"{self.time}  {self.source}  {self.event}  {details}"


def read_lines(source: str, text: Iterable[str]) -> Iterator[LogLine]:
    """Parse JSON log lines; the last word before the first brace, if any, names the source."""
    for line in text:
        prefix, brace, rest = line.partition("{")
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            # Log files also hold lines of other programs, and the last line may be truncated.
            continue
        machine = prefix.split()[-1] if prefix.split() else source
        yield LogLine(str(fields.get("timestamp", "")), machine, fields)


def lines_about(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request and those that give their context, in order of time.

    The context is the state of its servers and roll-outs on the same nodes, of which only the last change up
    to the request's last line is kept, and the verdicts of any node on requests with the same fingerprint.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.fields.get("request") == request]
    if not own:
        return []
    sources = {line.source for line in own}
    servers = {line.fields.get("instance") for line in own} - {None}
    named = [line.fields.get(field, ()) for line in own for field in ("missing", "left_out")]
    services = {service for names in named for service in names}
    services |= {line.fields.get("service") for line in own} - {None}
    fingerprints = {line.fields.get("fingerprint") for line in own} - {None}
    # The verdict on a repeated request may come from any node.
    verdicts = [
        line for line in ordered if line.event == VERDICT_EVENT and line.fields["fingerprint"] in fingerprints
    ]
    last_states: dict[tuple[str, str], LogLine] = {}
    for line in ordered:
        if line.time > own[-1].time or line.event not in CONTEXT_EVENTS or line.source not in sources:
            continue
        instance = line.fields.get("instance")
        if instance in servers or line.fields.get("service") in services:
            last_states[(line.source, str(instance))] = line
    return sorted([*own, *verdicts, *last_states.values()], key=lambda line: line.time)


class ExplainCommand(BaseCommand):
    """Prints the log lines that explain one request, in order of time."""

    name = "explain"
    description = "Print the log lines of one request from nodes' logs"
    arguments = [
        argument("request", "the request's id"),
        argument("files", "log files of the nodes", multiple=True),
    ]

    def handle(self) -> int:
        """Read the files and print."""
        lines: list[LogLine] = []
        for name in self.argument("files"):
            try:
                lines.extend(read_lines(name, Path(name).read_text().splitlines()))
            except OSError as error:
                return self.fail(ExitCode.FAILED, f"{name}: {error.strerror or 'cannot be read'}")
        found = lines_about(lines, self.argument("request"))
        if not found:
            request = self.argument("request")
            return self.fail(ExitCode.FAILED, f"no line names request {request}; give the logs of all nodes")
        for line in found:
            self.line(str(line))
        return int(ExitCode.OK)
