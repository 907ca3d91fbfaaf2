"""Reads the event logs of all processes into typed values for the checkers."""

import json
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from soak.layout import RESTART_S, Bounds, Layout
from soak.schedule import ALL_KINDS, Fault

# Within this time a server crashed by a request is restarted and known to all nodes.
CRASH_RECOVERY_S = RESTART_S + 1.0


class Ask(NamedTuple):
    """A caller's request and its outcome; times are in seconds of the machine's monotonic clock.

    ``ending`` is ``answered``, ``closed`` (before a whole answer), ``broken`` (bytes that are not an answer),
    ``silent`` (the caller gave up long after the deadline) or ``refused`` (no connection).
    """

    id: str
    route: str
    node: int
    path: str
    asked_s: float
    ended_s: float
    ending: str
    status: int = 0
    signature: str = ""
    echo: str = ""
    parts: tuple[str, ...] = ()
    missing: int = 0
    body: str = ""

    @property
    def succeeded(self) -> bool:
        """Whether it was answered with a 2xx status."""
        return self.ending == "answered" and 200 <= self.status < 300


class Arrival(NamedTuple):
    """A request that reached a server; ``signature`` is empty if it did not run."""

    at_s: float
    server: str
    service: str
    version: str
    id: str
    path: str
    ran: bool
    signature: str
    status: int = 0

    @property
    def refused_as_another(self) -> bool:
        """Whether it was refused because it was sent to an earlier server at this address."""
        return self.status == 421


class Stored(NamedTuple):
    """A configuration or roll-out order that the store accepted; ``node`` is -1 for the operator."""

    at_s: float
    node: int
    kind: str
    name: str
    part: str
    value: Any


class Span(NamedTuple):
    """The time and targets of a fault; ``end_s`` is infinite while it lasts."""

    kind: str
    begin_s: float
    end_s: float
    targets: tuple[int, ...]

    def overlaps(self, begin_s: float, end_s: float) -> bool:
        """Whether the fault overlaps an interval."""
        return self.begin_s <= end_s and self.end_s >= begin_s


class Started(NamedTuple):
    """The start of a server in a slot."""

    at_s: float
    server: str
    service: str
    version: str
    slot: int
    bad: bool


class Crash(NamedTuple):
    """The crash of a server, caused by a request for ``path``."""

    at_s: float
    server: str
    path: str


class TurnedCold(NamedTuple):
    """A server that turned cold for a time."""

    at_s: float
    server: str
    service: str
    seconds: float


class PartFailure(NamedTuple):
    """A part of a node that failed and was restarted; ``at_s`` is the time when the node's log was read."""

    at_s: float
    node: str
    part: str
    problem: str


class UnaskedEnd(NamedTuple):
    """The end of a node's process that the soak neither asked for nor caused.

    ``reason`` is ``exit``, ``signal``, or ``memory`` if it was killed above its limit; ``log`` has its last
    lines.
    """

    at_s: float
    node: int
    status: int
    reason: str
    log: list[str]


class Record(NamedTuple):
    """All events recorded by the callers, the servers, the store and the soak itself."""

    layout: Layout
    bounds: Bounds
    asks: tuple[Ask, ...] = ()
    arrivals: tuple[Arrival, ...] = ()
    done: dict[str, tuple[float, int]] = {}  # noqa: RUF012 (read only; signature to time and status)
    stored: tuple[Stored, ...] = ()
    spans: tuple[Span, ...] = ()
    leaving: dict[str, float] = {}  # noqa: RUF012 (read only; server to time)
    ended: dict[str, float] = {}  # noqa: RUF012
    started: tuple[Started, ...] = ()
    node_starts: dict[int, tuple[float, ...]] = {}  # noqa: RUF012
    crashes: tuple[Crash, ...] = ()
    turned_cold: tuple[TurnedCold, ...] = ()
    part_failures: tuple[PartFailure, ...] = ()
    unasked_ends: tuple[UnaskedEnd, ...] = ()

    def disturbed(
        self,
        target_kinds: Iterable[str],
        target: int | None,
        begin_s: float,
        end_s: float,
        excluding: Span | str | None = None,
    ) -> bool:
        """Whether a fault on a target kind overlapped an interval or ended up to ``contact_s`` before.

        ``target`` is a number, or ``None`` for any; ``excluding`` is a span or a kind of fault to ignore.
        """
        begin_s -= self.bounds.contact_s
        return any(
            span.overlaps(begin_s, end_s)
            and ALL_KINDS[span.kind][0] in target_kinds
            and (target is None or target in span.targets)
            and excluding not in (span, span.kind)
            for span in self.spans
        )

    def node_in_touch(self, node: int, begin_s: float, end_s: float, excluding: Span | None = None) -> bool:
        """Whether no fault disturbed a node, its link to callers, or its link to the store."""
        return not self.disturbed(("node", "nodes", "all", "front", "store"), node, begin_s, end_s, excluding)

    def server_healthy(self, slot: int, begin_s: float, end_s: float) -> bool:
        """Whether a server and its link had no fault, other than a drain of the server."""
        return not self.disturbed(
            ("server", "shard", "shards", "desk"), slot, begin_s, end_s, excluding="server_drain"
        )

    def any_server_crashed(self, begin_s: float, end_s: float) -> bool:
        """Whether any server that was crashed by a request was down at some point of an interval."""
        return any(begin_s - CRASH_RECOVERY_S <= each.at_s <= end_s for each in self.crashes)

    def core_stable(self, begin_s: float, end_s: float) -> bool:
        """Whether the store had no fault."""
        return not self.disturbed(("core",), None, begin_s, end_s)

    def configurations(self) -> list[Stored]:
        """Return the accepted configurations, oldest first."""
        return [each for each in self.stored if each.kind == "config" and each.part == "spec"]

    def accepted_at_s(self) -> dict[int, float]:
        """Return when each version was first accepted; a version that the store lost is written again."""
        found: dict[int, float] = {}
        for each in self.configurations():
            found.setdefault(each.value["configVersion"], each.at_s)
        return found

    def arrivals_by_id(self) -> dict[str, list[Arrival]]:
        """Return the arrivals by request id, earliest first."""
        found: dict[str, list[Arrival]] = defaultdict(list)
        for each in self.arrivals:
            found[each.id].append(each)
        return found


def read_record(folder: Path, layout: Layout, bounds: Bounds) -> Record:
    """Read the event logs of a run, which may still be in progress."""
    events: list[dict[str, Any]] = []
    for path in sorted(folder.glob("events-*.jsonl")):
        for line in path.read_text().splitlines(keepends=True):
            if line.endswith("\n"):
                events.append(json.loads(line))
    events.sort(key=lambda event: event["t"])
    by_kind: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for event in events:
        by_kind[event["what"]].append(event)
    starts: dict[int, list[float]] = defaultdict(list)
    for event in by_kind["node_started"]:
        starts[event["node"]].append(event["t"])
    return Record(
        layout=layout,
        bounds=bounds,
        asks=tuple(_parse_ask(event) for event in by_kind["answer"]),
        arrivals=tuple(_from_event(Arrival, event, at_s=event["t"]) for event in by_kind["arrived"]),
        done={event["signature"]: (event["t"], event["status"]) for event in by_kind["done"]},
        stored=tuple(_from_event(Stored, event, at_s=event["t"]) for event in by_kind["stored"]),
        spans=_spans(by_kind["fault"], by_kind["fault_end"]),
        leaving={event["server"]: event["t"] for event in by_kind["leaving"]},
        ended={event["server"]: event["t"] for event in by_kind["ended"]},
        started=tuple(_from_event(Started, event, at_s=event["t"]) for event in by_kind["started"]),
        node_starts={node: tuple(times) for node, times in starts.items()},
        crashes=tuple(_from_event(Crash, event, at_s=event["t"]) for event in by_kind["crashed"]),
        turned_cold=tuple(
            _from_event(TurnedCold, event, at_s=event["t"]) for event in by_kind["turned_cold"]
        ),
        unasked_ends=tuple(
            _from_event(UnaskedEnd, event, at_s=event["t"]) for event in by_kind["node_ended_unasked"]
        ),
        part_failures=tuple(_part_failures(folder, events[-1]["t"] if events else 0.0)),
    )


def _part_failures(folder: Path, at_s: float) -> Iterator[PartFailure]:
    for path in sorted(folder.glob("node-*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if '"part_failed"' in line and line.endswith("}"):
                entry = json.loads(line)
                yield PartFailure(at_s, path.stem, str(entry.get("part")), str(entry.get("problem")))


def _parse_ask(event: dict[str, Any]) -> Ask:
    ask: Ask = _from_event(Ask, event, ended_s=event["t"])
    return ask._replace(parts=tuple(ask.parts))


def _from_event(kind: Any, event: dict[str, Any], **extra: Any) -> Any:
    return kind(**{name: value for name, value in event.items() if name in kind._fields}, **extra)


def _spans(begins: list[dict[str, Any]], ends: list[dict[str, Any]]) -> tuple[Span, ...]:
    ended = {event["number"]: event["t"] for event in ends}
    return tuple(
        Span(each["kind"], each["t"], ended.get(each["number"], math.inf), tuple(each["targets"]))
        for each in begins
    )


def fault_fields(fault: Fault) -> dict[str, Any]:
    """Return the fields of a fault for the event log."""
    return {"kind": fault.kind, "targets": list(fault.targets)}
