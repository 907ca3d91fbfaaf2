"""One accepted connection: in exactly one state at any time, each with a bound of its own.

A state's timeout is not renewed by bytes that bring the connection no further. ``request_reader`` reads the
requests, ``places`` and ``memory`` tell when a connection has to be given up for others.
"""

import asyncio
from typing import Any

from yokesill.callers.bounds import BoundedConfig
from yokesill.callers.closings import ClosedConnection, CloseReason, ConnectionState
from yokesill.callers.lingering import MAX_DISCARDED_BYTES
from yokesill.callers.places import Claim
from yokesill.callers.refusals import REFUSALS
from yokesill.callers.request_reader import RequestReader
from yokesill.callers.sockets import has_unread_data

# Memory that an open connection takes in the process.
CONNECTION_COST_BYTES = 10_000
# A caller that sends nothing of a body, or takes nothing of its answer, for this time has gone or never will.
BODY_STALLED_AFTER_S = 60.0
ANSWER_STALLED_AFTER_S = 20.0
# A caller that has taken a part of its answer within this time goes on taking it.
GOES_ON_S = 1.0
# Counted with each connection's age, so that of new ones the largest is given up first.
MIN_AGE_S = 0.01
# A new connection is read in the second turn after it was accepted.
TURNS_UNTIL_READ = 3
READING = (ConnectionState.READING_HEAD, ConnectionState.READING_BODY)


class BoundedProtocol(RequestReader):
    """Serves the requests of one connection in order, and closes it where a bound requires that."""

    held_bytes = 0
    _state: ConnectionState | None = None
    _state_since_s = 0.0
    _state_timeout: asyncio.TimerHandle | None = None
    _head_timeout: asyncio.TimerHandle | None = None
    # The progress of the current state that a timeout or the bound on connections saw last.
    _progress_at_timeout = 0
    _progress_when_full = 0
    # Turns of the loop until what had arrived with the connection has been read.
    _turns_until_read = 0
    _went_on_at_s = float("-inf")
    _closing = False
    _discarded_bytes = 0
    # Whether its requests are run, and not refused.
    _has_place = False

    def __init__(self, config: BoundedConfig, *arguments: Any, **options: Any) -> None:
        super().__init__(config, *arguments, **options)
        self._received_body_bytes = 0

    # --- the connection ---

    def connection_made(self, transport: Any) -> None:
        """Take a place, which another connection may have to give up."""
        super().connection_made(transport)
        # Whatever is unsent counts, and is noticed.
        transport.set_write_buffer_limits(high=0)
        self.settle()
        if self._closing:
            return
        places, bounds = self._shares.places, self._shares.bounds
        if places.taken >= bounds.places:
            self._wait_for_first_read(TURNS_UNTIL_READ)
        self._has_place = places.take(self, bounds.places)
        open_count = len(self.connections) - len(self._shares.lingering)
        if not self._has_place and open_count > bounds.max_connections:
            places.refuse_one(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release everything."""
        self._release()
        self._shares.lingering.remove(self.transport)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take bytes, or throw them away if the caller has been refused."""
        if not self._closing:
            super().data_received(data)
            return
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.close()

    def pause_writing(self) -> None:
        """Note that the caller has not taken all that was written."""
        super().pause_writing()
        self.settle()

    def shutdown(self) -> None:
        """Close the connection, after the answers to what was received; called again until it is closed."""
        if self.has_work():
            return
        if self._state is ConnectionState.READING_HEAD:
            self._close(CloseReason.STOPPING, refuse=True)
        else:
            super().shutdown()

    def resume_writing(self) -> None:
        """Go on, now that the caller has taken all that was written."""
        super().resume_writing()
        self.settle()
        self._shares.turns.add(self)

    # --- states ---

    @property
    def state(self) -> ConnectionState:
        """The state, by what is unfinished; a request that runs goes first."""
        if self._running is not None and not self._after_head:
            return ConnectionState.RUNNING
        if self._running is None and self.flow.write_paused:
            return ConnectionState.ANSWERING
        if self.pipeline:
            return ConnectionState.RUNNING
        if self._after_head:
            return ConnectionState.READING_BODY
        return ConnectionState.READING_HEAD if self._in_head else ConnectionState.IDLE

    def settle(self) -> None:
        """Bring timeouts, place and account in line with the state."""
        if self._closing:
            return
        state = self.state
        if state is not self._state:
            self._enter(state)
        if self._in_head and self._head_timeout is None:
            timeout_s = self._shares.bounds.header_timeout_s
            self._head_timeout = self.loop.call_later(timeout_s, self._head_timed_out)
        elif not self._in_head and self._head_timeout is not None:
            self._head_timeout.cancel()
            self._head_timeout = None
        unsent_bytes = self.transport.get_write_buffer_size() if self.flow.write_paused else 0
        size = CONNECTION_COST_BYTES + self.reading_cost + unsent_bytes
        if size != self.held_bytes:
            self._shares.memory.hold(self, size)

    def _enter(self, state: ConnectionState) -> None:
        self._state = state
        self._state_since_s = self.loop.time()
        self._progress_at_timeout = self._progress_when_full = self._progress()
        if state is ConnectionState.RUNNING:
            self._shares.places.set_running(self)
        elif self._has_place:
            self._shares.places.set_waiting(self)
        self._start_state_timeout()

    def _progress(self) -> int:
        """Return a number that rises with what the caller sends of a body or takes of an answer."""
        if self._state is ConnectionState.READING_BODY:
            return self._received_body_bytes
        if self._state is ConnectionState.ANSWERING:
            return -self.transport.get_write_buffer_size()
        return 0

    def on_body(self, body: bytes) -> None:
        """Count the bytes of bodies."""
        self._received_body_bytes += len(body)
        super().on_body(body)

    # --- timeouts ---

    def _start_state_timeout(self) -> None:
        if self._state_timeout is not None:
            self._state_timeout.cancel()
            self._state_timeout = None
        timeout_s = self._state_timeout_s()
        if timeout_s is not None:
            self._state_timeout = self.loop.call_later(timeout_s, self._state_timed_out)

    def _state_timeout_s(self) -> float | None:
        """Return the time without progress after which the state ends the connection, if there is one."""
        match self._state:
            case ConnectionState.IDLE:
                return self._shares.bounds.idle_timeout_s
            case ConnectionState.READING_BODY:
                return BODY_STALLED_AFTER_S
            case ConnectionState.ANSWERING:
                return ANSWER_STALLED_AFTER_S
            case _:
                return None

    def _state_timed_out(self) -> None:
        self._state_timeout = None
        if self.queued:
            # The caller waits for this node.
            self._start_state_timeout()
            return
        progress = self._progress()
        if progress > self._progress_at_timeout:
            self._progress_at_timeout = progress
            self._start_state_timeout()
        elif self._state is ConnectionState.IDLE:
            self._close(CloseReason.IDLE)
        elif self._state is ConnectionState.READING_BODY:
            self.reject(CloseReason.BODY_STALLED)
        else:
            self._close(CloseReason.ANSWER_STALLED)

    def _head_timed_out(self) -> None:
        self._head_timeout = None
        if self.queued:
            # The caller waits for this node.
            self.settle()
        else:
            self.reject(CloseReason.HEAD_TIMEOUT)

    # --- places ---

    def may_run(self) -> bool:
        """Whether the connection has a place to run a request in, by now."""
        if not self._has_place:
            self._has_place = self._shares.places.take(self, self._shares.bounds.places)
        return self._has_place

    # --- closing ---

    def _wait_for_first_read(self, turns: int) -> None:
        """Note that what the caller has sent may not have been read, for some turns of the loop."""
        self._turns_until_read = turns
        if turns:
            self.loop.call_soon(self._wait_for_first_read, turns - 1)

    def claim(self) -> Claim:
        """Return the connection's claim to its place, while no request of its runs."""
        if self._turns_until_read or (self.queued and not self.has_had_work):
            return Claim.NODE_IS_DUE
        if self.queued and self.is_light:
            return Claim.NODE_HAS_BEGUN
        if self._state is not ConnectionState.ANSWERING:
            return Claim.NONE
        progress = self._progress()
        if progress > self._progress_when_full:
            self._progress_when_full = progress
            self._went_on_at_s = self.loop.time()
        goes_on = self.loop.time() - self._went_on_at_s < GOES_ON_S
        return Claim.CALLER_GOES_ON if goes_on else Claim.NONE

    def close_after_answer(self) -> None:
        """Close the connection with the answer to the request that runs, or runs next."""
        cycle = self._running or (self.pipeline[-1][0] if self.pipeline else None)
        if cycle is not None:
            cycle.keep_alive = False

    def is_unread(self) -> bool:
        """Whether a caller of whom nothing has been read has sent something."""
        has_begun = self._state is not ConnectionState.IDLE or self._bytes_without_body
        return not has_begun and has_unread_data(self.transport)

    def burden(self) -> tuple[bool, float]:
        """Return what is held, for how long; requests that run come last."""
        age_s = self.loop.time() - self._state_since_s
        return (self._state is not ConnectionState.RUNNING, self.held_bytes * (age_s + MIN_AGE_S))

    def give_up(self, reason: CloseReason) -> None:
        """Close the connection for others, whatever its state.

        A caller without a place is told so although nothing may have been read of it: none of its requests
        has run, and none will.
        """
        self._close(reason, refuse=self._state in READING or not self._has_place)

    def reject(self, reason: CloseReason) -> None:
        """Refuse what can't be read; only close if an earlier request is unanswered.

        The refusal would stand in the place of that request's answer.
        """
        self._held = b""
        if self._after_head and self.pipeline:
            # The request that is being read waits for its turn, and will never be whole.
            self.pipeline.popleft()
            self._request_costs.pop()
            self._ended = True
        elif not self._after_head and (self._running or self.pipeline):
            self._ended = True
        else:
            self._close(reason, refuse=True)
            return
        self._in_head = False
        self._after_head = False

    def _close(self, reason: CloseReason, refuse: bool = False) -> None:
        """Close the connection now; ``refuse`` answers a request that is being read, which will never run."""
        if self._closing:
            return
        self._closing = True
        state = self._state or ConnectionState.IDLE
        state_s = self.loop.time() - self._state_since_s
        self._shares.report_closed(ClosedConnection(reason, state, self.held_bytes, state_s))
        is_refused = refuse and self._may_refuse()
        if is_refused:
            self.transport.write(REFUSALS[reason])
        may_linger = is_refused and reason is CloseReason.CONNECTIONS and not self._after_head
        self.disconnect_application()
        self._release()
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        elif may_linger and not self.pipeline:
            self.flow.resume_reading()
            self._shares.lingering.add(self.transport, self.loop)
        else:
            self.transport.close()

    def _may_refuse(self) -> bool:
        """Whether a refusal would be the answer to the request that is being read, and to no other."""
        if self.transport.is_closing() or self.flow.write_paused:
            return False
        if self._after_head:
            return self._running is not None and not self._running.response_started
        return self._running is None

    def _release(self) -> None:
        self._closing = True
        for timeout in (self._state_timeout, self._head_timeout):
            if timeout is not None:
                timeout.cancel()
        self._state_timeout = self._head_timeout = None
        self._held = b""
        self._shares.places.remove(self)
        self._shares.memory.release(self)
