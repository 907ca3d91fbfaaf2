"""Evaluates the end of an attempt as evidence about its server.

- Any answer other than a server error counts as a success, with its latency and the load that the server
  reports.
- A server error (status 500 and above) is a failure of the server.
- A rejection (``SHED``) only pauses the server, which is full at this moment; ``BACKEND_LEAVING`` takes it
  out of service. ``SERVER_LEFT`` says nothing that this node did not know.
- A connection that is refused at once limits the connections to the server: it holds as many as it can, but
  is not failing.
- Any other failure counts if it is evidence against the server at all (``servers.evidence``).

Successes and failures that count are also recorded for roll-outs, and evidence against a server is reported
to the other nodes.
"""

from yokesill.gateway import log_events
from yokesill.gateway.context import GatewayContext, LiveAttempt
from yokesill.gateway.documents import Route
from yokesill.gateway.events import AttemptAnswered
from yokesill.gateway.messages import ServerReply
from yokesill.gateway.servers.evidence import ServerEvidence
from yokesill.gateway.servers.server_state import ACTIVE
from yokesill.gateway.step import Step
from yokesill.verdict import Failure, Reason


class AttemptOutcomes:
    """Records the outcomes of one node's attempts for their servers and routes."""

    def __init__(self, context: GatewayContext, evidence: ServerEvidence) -> None:
        self._context = context
        self._evidence = evidence

    def answered(self, attempt: LiveAttempt, route: Route, event: AttemptAnswered, step: Step) -> None:
        """Record an answer."""
        if event.sent_at_s is not None:
            # The time that an attempt waited on this node, for its turn or for a connection, must not count
            # against the server.
            attempt.sent_at_s = event.sent_at_s
        if event.connected_in_s is not None:
            self._context.servers.connected(attempt.server, event.connected_in_s)
        reply, late_s = event.reply, self._context.lateness_s
        state = self._record_reply(attempt, route, reply, step.now)
        rollouts = self._context.rollouts
        if rollouts.effective:
            rollouts.record_outcome(
                attempt.server, route, reply.succeeded, attempt.sent_at_s, late_s, step.now
            )
        self._log_state(attempt, state, reply.status, step)
        self._evidence.report(attempt, step.now, step.actions)

    def failed(self, attempt: LiveAttempt, route: Route, failure: Failure, step: Step) -> None:
        """Record an end without a usable answer."""
        server, now = attempt.server, step.now
        if failure.reason is Reason.SHED:
            server.shed(now)
        elif failure.reason is Reason.SERVER_LEFT:
            return
        elif failure.reason is Reason.BACKEND_LEAVING:
            server.leave()
        elif failure.reason is Reason.CONNECTION_REFUSED and attempt.server.connections.enabled:
            server.connections.refused(now)
        elif self._evidence.counts(attempt, route, failure, now):
            state = server.failed(attempt.sent_at_s, now)
            if self._context.rollouts.effective:
                self._context.rollouts.record_outcome(server, route, False, attempt.sent_at_s, 0.0, now)
            self._log_state(attempt, state, failure.reason.value, step)
            self._evidence.report(attempt, now, step.actions)

    def _record_reply(self, attempt: LiveAttempt, route: Route, reply: ServerReply, now: float) -> str | None:
        """Record an answer for its server and route; return the server's new state if it changed."""
        if reply.is_server_error:
            return attempt.server.failed(attempt.sent_at_s, now)
        typical_latency, late_s = self._context.typical_latency(route), self._context.lateness_s
        state = attempt.server.answered(attempt.sent_at_s, typical_latency.median, reply.load, now, late_s)
        typical_latency.record(now - attempt.sent_at_s)
        return state

    def _log_state(self, attempt: LiveAttempt, state: str | None, why: object, step: Step) -> None:
        if state is not None and state != ACTIVE:
            step.actions.append(log_events.server_state(attempt, state, why, step.now))
