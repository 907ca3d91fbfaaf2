"""``yokesill explain``: one request's story, from the logs of one or several nodes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cleo.helpers import argument

from yokesill.cli.base import BaseCommand, ExitCode

CONTEXT_EVENTS = frozenset({"server_state", "server_entry", "rollout_obeyed"})
JUDGED = "request_judged"
LEFT_OUT = frozenset({"event", "timestamp", "level", "component", "request"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One JSON line: when (ISO time), in which file, and what it says."""

    time: str
    source: str
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """The name of what happened."""
        return str(self.fields.get("event", ""))

    def __str__(self) -> str:
        """The line for people."""
        details = " ".join(f"{name}={value}" for name, value in self.fields.items() if name not in LEFT_OUT)
        return f"{self.time}  {self.source}  {self.event}  {details}"


def read_lines(source: str, text: Iterable[str]) -> Iterator[LogLine]:
    """Read JSON lines; whatever stands before the first brace (a time, a machine) names the source."""
    for line in text:
        prefix, brace, rest = line.partition("{")
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            # Not ours: log files also hold lines of the machine, and a last line that was cut off.
            continue
        machine = prefix.split()[-1] if prefix.split() else source
        yield LogLine(str(fields.get("timestamp", "")), machine, fields)


def story(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the request's own lines and what was believed of its servers on the same node before.

    With what any node found of requests like it. In the order of time; of each server, and of each service's
    roll-out, only the last change before the request's last line.
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
    # Any node may have found what holds for a request that comes again.
    judged = [line for line in ordered if line.event == JUDGED and line.fields["fingerprint"] in fingerprints]
    beliefs: dict[tuple[str, str], LogLine] = {}
    for line in ordered:
        if line.time > own[-1].time or line.event not in CONTEXT_EVENTS or line.source not in sources:
            continue
        instance = line.fields.get("instance")
        if instance in servers or line.fields.get("service") in services:
            beliefs[(line.source, str(instance))] = line
    return sorted([*own, *judged, *beliefs.values()], key=lambda line: line.time)


class ExplainCommand(BaseCommand):
    """Prints one request's story in order."""

    name = "explain"
    description = "Print one request's story from nodes' logs"
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
        found = story(lines, self.argument("request"))
        if not found:
            request = self.argument("request")
            return self.fail(ExitCode.FAILED, f"no line names request {request}; give the logs of all nodes")
        for line in found:
            self.line(str(line))
        return int(ExitCode.OK)
