"""The attempts of one request at the servers of one service."""

from collections.abc import Collection

from yokesill.gateway.context import GatewayContext, LiveAttempt
from yokesill.gateway.documents import Route
from yokesill.gateway.events import Action, LogEvent, SendAttempt
from yokesill.gateway.messages import Attempt, GatewayRequest, ServerReply
from yokesill.gateway.servers.selection import Choice, Wanted, choose_server
from yokesill.gateway.servers.server_state import ServerState
from yokesill.rollouts.orders import RolloutState
from yokesill.verdict import Failure, Reason, Verdict

LEAST_TIME_TO_SEND = 0.003
NEVER = float("inf")
NEVER_LEFT = frozenset({Reason.OVERLOADED, Reason.CONNECT_FAILED, Reason.CONNECTION_REFUSED})


class ServiceCall:
    """Progress at one service: attempts under way, what came back, and what may have run.

    ``reply`` is the answer that counts; ``fallback`` a failure that a server answered with, to be
    passed on when nothing better comes. ``settled`` is its request's mark that it was counted.
    ``hedge_at`` is when another server is asked as well. ``deferred`` names why an attempt is yet to
    be sent that waits for room at its servers; it is empty otherwise. ``waited_s`` is how long
    attempts waited so before they were sent. ``canary``: its first attempt may go to a new version.
    """

    def __init__(self, service: str, request: GatewayRequest, route: Route, context: GatewayContext) -> None:
        self.service = service
        self.reply: ServerReply | None = None
        self.fallback: ServerReply | None = None
        self.closed = False
        self.settled = False
        self.failure: Failure | None = None
        self.hedge_at = NEVER
        self.deferred = ""
        self.waited_s = 0.0
        self.late = False
        self.canary = False
        self.sent = 0
        self.extras = 0
        self._request = request
        self._route = route
        self._context = context
        self._live: dict[int, LiveAttempt] = {}
        self._tried: set[str] = set()
        self._deferred_at = 0.0
        # Whoever asked before may have sent all but the last attempt.
        self._ran = max(1, route.max_attempts - 1) if request.asked_before else 0
        self._arrived = request.asked_before
        self._verdict = Verdict.MAY_HAVE_RUN if request.asked_before else Verdict.NOT_RUN

    @property
    def open(self) -> bool:
        """Whether it may still contribute."""
        return self.reply is None and not self.closed

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run at this service."""
        return Verdict.MAY_HAVE_RUN if self._live and self._verdict is Verdict.NOT_RUN else self._verdict

    @property
    def live_numbers(self) -> list[int]:
        """The attempts under way."""
        return list(self._live)

    # --- sending ---

    def select(self, now: float, hedging: bool = False) -> Choice | None:
        """Return the server that an attempt would go to now; ``None`` when there is none.

        The first attempt of a canary goes to the new version if that has a sound server, and everything
        else to the old one. A service that is switched over is asked at the new version, and at the old one
        only if the new one has no server that can be asked; a hedge then stays at the new one.
        """
        obeyed = self._context.rollouts.effective
        state = obeyed.get(self.service) if obeyed else None
        if state is RolloutState.SWITCHING:
            return self._look_while_switching(now, hedging)
        if self.canary and not self.sent and state is RolloutState.CANARY:
            choice = self._choose(self._tried, now, new=True)
            if choice is not None and choice.sound and not choice.server.leaving:
                return choice
        return self._choose(self._tried, now)

    def _look_while_switching(self, now: float, hedging: bool) -> Choice | None:
        """Look at the new version; a server whose entry vanished is asked after the old ones."""
        choice = self._choose(self._tried, now, new=True)
        if hedging or (choice is not None and not choice.server.leaving):
            return choice
        untried = self._choose((), now, new=True) if self._tried else choice
        if untried is not None and not untried.server.leaving:
            return None
        return self._choose(self._tried, now) or choice

    def _choose(self, tried: Collection[str], now: float, new: bool = False) -> Choice | None:
        context = self._context
        wanted = Wanted(
            tried=tried,
            subset=context.subset(self.service, now, new),
            typical_s=context.typical(self._route).median,
            removed_grace_s=context.options.removed_grace_s,
            connection_limit=context.connection_limit(self.service),
            last_resort=len(self._route.services) == 1,
            nodes=context.node_shares.active_nodes(self.service) if context.options.paces else 0,
        )
        candidates = context.candidates(self.service, self._route, now, new)
        return choose_server(candidates, wanted, now, context.random_source)

    def can_send_first(self, choice: Choice | None, now: float) -> bool:
        """Whether a first attempt can be sent, now or once ``choice`` has room."""
        if choice is None or not self._may_run_again():
            return False
        context = self._context
        active_nodes = context.node_shares.active_nodes(self.service)
        return not self._arrived or context.budget(self.service).left(active_nodes, now) >= 1.0

    def available_at_s(self, now: float) -> float:
        """Return when a server of the service may be asked, whichever were tried; infinite if unknown."""
        candidates = self._context.candidates(self.service, self._route, now)
        return min((each.available_at_s(now) for each in candidates), default=NEVER)

    def skip(self) -> None:
        """Close the call: the answer can't come about whatever it brings."""
        self.closed = True

    def begin(
        self, choice: Choice | None, deadline: float, hedge_delay: float, now: float, actions: list[Action]
    ) -> None:
        """Send the first attempt, or close the call when there is nobody to send it to."""
        if not self._may_run_again():
            self._close(Failure(Reason.CONNECTION_LOST, self._verdict, "another node asked, and was lost"))
            return
        if choice is not None and self._send("first", choice, deadline, hedge_delay, now, actions):
            return
        if deadline - now < LEAST_TIME_TO_SEND:
            self._close(Failure(Reason.DEADLINE_EXCEEDED, Verdict.NOT_RUN, "no time was left on arrival"))
            return
        self._close(self._nobody(now))

    def probe(
        self, deadline: float, hedge_delay: float, now: float, actions: list[Action]
    ) -> LiveAttempt | None:
        """Send a trial, whatever room its server has; close the call when there is nobody to send it to."""
        choice = self._next_choice(now)
        if choice is None or not self._send("trial", choice, deadline, hedge_delay, now, actions):
            self._close(self.failure or self._nobody(now))
            return None
        attempt = self._live[max(self._live)]
        attempt.trial = True
        self.hedge_at = NEVER
        return attempt

    def defer(self, cause: str, now: float) -> None:
        """Let an attempt wait for room at the service's servers."""
        self.deferred = cause
        self._deferred_at = now
        self.hedge_at = NEVER

    def dispatch_deferred(
        self, choice: Choice | None, deadline: float, hedge_delay: float, now: float, actions: list[Action]
    ) -> None:
        """Send the attempt that was deferred, or close the call when it can't be sent any more."""
        cause, self.deferred = self.deferred, ""
        self.waited_s += now - self._deferred_at
        if choice is None or not self._send(cause, choice, deadline, hedge_delay, now, actions):
            self._close(self.failure or self._nobody(now))

    def hedge(self, deadline: float, delay: float, now: float, actions: list[Action]) -> None:
        """Ask another server as well: the attempts under way are late."""
        for attempt in self._live.values():
            self._context.stall(attempt)
        self.hedge_at = NEVER
        self.late = True
        if not self._route.repeatable or not self._may_run_again() or not self._context.options.hedges:
            return
        choice = self.select(now, hedging=True)
        if choice is not None and self._context.has_spare_room(choice, self.service, now):
            self._send("hedge", choice, deadline, delay, now, actions)

    def _nobody(self, now: float) -> Failure:
        """Return that no server can be asked: none is listed, or none takes anything now."""
        listed = any(not each.leaving for each in self._context.servers.reachable(self.service, now))
        reason = Reason.REPLICAS_EJECTED if listed else Reason.NO_REPLICA
        return Failure(reason, Verdict.NOT_RUN, f"no server of {self.service} can be asked")

    def _may_run_again(self) -> bool:
        return self._ran + len(self._live) < self._route.max_attempts

    def _send(
        self,
        cause: str,
        choice: Choice,
        deadline: float,
        hedge_delay: float,
        now: float,
        actions: list[Action],
    ) -> bool:
        context, server = self._context, choice.server
        if deadline - now < LEAST_TIME_TO_SEND:
            return False
        extra = self._arrived or bool(self._live)
        if extra and not context.budget(self.service).take(
            context.node_shares.active_nodes(self.service), now
        ):
            actions.append(self._note("budget_spent", cause, server, now))
            return False
        if cause == "first" and context.rollouts.is_new(server):
            cause = "canary"
        number = next(context.numbers)
        live = LiveAttempt(number, self._request.request_id, server, now, extra)
        context.live[number] = self._live[number] = live
        server.begin(number, context.typical(self._route).median, now)
        context.sent(server, now)
        self._tried.add(server.record.instance)
        self.sent += 1
        self.extras += extra
        self.late = False
        self.hedge_at = now + (hedge_delay if choice.sound else max(hedge_delay, choice.expected_s))
        if cause != "first":
            actions.append(self._note("attempt_added", cause, server, now))
        limit = server.connections.limit(context.connection_limit(self.service))
        repeatable = self._route.repeatable
        attempt = Attempt(number, self._request, server.record, limit, deadline, repeatable)
        actions.append(SendAttempt(attempt))
        return True

    def _note(self, name: str, cause: str, server: ServerState, now: float) -> LogEvent:
        active_nodes = self._context.node_shares.active_nodes(self.service)
        details: dict[str, object] = {
            "request": self._request.request_id,
            "service": self.service,
            "cause": cause,
            "instance": server.record.instance,
            "after_ms": round((now - self._request.arrived_at_s) * 1000, 1),
            "budget_left": round(self._context.budget(self.service).left(active_nodes, now), 1),
        }
        if server.record.service in self._context.rollouts.effective:
            details["server_version"] = server.record.version
        return LogEvent(name, details)

    # --- what attempts bring ---

    def answered(self, number: int, reply: ServerReply) -> None:
        """Take an attempt's answer; the first success counts."""
        self._live.pop(number, None)
        self._arrived = True
        self._ran += 1
        self._verdict = Verdict.RAN
        if reply.succeeded:
            self.reply = self.reply or reply
        else:
            self.fallback = reply

    def failed(self, number: int, failure: Failure) -> None:
        """Take an attempt's end without an answer."""
        live = self._live.pop(number, None)
        self.failure = failure
        never_left = failure.verdict is Verdict.NOT_RUN and failure.reason in NEVER_LEFT
        self._arrived = self._arrived or not never_left
        if never_left and failure.reason is Reason.CONNECTION_REFUSED and live is not None:
            self._tried.discard(live.server.record.instance)
        if failure.verdict is not Verdict.NOT_RUN:
            self._ran += 1
            self._verdict = max(self._verdict, failure.verdict)

    def repeatable(self, now: float) -> bool:
        """Whether an attempt that brought no success may and can be followed by another one."""
        return self._next_choice(now) is not None

    def _next_choice(self, now: float) -> Choice | None:
        may_repeat = self._route.repeatable or self._verdict is Verdict.NOT_RUN
        return self.select(now) if may_repeat and self._may_run_again() else None

    def retry(self, deadline: float, delay: float, now: float, actions: list[Action]) -> None:
        """After an attempt that brought no success: send another where that is allowed, or close."""
        if not self.open or self._live:
            return
        choice = self._next_choice(now)
        if choice is not None and not self._context.has_room(choice, now):
            self.defer("retry", now)
            return
        if choice is not None and self._send("retry", choice, deadline, delay, now, actions):
            return
        self._close(
            self.failure or Failure(Reason.BACKEND_ERROR, Verdict.RAN, "the server answered a failure")
        )

    def _close(self, failure: Failure) -> None:
        self.closed = True
        self.failure = failure
        self.hedge_at = NEVER
