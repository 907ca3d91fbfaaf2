"""Builds a small valid record of a run, which tests change in one place at a time."""

from typing import Any

from soak.layout import DESK, Bounds, Layout, configuration
from soak.record import Arrival, Ask, Record, Span, Started, Stored
from soak.records import single_body, top_records

LAYOUT = Layout(nodes=2, shards=5, net=20)
OPERATOR = -1
SHARDS = ["a0", "a1", "a2", "a3", "a4"]


def stored(at_s: float, version: int, shard_set: str = "a") -> Stored:
    return Stored(at_s, OPERATOR, "config", "main", "spec", configuration(LAYOUT, version, shard_set))


def arrival(at_s: float, service: str, request_id: str, server: str = "", **more: Any) -> Arrival:
    path = "/wide/" if service != DESK else "/once/"
    server = server or f"i-{service}"
    fields: dict[str, Any] = {"version": "s1", "path": path + request_id, "ran": True}
    fields |= {"signature": f"{server}.{request_id}"} | more
    return Arrival(at_s, server, service, id=request_id, **fields)


def ask(request_id: str, route: str, at_s: float = 10.0, **more: Any) -> Ask:
    fields: dict[str, Any] = {"node": 0, "path": f"/{route}/{request_id}", "ended_s": at_s + 0.1}
    fields |= {"ending": "answered", "status": 200} | more
    return Ask(request_id, route, asked_s=at_s, **fields)


def wide(request_id: str = "w1", services: list[str] = SHARDS, missing: int = 0, **more: Any) -> Ask:
    parts = tuple(f"i-{service}.{request_id}" for service in services)
    body = top_records(services, request_id, 5).hex()
    return ask(request_id, "wide", parts=parts, missing=missing, body=body, **more)


def single(request_id: str, route: str = "once", at_s: float = 10.0, **more: Any) -> Ask:
    signature = f"i-desk.{request_id}"
    body = single_body(signature).hex()
    return ask(request_id, route, at_s, **({"signature": signature, "body": body} | more))


def probe(request_id: str, version: int, at_s: float, status: int = 200, node: int = 0) -> Ask:
    signature = f"i-desk.{request_id}" if status == 200 else ""
    return single(request_id, f"probe-{version}", at_s, status=status, signature=signature, node=node)


def started(server: str, version: str = "s1", bad: bool = False) -> Started:
    return Started(0.0, server, DESK, version, 0, bad)


def good() -> Record:
    """Return the record of a run in which every promise holds."""
    arrivals = [arrival(10.01, service, "w1") for service in SHARDS]
    arrivals += [arrival(10.01, DESK, "o1"), arrival(10.01, DESK, "r1", path="/read/r1")]
    arrivals += [arrival(20.01, DESK, "p1", path="/probe-1/p1")]
    return Record(
        layout=LAYOUT,
        bounds=Bounds(),
        asks=(wide(), single("o1"), single("r1", "read"), probe("p1", 1, 20.0)),
        arrivals=tuple(arrivals),
        done={each.signature: (each.at_s + 0.01, 200) for each in arrivals},
        stored=(stored(0.0, 1),),
        started=(started("i-desk"),),
        node_starts={0: (0.0,), 1: (0.0,)},
    )


def with_fault(record: Record, kind: str, begin_s: float, end_s: float, *targets: int) -> Record:
    return record._replace(spans=(*record.spans, Span(kind, begin_s, end_s, targets)))


def with_ask(record: Record, changed: Ask) -> Record:
    """Return the record with ``changed`` in place of the ask with the same id, or added."""
    others = tuple(each for each in record.asks if each.id != changed.id)
    return record._replace(asks=(*others, changed))


def with_arrivals(record: Record, *arrivals: Arrival) -> Record:
    return record._replace(arrivals=tuple(sorted((*record.arrivals, *arrivals))))


def with_probes(record: Record, *probes: Ask) -> Record:
    """Return the record with probes added; a server has run each one that succeeded."""
    for each in probes:
        record = with_ask(record, each)
        if each.succeeded:
            run = arrival(each.asked_s + 0.01, DESK, each.id, path=each.path)
            done = record.done | {run.signature: (run.at_s, 200)}
            record = with_arrivals(record, run)._replace(done=done)
    return record
