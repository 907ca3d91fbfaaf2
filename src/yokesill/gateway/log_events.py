"""Builds the log events of the router's decisions; ``docs/OPERATIONS.md`` describes each.

Names and fields are a stable interface for operators' tools and metrics.
"""

from yokesill.gateway.context import LiveAttempt
from yokesill.gateway.events import LogEvent
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests.fingerprints import fingerprint
from yokesill.rollouts.node_orders import OrderChange
from yokesill.verdict import Failure, Reason


def attempt_failed(attempt: LiveAttempt, request: GatewayRequest, failure: Failure, now: float) -> LogEvent:
    """Return the event of a failed attempt; for a lost connection it contains the request's fingerprint."""
    details: dict[str, object] = {
        "request": attempt.request_id,
        "instance": attempt.server.record.instance,
        "reason": failure.reason.value,
        "verdict": failure.verdict.label,
        "detail": failure.detail,
        "after_ms": round((now - attempt.sent_at_s) * 1000, 1),
    }
    if failure.reason is Reason.CONNECTION_LOST:
        details["fingerprint"] = fingerprint(request)
    return LogEvent("attempt_failed", details)


def server_state(attempt: LiveAttempt, state: str, why: object, now: float) -> LogEvent:
    """Return the event of a server's new state, with the attempt that caused it."""
    details: dict[str, object] = {
        "instance": attempt.server.record.instance,
        "service": attempt.server.record.service,
        "state": state,
        "why": why,
        "latency_ms": round((now - attempt.sent_at_s) * 1000, 1),
    }
    return LogEvent("server_state", details)


def server_suspected(instance: str, for_s: float) -> LogEvent:
    """Return the event of a server that the nodes together detected as slow or failing."""
    details: dict[str, object] = {"instance": instance, "state": "suspected", "why": "peers", "for_s": for_s}
    return LogEvent("server_state", details)


def server_entry(instance: str, change: str) -> LogEvent:
    """Return the event of a server whose entry has changed."""
    return LogEvent("server_entry", {"instance": instance, "change": change})


def rollout(change: OrderChange) -> LogEvent:
    """Return the event of a roll-out order whose record, or effective state at this node, has changed."""
    details: dict[str, object] = {
        "service": change.order.service,
        "target": change.order.target,
        "made": change.order.created_revision,
        "before": change.before,
        "state": change.state or "withdrawn",
        "why": change.reason,
    }
    return LogEvent("rollout_learnt" if change.recorded else "rollout_obeyed", details)
