"""Reads what a site's day left behind into typed values for the checkers of its faults."""

import json
import math
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from soak.record import UnaskedEnd
from soak.site import SiteBounds

# Lines of a node's log that tell of its start, its resources and its end.
NODE_LINES = ("started", "start_waits", "usage", "listen_failed", "node_failed", "stopped")


class NodeLimits(NamedTuple):
    """What a node's machine gives it."""

    memory_mb: float
    descriptors: int


class NodeEvent(NamedTuple):
    """A start, a readiness or an end of a node that the day asked for."""

    at_s: float
    node: int


class SiteEnd(NamedTuple):
    """The end of a node's process that nobody asked for; ``early_signals`` came before it held signals."""

    end: UnaskedEnd
    memory_mb: float = 0.0
    descriptors: int = 0
    early_signals: tuple[str, ...] = ()


class NodeUsage(NamedTuple):
    """What a node used at a time; ``kernel_mb`` is the kernel's memory for its sockets."""

    at_s: float
    node: int
    memory_mb: float
    kernel_mb: float = 0.0
    descriptors: int = 0


class TroubleSpan(NamedTuple):
    """When a trouble lasted, and what it struck; empty ``nodes`` of a store's trouble mean all."""

    number: int
    kind: str
    how: tuple[str, ...]
    begin_s: float
    end_s: float
    nodes: tuple[int, ...] = ()
    slots: tuple[int, ...] = ()


class Answer(NamedTuple):
    """A request's time and whether it was served."""

    asked_s: float
    served: bool


class NodeLine(NamedTuple):
    """A line of a node's log, with its fields."""

    node: int
    event: str
    fields: dict[str, Any]


class SiteRecord(NamedTuple):
    """A day as the soak, its callers and its nodes recorded it.

    ``early_signals`` counts the signals that were sent to a process before it held them.
    ``recovery_s`` is when all nodes came back after the final fault, infinite if there was none.
    """

    bounds: SiteBounds
    limits: dict[int, NodeLimits]
    begin_s: float
    end_s: float
    recovery_s: float = math.inf
    starts: tuple[NodeEvent, ...] = ()
    readies: tuple[NodeEvent, ...] = ()
    asked_ends: tuple[NodeEvent, ...] = ()
    ends: tuple[SiteEnd, ...] = ()
    usages: tuple[NodeUsage, ...] = ()
    troubles: tuple[TroubleSpan, ...] = ()
    answers: tuple[Answer, ...] = ()
    lines: tuple[NodeLine, ...] = ()
    early_signals: int = 0


def read_site_record(folder: Path, bounds: SiteBounds, limits: dict[int, NodeLimits]) -> SiteRecord:
    """Read the logs of a day, which may still be in progress."""
    events = sorted(_read_events(folder), key=lambda event: float(event["t"]))
    by_kind: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for event in events:
        by_kind[event["what"]].append(event)
    last_s = float(events[-1]["t"]) if events else 0.0
    first_s = float(events[0]["t"]) if events else 0.0
    begins = [float(event["t"]) for event in by_kind["day_begin"]]
    ends = [float(event["t"]) for event in by_kind["day_end"]]
    finals = [float(event["t"]) for event in by_kind["final_return"]]
    return SiteRecord(
        bounds=bounds,
        limits=limits,
        begin_s=begins[0] if begins else first_s,
        end_s=ends[-1] if ends else last_s,
        recovery_s=finals[-1] if finals else math.inf,
        starts=_node_events(by_kind["node_started"]),
        readies=_node_events(by_kind["node_ready"]),
        asked_ends=_node_events(by_kind["node_exited"]),
        ends=tuple(_parse_end(event) for event in by_kind["node_ended_unasked"]),
        usages=tuple(_parse_usage(event) for event in by_kind["node_usage"]),
        troubles=tuple(_trouble_spans(by_kind)),
        answers=tuple(_parse_answer(event) for event in by_kind["answer"] if not _is_probe(event)),
        lines=tuple(_node_lines(folder)),
        early_signals=sum(not event["held"] for event in by_kind["node_signal"]),
    )


def _read_events(folder: Path) -> Iterator[dict[str, Any]]:
    for path in sorted(folder.glob("events-*.jsonl")):
        for line in path.read_text().splitlines(keepends=True):
            if line.endswith("\n"):
                yield json.loads(line)


def _node_events(events: list[dict[str, Any]]) -> tuple[NodeEvent, ...]:
    return tuple(NodeEvent(float(event["t"]), event["node"]) for event in events)


def _parse_end(event: dict[str, Any]) -> SiteEnd:
    end = UnaskedEnd(event["t"], event["node"], event["status"], event["reason"], list(event.get("log", ())))
    signals = event.get("signals_in_start") or ()
    memory_mb, descriptors = event.get("memory_mb") or 0.0, event.get("descriptors") or 0
    return SiteEnd(end, memory_mb, descriptors, tuple(str(each) for each in signals))


def _parse_usage(event: dict[str, Any]) -> NodeUsage:
    return NodeUsage(
        event["t"],
        event["node"],
        event.get("memory_mb") or 0.0,
        event.get("kernel_mb") or 0.0,
        event.get("descriptors") or 0,
    )


def _is_probe(event: dict[str, Any]) -> bool:
    """Whether the soak asked for a route of one version only, which may well be gone."""
    return str(event.get("route", "")).startswith("probe")


def _parse_answer(event: dict[str, Any]) -> Answer:
    served = event["ending"] == "answered" and 200 <= event["status"] < 300
    return Answer(event["asked_s"], served)


def _trouble_spans(by_kind: dict[str, list[dict[str, Any]]]) -> Iterator[TroubleSpan]:
    ends = {event["number"]: float(event["t"]) for event in by_kind["fault_end"]}
    targets = {event["number"]: event for event in by_kind["fault_targets"]}
    for event in by_kind["fault"]:
        number = event["number"]
        struck = targets.get(number, {})
        yield TroubleSpan(
            number=number,
            kind=event["kind"],
            how=tuple(event.get("how", ())),
            begin_s=event["t"],
            end_s=ends.get(number, math.inf),
            nodes=tuple(struck.get("nodes", ())),
            slots=tuple(struck.get("slots", ())),
        )


def _node_lines(folder: Path) -> Iterator[NodeLine]:
    for path in sorted(folder.glob("node-*.log")):
        node = int(path.stem.removeprefix("node-"))
        for line in path.read_text(errors="replace").splitlines():
            if not any(f'"{each}"' in line for each in NODE_LINES) or not line.endswith("}"):
                continue
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            event = fields.get("event", "")
            if event in NODE_LINES:
                yield NodeLine(node, event, fields)
