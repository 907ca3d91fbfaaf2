"""The wire format of back ends: JSON, mapped to typed messages. Another format would change only this module.

``POST /query`` takes an attempt. Status 200 is a partial answer, 409 says that the server doesn't hold the
snapshot, and 503 that it sheds the request or is leaving; with 409 and 503 the request has not run. Every
reply contains the server's incarnation, its holdings, its load and whether it is leaving.
"""

import json
from typing import Any

from pydantic import ValidationError

from yokesill.resources.hashing import HashRange
from yokesill.routing.events import AttemptAnswered, AttemptFailed
from yokesill.routing.messages import Attempt, LoadReport, Partial, ServerReport, Snapshot
from yokesill.verdict import Failure, Reason, Verdict

QUERY_PATH = "/query"
HEALTH_PATH = "/health"
HTTP_OK = 200
DECLINED_STATUS = frozenset({409, 503})
DECLINED_REASONS = {
    "snapshot_unavailable": Reason.SNAPSHOT_UNAVAILABLE,
    "shed": Reason.SHED,
    "leaving": Reason.BACKEND_LEAVING,
}


def encode_attempt(attempt: Attempt, remaining: float) -> bytes:
    """Return the request body of an attempt; ``remaining`` is the time to its deadline in seconds."""
    return json.dumps(
        {
            "attempt_id": attempt.attempt_id,
            "service": str(attempt.service),
            "shard": attempt.shard_id,
            "epoch": attempt.snapshot.epoch,
            "version": attempt.snapshot.version,
            "range": [attempt.range.start, attempt.range.end],
            "class": attempt.request_class,
            "query": attempt.payload,
            "deadline_ms": max(0.0, remaining * 1000),
            "repeatable": attempt.repeatable,
        }
    ).encode()


def decode_reply(attempt: Attempt, status: int, body: bytes) -> AttemptAnswered | AttemptFailed:
    """Decode a reply to ``attempt``; an unexpected reply is a failure that may have run."""
    try:
        reply = json.loads(body)
        report = _report(reply)
        if status == HTTP_OK:
            return _answered(attempt, reply, report)
        if status in DECLINED_STATUS:
            return _declined(attempt, reply, report)
    except (ValueError, KeyError, TypeError, ValidationError) as error:
        return _failed(attempt, Reason.MALFORMED_REPLY, f"{error!r}")
    return _failed(attempt, Reason.BACKEND_ERROR, f"status {status}")


def decode_health(body: bytes) -> ServerReport | None:
    """Decode the reply to a health check; ``None`` when it is malformed."""
    try:
        return _report(json.loads(body))
    except (ValueError, KeyError, TypeError):
        return None


def _report(reply: dict[str, Any]) -> ServerReport:
    holdings = frozenset(Snapshot(int(epoch), int(version)) for epoch, version in reply["holdings"])
    load = reply["load"]
    return ServerReport(
        incarnation=str(reply["incarnation"]),
        holdings=holdings,
        load=LoadReport(int(load["slots"]), int(load["active"]), int(load["queued"])),
        leaving=bool(reply["leaving"]),
    )


def _answered(
    attempt: Attempt, reply: dict[str, Any], report: ServerReport
) -> AttemptAnswered | AttemptFailed:
    if reply["attempt_id"] != attempt.attempt_id:
        return _failed(attempt, Reason.FOREIGN_REPLY, "the reply names another attempt")
    start, end = reply["range"]
    partial = Partial(
        attempt_id=attempt.attempt_id,
        snapshot=Snapshot(int(reply["epoch"]), int(reply["version"])),
        range=HashRange(start=start, end=end),
        entries=list(reply["entries"]),
        truncated=bool(reply["truncated"]),
    )
    return AttemptAnswered(attempt.attempt_id, partial, report)


def _declined(attempt: Attempt, reply: dict[str, Any], report: ServerReport) -> AttemptFailed:
    reason = DECLINED_REASONS.get(reply["reason"])
    if reason is None or reply["attempt_id"] != attempt.attempt_id:
        return _failed(attempt, Reason.BACKEND_ERROR, f"declined with {reply['reason']!r}")
    return AttemptFailed(attempt.attempt_id, Failure(reason, Verdict.NOT_RUN), report)


def _failed(attempt: Attempt, reason: Reason, detail: str) -> AttemptFailed:
    return AttemptFailed(attempt.attempt_id, Failure(reason, Verdict.MAY_HAVE_RUN, detail))
