"""HTTP replies that report the outcome of a change to an operator."""

from typing import Any

from starlette.responses import JSONResponse

from yokesill.node import Node
from yokesill.store.changes import Accepted, ChangeOutcome, InDoubt, Rejected

RETRY_AFTER_MS = 1000


def outcome_reply(node: Node, change_id: str, outcome: ChangeOutcome, holders: list[str]) -> JSONResponse:
    """Return the reply for a change's outcome; ``holders`` lists the peers that already hold the change."""
    match outcome:
        case Accepted():
            return _accepted(node, change_id, outcome, holders)
        case Rejected():
            return _rejected(change_id, outcome)
        case InDoubt():
            return _in_doubt(outcome)


def _accepted(node: Node, change_id: str, outcome: Accepted, holders: list[str]) -> JSONResponse:
    revision = outcome.stored.revision
    body: dict[str, Any] = {
        "outcome": "accepted",
        "revision": revision,
        "change_id": change_id,
        "in_force_on": [node.table.own.address, *holders],
        "propagating": not node.reaches_another_zone(holders),
    }
    return JSONResponse(body, headers={"ETag": f'"{revision}"'})


def _rejected(change_id: str, outcome: Rejected) -> JSONResponse:
    body: dict[str, Any] = {
        "outcome": "rejected",
        "reason": "stale_revision" if outcome.conflict else "store_unavailable",
        "detail": outcome.detail,
        "change_id": change_id,
    }
    if outcome.conflict:
        return JSONResponse(body, 412)
    body["retry_after_ms"] = RETRY_AFTER_MS
    return JSONResponse(body, 503, {"Retry-After": "1"})


def _in_doubt(outcome: InDoubt) -> JSONResponse:
    body = {
        "outcome": "in_doubt",
        "detail": outcome.detail,
        "change_id": outcome.change_id,
        "ask": f"/v1/changes/{outcome.change_id}",
        "retry_after_ms": RETRY_AFTER_MS,
    }
    return JSONResponse(body, 202, {"Retry-After": "1"})
