"""Decides what a lost or silent connection says of its server.

Inputs: the call, the error, the node's clock in seconds. A reset that comes back within a round trip was sent
before the server can have worked on the request: on a new connection it is a refusal, on an idle one the
server had dropped it. Anything later is a loss under way, of which the request may have run.
"""

from yokesill.upstreams.attempt_call import AttemptCall
from yokesill.upstreams.connections import ResetBeforeReplyError
from yokesill.verdict import Reason

# A connection that was idle for this time and is reset when used was dropped by its server before.
FORGOTTEN_AFTER_IDLE_S = 0.5
# A reset that the request met on its way comes back within a round trip, which connecting took at least; the
# margins are for the clocks' ticks.
PROMPT_ROUND_TRIPS = 1.5
PROMPT_MARGIN_S = 0.002
# A connection without a byte for this time may be silent for good; pauses of servers are shorter.
SILENT_AFTER_S = 0.5


def reason_of_loss(call: AttemptCall, error: Exception, now: float) -> Reason:
    """Return why a call's connection was lost."""
    if not isinstance(error, ResetBeforeReplyError) or not _is_prompt(call, now):
        return Reason.CONNECTION_LOST
    if call.connected_in_s is not None:
        return Reason.CONNECTION_REFUSED
    rested_at = call.connection.rested_at if call.connection is not None else None
    if rested_at is None or call.sent_at is None:
        return Reason.CONNECTION_LOST
    forgotten = call.sent_at - rested_at >= FORGOTTEN_AFTER_IDLE_S
    return Reason.CONNECTION_FORGOTTEN if forgotten else Reason.CONNECTION_LOST


def _is_prompt(call: AttemptCall, now: float) -> bool:
    """Whether what comes now was sent before the server can have worked on the request."""
    if call.connection is None or call.sent_at is None:
        return True
    return now - call.sent_at <= PROMPT_ROUND_TRIPS * call.connection.opened_in_s + PROMPT_MARGIN_S


def silent_since_s(call: AttemptCall, now: float) -> float | None:
    """Return since when an idle connection that was used again has brought no byte; ``None`` if it has.

    The server's other connections that were idle then may be silent as well.
    """
    connection, reused = call.connection, call.connected_in_s is None
    if connection is None or call.sent_at is None or not reused or connection.reply_started:
        return None
    return call.sent_at if now - call.sent_at >= SILENT_AFTER_S else None
