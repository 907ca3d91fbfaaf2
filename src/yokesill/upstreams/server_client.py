"""Sends attempts to servers and tells by events, with a verdict, how each one ended.

Nothing here waits for one attempt: a reply, a deadline or a free connection calls back.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup, TaskStatus

from yokesill.charts.flat import transition_table
from yokesill.clock import Clock, running_clock
from yokesill.comm.http_reply import HttpReplyReader, ReplyError
from yokesill.comm.http_status import MISDIRECTED
from yokesill.gateway.events import AttemptAnswered, AttemptFailed
from yokesill.gateway.messages import Attempt
from yokesill.serving.header_names import HeaderNames
from yokesill.timers import Timers
from yokesill.upstreams.attempt_bytes import encode_attempt, read_reply
from yokesill.upstreams.connections import ConnectionSet, ResetBeforeReplyError, ServerConnection, idle_time_s
from yokesill.upstreams.opening import OpeningFailure, open_connection
from yokesill.upstreams.wires import Dial, dial_tcp
from yokesill.verdict import Failure, Reason, Verdict

# Bounded: the server may begin to leave while somebody waits, and must get no new work then.
LONGEST_TURN_S = 0.5
# A connection that rested for so long and is reset when used was forgotten by its server.
RESTED_S = 0.5
# A reset that a request met on its way to the server comes back within a round trip, which connecting took at
# least; what comes later came while the server worked on the request, or ended under it.
PROMPT_ROUND_TRIPS, PROMPT_S = 1.5, 0.002
# A connection that brought nothing for so long may be silent for good; pauses of servers are shorter.
SILENT_S = 0.5
VERDICT_OF_STATE = {
    "never_sent": Verdict.NOT_RUN,
    "declined": Verdict.NOT_RUN,
    "in_doubt": Verdict.MAY_HAVE_RUN,
}

Outcome = AttemptAnswered | AttemptFailed
Done = Callable[[Outcome], None]


class AttemptCall:
    """One attempt under way, from the wish for a connection to its end."""

    __slots__ = ("attempt", "connected_in_s", "connection", "connections", "done", "sent_at", "state", "turn")

    def __init__(self, attempt: Attempt, connections: ConnectionSet, done: Done) -> None:
        self.attempt = attempt
        self.connections = connections
        self.done = done
        self.connection: ServerConnection | None = None
        self.connected_in_s: float | None = None
        self.sent_at: float | None = None
        self.state = "connecting"
        self.turn: Callable[[ServerConnection | None], None] | None = None


class ServerClient:
    """The way to servers over HTTP/1.1.

    Parameters
    ----------
    names
        The headers spoken with servers.
    dial
        Opens connections.
    """

    def __init__(self, names: HeaderNames, dial: Dial = dial_tcp) -> None:
        self.connections_opened = 0
        self.connections_changed: Callable[[str, int], None] = lambda _instance, _count: None
        self._names = names
        self._dial = dial
        self._sets: dict[str, ConnectionSet] = {}
        self._calls: dict[int, AttemptCall] = {}
        self._table = transition_table("attempt")
        self._sent_state = self._table[("connecting", "connection_ready")]
        self._timers: Timers[Callable[[], None]] = Timers(lambda due: due())
        self._expiring: dict[float, dict[int, AttemptCall]] = {}
        self._tasks: TaskGroup | None = None
        self._clock: Clock = anyio.current_time

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Open connections and watch deadlines until cancelled."""
        self._clock = running_clock()
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._timers.run)
            task_status.started()

    def send(self, attempt: Attempt, done: Done) -> None:
        """Send an attempt; ``done`` is told how it ended, at its deadline at the latest."""
        connections = self._set_of(attempt)
        call = AttemptCall(attempt, connections, done)
        self._calls[attempt.number] = call
        self._expire_later(call)
        if connections.reserve(attempt.connection_limit):
            self._proceed(call)
        else:
            self._wait(call)

    def cancel(self, number: int) -> None:
        """Break an attempt off; nothing is told of it."""
        call = self._take_out(number)
        if call is not None:
            self._abandon(call)

    def forget(self, instance: str) -> None:
        """Close the idle connections to a server that is gone."""
        connections = self._sets.pop(instance, None)
        if connections is not None:
            connections.close()

    # --- getting a connection ---

    def _set_of(self, attempt: Attempt) -> ConnectionSet:
        server = attempt.server
        connections = self._sets.get(server.instance)
        if connections is None:
            instance = server.instance
            connections = ConnectionSet(
                server.host, server.port, lambda count: self.connections_changed(instance, count)
            )
            self._sets[instance] = connections
        return connections

    def _wait(self, call: AttemptCall) -> None:
        def turn(connection: ServerConnection | None) -> None:
            call.turn = None
            if connection is not None:
                self._start(call, connection)
            else:
                self._proceed(call)

        def too_long() -> None:
            if call.turn is turn:
                self._fail(call, Reason.OVERLOADED, "all connections are in use")

        call.turn = turn
        call.connections.wait(turn)
        self._timers.set(self._clock() + LONGEST_TURN_S, too_long)

    def _proceed(self, call: AttemptCall) -> None:
        """Use an idle connection, or open one, in the place that was reserved."""
        idle = call.connections.take_idle(self._clock(), check=not call.attempt.repeatable)
        if idle is not None:
            self._start(call, idle)
            return
        if self._tasks is None:
            raise RuntimeError("the client does not run")
        self._tasks.start_soon(self._open, call)

    async def _open(self, call: AttemptCall) -> None:
        """Open a connection for a call; if that has ended meanwhile, whoever is next gets it."""
        connections, started = call.connections, self._clock()
        opened = await open_connection(connections, self._dial, call.attempt.deadline_at_s, self._clock)
        if isinstance(opened, OpeningFailure):
            connections.drop(None)
            if self._is_live(call):
                self._fail(call, opened.reason, opened.detail)
            return
        self.connections_opened += 1
        connections.opened()
        if not self._is_live(call):
            connections.give_back(opened, self._clock() + idle_time_s(None))
            return
        call.connected_in_s = opened.opened_in_s = self._clock() - started
        self._start(call, opened)

    def _is_live(self, call: AttemptCall) -> bool:
        return self._calls.get(call.attempt.number) is call

    # --- the exchange ---

    def _start(self, call: AttemptCall, connection: ServerConnection) -> None:
        now = self._clock()
        attempt = call.attempt
        call.connection = connection
        call.state = self._sent_state
        call.sent_at = now
        request = encode_attempt(attempt, self._names, attempt.deadline_at_s - now)
        bodiless = attempt.request.method == b"HEAD"
        connection.start(request, bodiless, lambda outcome: self._ended(call, outcome))

    def _ended(self, call: AttemptCall, outcome: HttpReplyReader | Exception) -> None:
        if isinstance(outcome, ReplyError):
            self._fail(call, Reason.MALFORMED_REPLY, str(outcome))
        elif isinstance(outcome, Exception):
            self._fail(call, self._reason_of_loss(call, outcome), repr(outcome))
        else:
            self._take_reply(call, outcome)

    def _reason_of_loss(self, call: AttemptCall, error: Exception) -> Reason:
        """Return what the loss of a connection says of its server."""
        if not isinstance(error, ResetBeforeReplyError) or not self._prompt(call):
            return Reason.CONNECTION_LOST
        if call.connected_in_s is not None:
            call.connections.refused_at = self._clock()
            return Reason.CONNECTION_REFUSED
        rested_at = call.connection.rested_at if call.connection is not None else None
        if rested_at is not None and call.sent_at is not None and call.sent_at - rested_at >= RESTED_S:
            return Reason.CONNECTION_FORGOTTEN
        return Reason.CONNECTION_LOST

    def _prompt(self, call: AttemptCall) -> bool:
        """Whether what comes now was under way before the server can have worked on the request."""
        if call.connection is None or call.sent_at is None:
            return True
        bound_s = PROMPT_ROUND_TRIPS * call.connection.opened_in_s + PROMPT_S
        return self._clock() - call.sent_at <= bound_s

    def _take_reply(self, call: AttemptCall, reader: HttpReplyReader) -> None:
        headers = dict(reader.headers)
        reply = read_reply(call.attempt, reader, headers, self._names)
        self._take_out(call.attempt.number)
        self._release(call, reader, headers, clean=not isinstance(reply, Failure))
        if isinstance(reply, Failure):
            event = "declined" if reply.verdict is Verdict.NOT_RUN else "failed"
            verdict = VERDICT_OF_STATE[self._table[(call.state, event)]]
            call.done(AttemptFailed(call.attempt.number, Failure(reply.reason, verdict, reply.detail)))
        else:
            number = call.attempt.number
            call.done(AttemptAnswered(number, reply, call.connected_in_s, call.sent_at))

    def _release(
        self, call: AttemptCall, reader: HttpReplyReader, headers: dict[bytes, bytes], clean: bool
    ) -> None:
        """Keep the connection only after a whole reply to this very request."""
        connection, call.connection = call.connection, None
        if connection is None:
            return
        declined = self._names.not_executed in headers or reader.status == MISDIRECTED
        usable = (clean or declined) and reader.keep_alive and not reader.surplus
        if usable and connection.sent_whole():
            rest = idle_time_s(headers.get(b"keep-alive"))
            connection.rested_at = self._clock()
            call.connections.give_back(connection, self._clock() + rest)
        else:
            call.connections.drop(connection)

    # --- ends without a reply ---

    def _expire_later(self, call: AttemptCall) -> None:
        """Watch a deadline; the attempts of one request share theirs, and so one timer."""
        deadline = call.attempt.deadline_at_s
        sharing = self._expiring.get(deadline)
        if sharing is None:
            sharing = self._expiring[deadline] = {}
            self._timers.set(deadline, lambda: self._expire(deadline))
        sharing[call.attempt.number] = call

    def _take_out(self, number: int) -> AttemptCall | None:
        """Forget a call that ends, its deadline included.

        Kept until their deadlines, the ended calls of some seconds would hold their requests'
        headers and bodies: 156 bytes a call and up, 5.6 MB at 9,000 parts a second.
        """
        call = self._calls.pop(number, None)
        sharing = self._expiring.get(call.attempt.deadline_at_s) if call is not None else None
        if call is not None and sharing is not None:
            sharing.pop(number, None)
            if not sharing:
                del self._expiring[call.attempt.deadline_at_s]
        return call

    def _expire(self, deadline: float) -> None:
        for call in list(self._expiring.pop(deadline, {}).values()):
            if not self._is_live(call):
                continue
            if call.turn is not None:
                self._fail(call, Reason.OVERLOADED, "all connections are in use")
            elif call.connection is None:
                self._fail(call, Reason.CONNECT_FAILED, "not connected by the deadline")
            else:
                self._distrust_silent(call)
                self._fail(call, Reason.TIMED_OUT, "no whole answer by the deadline")

    def _distrust_silent(self, call: AttemptCall) -> None:
        """Let go of a server's old connections after one that was used again brought not a byte."""
        connection, reused = call.connection, call.connected_in_s is None
        if connection is None or call.sent_at is None or not reused or connection.reply_begun:
            return
        if self._clock() - call.sent_at >= SILENT_S:
            call.connections.distrust(call.sent_at)

    def _fail(self, call: AttemptCall, reason: Reason, detail: str) -> None:
        if self._take_out(call.attempt.number) is None:
            return
        verdict = VERDICT_OF_STATE[self._table[(call.state, "failed")]]
        self._abandon(call)
        call.done(AttemptFailed(call.attempt.number, Failure(reason, verdict, detail)))

    def _abandon(self, call: AttemptCall) -> None:
        """Let go of what a call holds: its turn, or its connection with an exchange cut short."""
        if call.turn is not None:
            call.connections.stop_waiting(call.turn)
            call.turn = None
        if call.connection is not None:
            connection, call.connection = call.connection, None
            call.connections.drop(connection)
