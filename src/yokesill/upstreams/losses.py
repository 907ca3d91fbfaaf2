"""Classifies lost and silent connections.

Inputs: the call, the error, and the time by the node's clock in seconds. A reset within a round trip was sent
before the server can have processed the request: on a new connection it is a refusal, on a connection that
was idle the server had already dropped it. A later reset is a loss in mid-exchange, and the request may have
run.
"""

from yokesill.upstreams.attempt_call import AttemptCall
from yokesill.upstreams.connections import ResetBeforeReplyError
from yokesill.verdict import Reason

# A connection that was idle for this time and is reset on reuse had already been dropped by its server.
DROPPED_AFTER_IDLE_S = 0.5
# A reset in direct response to the request arrives within a round trip, and connecting took at least that
# long. The margins allow for the resolution of the clocks.
PROMPT_ROUND_TRIPS = 1.5
PROMPT_MARGIN_S = 0.002
# A connection without a byte for this time may be dead; pauses of servers are shorter.
SILENT_AFTER_S = 0.5


def reason_of_loss(call: AttemptCall, error: Exception, now: float) -> Reason:
    """Return why a call's connection was lost."""
    if not isinstance(error, ResetBeforeReplyError) or not _is_prompt(call, now):
        return Reason.CONNECTION_LOST
    if call.connected_in_s is not None:
        return Reason.CONNECTION_REFUSED
    idle_since = call.connection.idle_since if call.connection is not None else None
    if idle_since is None or call.sent_at is None:
        return Reason.CONNECTION_LOST
    forgotten = call.sent_at - idle_since >= DROPPED_AFTER_IDLE_S
    return Reason.CONNECTION_FORGOTTEN if forgotten else Reason.CONNECTION_LOST


def _is_prompt(call: AttemptCall, now: float) -> bool:
    """Whether an event arriving now was sent before the server can have processed the request."""
    if call.connection is None or call.sent_at is None:
        return True
    return now - call.sent_at <= PROMPT_ROUND_TRIPS * call.connection.opened_in_s + PROMPT_MARGIN_S


def silent_since_s(call: AttemptCall, now: float) -> float | None:
    """Return when the request was sent on a reused connection that has been silent since, else ``None``.

    Only a silence of ``SILENT_AFTER_S`` or longer counts. The server's other connections that were idle when
    the request was sent may be dead as well.
    """
    connection, reused = call.connection, call.connected_in_s is None
    if connection is None or call.sent_at is None or not reused or connection.reply_started:
        return None
    return call.sent_at if now - call.sent_at >= SILENT_AFTER_S else None
