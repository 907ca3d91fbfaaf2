"""Sends attempts to servers over HTTP/1.1, and reports how each one ended as an event with a verdict.

Owns the connections to servers and the calls in progress. No task waits for an attempt: replies, deadlines
and free connections are reported by callbacks. ``connection_set`` pools one server's connections,
``connection_limit`` bounds those to all servers, ``opening`` opens new ones, ``losses`` classifies lost
connections, ``deadlines`` handles timeouts.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup, TaskStatus

from yokesill.charts.flat import transition_table
from yokesill.clock import Clock, running_clock
from yokesill.comm.http_reply import HttpReplyReader, ReplyError
from yokesill.comm.reply_memory import ReplyMemory
from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.events import AttemptAnswered, AttemptFailed
from yokesill.gateway.messages import Attempt
from yokesill.serving.header_names import HeaderNames
from yokesill.supervision import Supervisor
from yokesill.timers import Timers
from yokesill.upstreams.attempt_bytes import encode_attempt, read_reply
from yokesill.upstreams.attempt_call import VERDICT_OF_STATE, AttemptCall, DoneCallback
from yokesill.upstreams.connection_limit import DEFAULT_MAX_CONNECTIONS, ConnectionLimit
from yokesill.upstreams.connection_set import ServerConnectionPool, close_oldest_idle, idle_timeout_s
from yokesill.upstreams.connections import ServerConnection
from yokesill.upstreams.deadlines import Deadlines
from yokesill.upstreams.losses import reason_of_loss, silent_since_s
from yokesill.upstreams.opening import OpeningFailure, open_connection
from yokesill.upstreams.wires import Dial, dial_tcp
from yokesill.verdict import Failure, Reason, Verdict

# How long an attempt waits for a connection. The server may start leaving in the meantime, and must then get
# no new work.
CONNECTION_WAIT_S = 0.5


class ServerClient:
    """Sends attempts, each on its own connection.

    Parameters
    ----------
    names
        The names of the headers exchanged with servers.
    dial
        Opens transports to servers.
    supervisor
        Gets the exceptions raised within the client.
    memory
        Bounds the memory of unfinished replies.
    max_connections
        How many connections to servers may be open.

    Notes
    -----
    ``may_start`` is asked right before an attempt is written, which may have waited for its connection:
    whether its server may still get work.
    """

    def __init__(
        self,
        names: HeaderNames,
        dial: Dial = dial_tcp,
        supervisor: Supervisor | None = None,
        memory: ReplyMemory | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self._supervisor = supervisor or Supervisor()
        self.connections_opened = 0
        self.connections_changed: Callable[[str, int], None] = lambda _instance, _count: None
        self.may_start: Callable[[ServerRecord], bool] = lambda _server: True
        self._names = names
        self._dial = dial
        self._memory = memory or ReplyMemory()
        self._pools: dict[str, ServerConnectionPool] = {}
        self._limit = ConnectionLimit(max_connections, lambda: close_oldest_idle(self._pools.values()))
        self._calls: dict[int, AttemptCall] = {}
        self._table = transition_table("attempt")
        self._sent_state = self._table[("connecting", "connection_ready")]
        self._timers: Timers[Callable[[], None]] = Timers(lambda due: due(), self._supervisor)
        self._deadlines = Deadlines(self._timers, self._expire)
        self._task_group: TaskGroup | None = None
        self._clock: Clock = anyio.current_time

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Run the timers and the tasks that open connections, until cancelled."""
        self._clock = running_clock()
        async with anyio.create_task_group() as self._task_group:
            self._task_group.start_soon(self._timers.run)
            task_status.started()

    def send(self, attempt: Attempt, done: DoneCallback) -> None:
        """Send an attempt; ``done`` is called when it ends, no later than its deadline."""
        connections = self._pool_of(attempt)
        call = AttemptCall(attempt, connections, done)
        self._calls[attempt.number] = call
        self._deadlines.watch(call)
        if connections.reserve(attempt.connection_limit):
            self._acquire(call)
        else:
            self._wait(call)

    def cancel(self, number: int) -> None:
        """Cancel an attempt; ``done`` is not called."""
        call = self._pop_call(number)
        if call is not None:
            self._release_resources(call)

    def forget(self, instance: str) -> None:
        """Close the idle connections to a server that was removed."""
        connections = self._pools.pop(instance, None)
        if connections is not None:
            connections.close()

    # --- connection acquisition ---

    def _pool_of(self, attempt: Attempt) -> ServerConnectionPool:
        server = attempt.server
        connections = self._pools.get(server.instance)
        if connections is None:
            instance = server.instance
            connections = ServerConnectionPool(
                server.host,
                server.port,
                lambda count: self.connections_changed(instance, count),
                self._limit,
            )
            self._pools[instance] = connections
        return connections

    def _wait(self, call: AttemptCall) -> None:
        def use_connection(connection: ServerConnection | None) -> None:
            call.waiter = None
            if connection is not None:
                self._start(call, connection)
            else:
                self._acquire(call)

        def time_out() -> None:
            if call.waiter is use_connection:
                self._fail(call, Reason.OVERLOADED, "all connections are in use")

        call.waiter = use_connection
        call.connections.wait(use_connection)
        self._timers.set(self._clock() + CONNECTION_WAIT_S, time_out)

    def _acquire(self, call: AttemptCall) -> None:
        """Use an idle connection or open a new one, for the connection that was reserved."""
        idle = call.connections.take_idle(self._clock(), check=not call.attempt.repeatable)
        if idle is not None:
            self._start(call, idle)
            return
        if self._limit.acquire():
            self._start_opening(call)
        else:
            self._wait_to_open(call)

    def _wait_to_open(self, call: AttemptCall) -> None:
        def use_connection(connection: ServerConnection | None) -> None:
            call.opening = None
            if connection is not None:
                self._start(call, connection)
            else:
                self._start_opening(call)

        def time_out() -> None:
            if call.opening is use_connection:
                self._fail(call, Reason.OVERLOADED, "the node has as many connections as it may")

        call.opening = use_connection
        self._limit.wait(call.connections, use_connection)
        self._timers.set(self._clock() + CONNECTION_WAIT_S, time_out)

    def _start_opening(self, call: AttemptCall) -> None:
        if self._task_group is None:
            raise RuntimeError("ServerClient.run() is not running")
        self._task_group.start_soon(self._supervisor.run_once, "connections", self._open, call)

    async def _open(self, call: AttemptCall) -> None:
        """Open a connection for a call; if the call has ended in the meantime, the next one gets it."""
        connections, started = call.connections, self._clock()
        try:
            deadline_at_s = call.attempt.deadline_at_s
            opened = await open_connection(connections, self._dial, deadline_at_s, self._clock, self._memory)
        except Exception as error:
            # Treated as a failed connect, so that the call ends and its reservation is released.
            self._supervisor.report("connections", error)
            opened = OpeningFailure(Reason.CONNECT_FAILED, repr(error))
        if isinstance(opened, OpeningFailure):
            connections.discard(None)
            self._limit.release()
            if self._is_active(call):
                self._fail(call, opened.reason, opened.detail)
            return
        self.connections_opened += 1
        connections.opened()
        if not self._is_active(call):
            connections.release(opened, self._clock() + idle_timeout_s(None))
            return
        call.connected_in_s = opened.opened_in_s = self._clock() - started
        self._start(call, opened)

    def _is_active(self, call: AttemptCall) -> bool:
        return self._calls.get(call.attempt.number) is call

    # --- exchange ---

    def _start(self, call: AttemptCall, connection: ServerConnection) -> None:
        now = self._clock()
        attempt = call.attempt
        if not self.may_start(attempt.server):
            self._turn_away(call, connection)
            return
        call.connection = connection
        call.state = self._sent_state
        call.sent_at = now
        request = encode_attempt(attempt, self._names, attempt.deadline_at_s - now)
        bodiless = attempt.request.method == b"HEAD"
        connection.start(request, bodiless, lambda outcome: self._on_end(call, outcome))

    def _turn_away(self, call: AttemptCall, connection: ServerConnection) -> None:
        """Pass a call's connection on, and end the call soon: this may run within another call's end."""
        now = self._clock()
        call.connections.release(connection, max(now, connection.reusable_until))
        self._timers.set(now, lambda: self._fail(call, Reason.SERVER_LEFT, "its server left meanwhile"))

    def _on_end(self, call: AttemptCall, outcome: HttpReplyReader | Exception) -> None:
        if isinstance(outcome, ReplyError):
            self._fail(call, Reason.MALFORMED_REPLY, str(outcome))
        elif isinstance(outcome, Exception):
            now = self._clock()
            reason = reason_of_loss(call, outcome, now)
            if reason is Reason.CONNECTION_REFUSED:
                call.connections.refused_at = now
            self._fail(call, reason, repr(outcome))
        else:
            self._handle_reply(call, outcome)

    def _handle_reply(self, call: AttemptCall, reader: HttpReplyReader) -> None:
        headers = dict(reader.headers)
        first_exchange = call.connection is not None and call.connection.exchanges == 1
        reply = read_reply(call.attempt, reader, headers, self._names, first_exchange)
        self._pop_call(call.attempt.number)
        settled = not isinstance(reply, Failure) or reply.verdict is Verdict.NOT_RUN
        self._release(call, reader, headers, settled and self._names.request_id in headers)
        if isinstance(reply, Failure):
            event = "declined" if reply.verdict is Verdict.NOT_RUN else "failed"
            verdict = VERDICT_OF_STATE[self._table[(call.state, event)]]
            call.done(AttemptFailed(call.attempt.number, Failure(reply.reason, verdict, reply.detail)))
        else:
            number = call.attempt.number
            call.done(AttemptAnswered(number, reply, call.connected_in_s, call.sent_at))

    def _release(
        self, call: AttemptCall, reader: HttpReplyReader, headers: dict[bytes, bytes], to_this_request: bool
    ) -> None:
        """Release the connection for reuse after a complete reply that names this request, or close it.

        After a reply to another request, the one to this request is still due on it. A server that names no
        request is believed on new connections only.
        """
        connection, call.connection = call.connection, None
        if connection is None:
            return
        reusable = to_this_request and reader.keep_alive and not reader.surplus
        if reusable and connection.request_sent():
            idle_s = idle_timeout_s(headers.get(b"keep-alive"))
            connection.idle_since = self._clock()
            call.connections.release(connection, self._clock() + idle_s)
        else:
            call.connections.discard(connection)

    # --- end without a reply ---

    def _pop_call(self, number: int) -> AttemptCall | None:
        """Remove a call that ended, or return ``None`` if it is unknown."""
        call = self._calls.pop(number, None)
        if call is not None:
            self._deadlines.forget(call)
        return call

    def _expire(self, call: AttemptCall) -> None:
        if not self._is_active(call):
            return
        if call.waiter is not None or call.opening is not None:
            self._fail(call, Reason.OVERLOADED, "all connections are in use")
        elif call.connection is None:
            self._fail(call, Reason.CONNECT_FAILED, "not connected by the deadline")
        else:
            since_s = silent_since_s(call, self._clock())
            if since_s is not None:
                call.connections.close_idle_since(since_s)
            self._fail(call, Reason.TIMED_OUT, "no whole answer by the deadline")

    def _fail(self, call: AttemptCall, reason: Reason, detail: str) -> None:
        if self._pop_call(call.attempt.number) is None:
            return
        verdict = VERDICT_OF_STATE[self._table[(call.state, "failed")]]
        self._release_resources(call)
        call.done(AttemptFailed(call.attempt.number, Failure(reason, verdict, detail)))

    def _release_resources(self, call: AttemptCall) -> None:
        """Release a call's resources: its place in a wait queue, or its connection in mid-exchange."""
        if call.waiter is not None:
            call.connections.cancel_wait(call.waiter)
            call.waiter = None
        if call.opening is not None:
            self._limit.cancel_wait(call.opening)
            call.opening = None
            call.connections.discard(None)
        if call.connection is not None:
            connection, call.connection = call.connection, None
            call.connections.discard(connection)
