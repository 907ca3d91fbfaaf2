"""HTTP/1.1 on one accepted connection: uvicorn's protocol with bounds on whatever the other side sends.

No byte of a body is read as a request, and nothing is without end: a request's head, its trailer, requests
sent before earlier ones are answered, connections, and answers that nobody takes. ``listener`` owns the
bounds' values.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import httptools
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from yokesill.callers.application import FRESH_CONNECTION

# Default until the first configuration: the time to receive a request's head.
DEFAULT_HEADER_TIMEOUT_S = 3.0
# A head, a trailer or a chunk's extension that is longer has no end. Operators limit heads further.
MAX_BYTES_WITHOUT_BODY = 128 * 1024
# Bytes given to the parser at once: it can't be stopped within them when they hold many small requests.
PARSED_BYTES = 4096
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
)


class HoldingFlow(FlowControl):
    """Flow control that doesn't resume reading while bytes are held that were read before."""

    def __init__(self, transport: asyncio.Transport, holds: Callable[[], bool]) -> None:
        super().__init__(transport)
        self._holds = holds

    def resume_reading(self) -> None:
        """Resume reading, unless bytes are held."""
        if not self._holds():
            super().resume_reading()


class BoundedProtocol(HttpToolsProtocol):
    """Serves the requests of one connection in order.

    Requests that offer an upgrade are served as any other: the parser takes their head for the end of HTTP,
    so it is replaced by one that reads the head again without the offer.
    """

    _timeout_handle: asyncio.TimerHandle | None = None
    _is_fresh = True
    # Whether the parser is within a request, from its head's end on.
    _after_head = False
    _upgrade_offered = False
    # Whether the requests read so far are the last ones of the connection.
    _ended = False
    _bytes_without_body = 0
    _held = b""
    _waits_for_turn = False

    # --- the connection ---

    def connection_made(self, transport: Any) -> None:
        """Start the idle timeout for the first request; above the bound, make room or close."""
        super().connection_made(transport)
        self.flow = HoldingFlow(transport, lambda: bool(self._held))
        self._start_timeout(self.timeout_keep_alive)
        if len(self.connections) > getattr(self.config, "max_connections", len(self.connections)):
            self._make_room()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop any running timeout."""
        self._cancel_timeout()
        self._held = b""
        if (unsent := self._unsent()) is not None:
            unsent.taken(self.transport)
        super().connection_lost(exc)

    def _make_room(self) -> None:
        """Close the connection that has been idle for longest, or this one if all others are in use."""
        idle = [each for each in self.connections if isinstance(each, BoundedProtocol) and each.is_idle]
        others = [each for each in idle if each is not self]
        oldest = min(others, key=lambda each: each.idle_since_s, default=self)
        oldest.transport.abort() if oldest is self else oldest.transport.close()

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open, and no request is being read or answered."""
        answered = self.cycle is None or self.cycle.response_complete
        return (
            answered
            and not self.transport.is_closing()
            and not self._after_head
            and not self._bytes_without_body
        )

    @property
    def idle_since_s(self) -> float:
        """When the running timeout ends, by which idle connections are ordered."""
        running = self.timeout_keep_alive_task or self._timeout_handle
        return running.when() if running is not None else 0.0

    def pause_writing(self) -> None:
        """Watch an answer that its caller doesn't take."""
        super().pause_writing()
        if (unsent := self._unsent()) is not None:
            unsent.stalled(self.transport)

    def resume_writing(self) -> None:
        """Stop watching an answer that its caller has taken."""
        super().resume_writing()
        if (unsent := self._unsent()) is not None:
            unsent.taken(self.transport)

    def _unsent(self) -> Any:
        return getattr(self.config, "unsent", None)

    # --- reading ---

    def data_received(self, data: bytes) -> None:
        """Parse bytes, except those that follow a request which waits for its turn: they are held."""
        self._unset_keepalive_if_required()
        if not self._ended:
            self._held += data
            self._parse_held()

    def _parse_held(self) -> None:
        while self._held and not self._ended and not self.transport.is_closing():
            if self.pipeline:
                self._waits_for_turn = True
                self.flow.pause_reading()
                return
            piece, self._held = self._held[:PARSED_BYTES], self._held[PARSED_BYTES:]
            self._bytes_without_body += len(piece)
            try:
                self._feed(piece)
            except httptools.HttpParserError:
                self._reject(None)
            if self._bytes_without_body > MAX_BYTES_WITHOUT_BODY:
                self._reject(HEAD_TOO_LARGE_RESPONSE)
        if self._waits_for_turn and not self._ended:
            self._waits_for_turn = False
            self.flow.resume_reading()

    def _feed(self, piece: bytes) -> None:
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade as error:
            rest = piece[error.args[0] :]
            if not self._upgrade_offered:
                self._reject(None)
                return
            self._held = rest + self._held
            self._read_head_again()

    def _read_head_again(self) -> None:
        """Read the current request's head with a new parser, without its offer of an upgrade.

        ``Upgrade`` concerns one connection only and is never passed on.
        """
        self._upgrade_offered = False
        self._is_fresh = bool(self.scope[FRESH_CONNECTION])  # type: ignore[literal-required]
        version = self.parser.get_http_version().encode()
        lines = [self.parser.get_method() + b" " + self.url + b" HTTP/" + version]
        lines += [name + b": " + value for name, value in self.headers if name != b"upgrade"]
        self.parser = httptools.HttpRequestParser(self)
        self.parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")

    def _reject(self, response: bytes | None) -> None:
        """Answer what can't be read with 400 or ``response``; only close if earlier requests are unanswered.

        The answer would stand in the place of theirs.
        """
        self._held = b""
        if self._after_head and self.pipeline:
            # The request that is being read waits for its turn, and will never be whole.
            self.pipeline.popleft()
            self._ended = True
        elif not self._after_head and not self._all_answered():
            self._ended = True
        elif response is None:
            self.send_400_response("Invalid HTTP request received.")
        else:
            self.transport.write(response)
            self.transport.close()

    # --- parser callbacks ---

    def on_message_begin(self) -> None:
        """Start the header timeout."""
        super().on_message_begin()
        self._after_head = False
        self.scope[FRESH_CONNECTION] = self._is_fresh  # type: ignore[literal-required]
        self._is_fresh = False
        self._start_timeout(getattr(self.config, "header_timeout_s", DEFAULT_HEADER_TIMEOUT_S))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; the fields of a trailer are dropped."""
        if not self._after_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Stop the header timeout and start the request."""
        self._cancel_timeout()
        self._bytes_without_body = 0
        if self.parser.should_upgrade():
            # ``CONNECT`` asks for a tunnel, which a node never is.
            self._upgrade_offered = self.parser.get_method() != b"CONNECT"
            return
        self._after_head = True
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a request's body."""
        self._bytes_without_body = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End a request's body."""
        if self._upgrade_offered or not self._after_head:
            return
        self._after_head = False
        self._bytes_without_body = 0
        super().on_message_complete()

    # --- answering ---

    def on_response_complete(self) -> None:
        """Go on with the next request, whose bytes may be held."""
        was_last = not self.pipeline
        super().on_response_complete()
        if self._ended and was_last:
            self.transport.close()
        elif self._held:
            self.loop.call_soon(self._parse_held)

    def _all_answered(self) -> bool:
        cycle: RequestResponseCycle | None = self.cycle
        return cycle is None or cycle.response_complete

    # --- timeouts ---

    def _start_timeout(self, seconds: float) -> None:
        self._cancel_timeout()
        self._timeout_handle = self.loop.call_later(seconds, self._on_timeout)

    def _cancel_timeout(self) -> None:
        if self._timeout_handle is not None:
            self._timeout_handle.cancel()
            self._timeout_handle = None

    def _on_timeout(self) -> None:
        self._timeout_handle = None
        if not self.transport.is_closing():
            self._reject(REQUEST_TIMEOUT_RESPONSE)
