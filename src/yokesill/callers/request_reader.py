"""Reads the requests of one connection piece by piece: uvicorn's protocol with certain framing.

No byte of a body is read as a request. Bytes are read no faster than they are worked off, and a piece of work
is short, whatever the bytes are. ``protocol`` decides about the connection itself.
"""

import asyncio
from abc import abstractmethod
from collections import deque
from typing import Any

import httptools
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from yokesill.callers.application import FRESH_CONNECTION
from yokesill.callers.bounds import BoundedConfig, ListenerShares
from yokesill.callers.closings import CloseReason
from yokesill.callers.flow import HoldingFlow
from yokesill.callers.headers import FIELD_LINE_BYTES
from yokesill.comm.numbers import parse_digits

# Bytes of a request line, beside the bytes of the fields that operators limit.
MAX_REQUEST_LINE_BYTES = 16 * 1024
# A trailer or a chunk's extension that is longer has no end.
MAX_BYTES_WITHOUT_BODY = 128 * 1024
MAX_HEADER_FIELDS = 4096
# Bytes that may wait to be parsed before reading pauses.
MAX_HELD_BYTES = 8 * 1024
# Bytes given to the parser at once where each may cost a call, and so may hold many small requests.
# More of a body when the piece before held little, as the chunks of an ordinary body do.
PIECE_BYTES, MAX_PIECE_BYTES = 512, 2048
# Fields, chunks and requests of a piece that holds little.
FEW_PARTS = 4
# Pieces after which a connection has had much work done for one answer.
LIGHT_PIECES = 16
# Memory in the process for a request and for each of its fields, beside their bytes.
REQUEST_COST_BYTES, FIELD_COST_BYTES = 5000, 180
# A body is held twice while it is put together.
BODY_COST_FACTOR = 2


class RequestReader(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Parses the bytes of one connection, and starts its requests in order.

    Requests that offer an upgrade are read as any other: the parser takes their head for the end of HTTP, so
    it is replaced by one that reads the head again without the offer.
    """

    config: BoundedConfig
    queued = False
    # Whether the next request is the first of its connection.
    _is_fresh = True
    # Whether the parser is within a request's head; after the head, until the request's end.
    _in_head = False
    _after_head = False
    # The request that the application has not answered yet.
    _running: RequestResponseCycle | None = None
    _upgrade_offered = False
    # Why a head that the parser was made to stop at is refused.
    _refusal = CloseReason.MALFORMED
    # Whether the requests read so far are the last ones of the connection.
    _ended = False
    _held = b""
    # Bytes since the last byte of a body or the end of a head.
    _bytes_without_body = 0
    _head_bytes = 0
    # The length that the head gives for its body; how much of it is still to come.
    _content_length = 0
    _body_left = 0
    _pieces = 0
    _piece_bytes = PIECE_BYTES
    # Fields, chunks and requests in the current piece.
    _parts = 0

    def __init__(self, config: BoundedConfig, *arguments: Any, **options: Any) -> None:
        super().__init__(config, *arguments, **options)
        self._shares: ListenerShares = config.shares
        self._request_costs: deque[int] = deque()

    @abstractmethod
    def reject(self, reason: CloseReason) -> None:
        """Refuse what can't be read, and close the connection."""

    @abstractmethod
    def may_run(self) -> bool:
        """Whether the connection has a place to run a request in."""

    @abstractmethod
    def settle(self) -> None:
        """Take note that something may have changed."""

    @property
    def holds_much(self) -> bool:
        """Whether as many bytes wait to be parsed as may be read ahead."""
        return len(self._held) >= MAX_HELD_BYTES

    @property
    def is_light(self) -> bool:
        """Whether the connection has had little work done since its last answer."""
        return self._pieces < LIGHT_PIECES

    @property
    def has_had_work(self) -> bool:
        """Whether anything has been parsed since the connection's last answer."""
        return self._pieces > 0

    @property
    def reading_cost(self) -> int:
        """Memory that the requests of the connection take, read or not yet whole."""
        fields = len(self.headers) if self._in_head else 0
        reading = len(self._held) + self._bytes_without_body + self._head_bytes + fields * FIELD_COST_BYTES
        return reading + sum(self._request_costs)

    def connection_made(self, transport: Any) -> None:
        """Set up flow control."""
        super().connection_made(transport)
        self.flow = HoldingFlow(transport, lambda: self.holds_much)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the application, also if more requests have been read behind the one that it runs."""
        self.disconnect_application()
        super().connection_lost(exc)

    # --- pieces of work ---

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer that bytes are read into."""
        return self._shares.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were read."""
        self.data_received(bytes(memoryview(self._shares.read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse bytes in pieces, and read no further meanwhile."""
        if self._ended:
            return
        self._held += data
        self._shares.turns.add(self)
        if self.holds_much:
            self.flow.pause_reading()

    def work(self) -> bool:
        """Start the next request or parse one piece; return whether there is more to do now."""
        self._pieces += 1
        if self.pipeline:
            self._start_next()
        else:
            self._parse_piece()
        self.settle()
        self._resume_reading()
        return self.has_work()

    def has_work(self) -> bool:
        """Whether there is anything to do that need not wait for an answer to be made or taken."""
        if self.transport.is_closing() or self.flow.write_paused:
            return False
        if self.pipeline:
            return self._running is None
        return bool(self._held) and not self._ended

    def _start_next(self) -> None:
        cycle, app = self.pipeline.pop()
        self._start_asgi_task(cycle, app)

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    def _parse_piece(self) -> None:
        size = self._body_left or self._piece_bytes
        was_in_body = self._after_head
        self._parts = 0
        piece, self._held = self._held[:size], self._held[size:]
        self._bytes_without_body += len(piece)
        try:
            self._feed(piece)
        except httptools.HttpParserError:
            self.reject(self._refusal)
            return
        is_cheap = was_in_body and self._parts <= FEW_PARTS
        self._piece_bytes = min(2 * self._piece_bytes, MAX_PIECE_BYTES) if is_cheap else PIECE_BYTES
        if self._bytes_without_body > self._max_bytes_without_body():
            self.reject(CloseReason.HEAD_TOO_LARGE)

    def _max_bytes_without_body(self) -> int:
        if self._after_head:
            return MAX_BYTES_WITHOUT_BODY
        return self._shares.bounds.header_bytes + MAX_REQUEST_LINE_BYTES

    def _resume_reading(self) -> None:
        """Read on, unless the application has to take a part of a body first."""
        unread = self.cycle is not None and not self.cycle.response_complete and len(self.cycle.body)
        if not self.transport.is_closing() and not unread > HIGH_WATER_LIMIT:
            self.flow.resume_reading()

    # --- parsing ---

    def _feed(self, piece: bytes) -> None:
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade as error:
            rest = piece[error.args[0] :]
            if not self._upgrade_offered:
                self.reject(CloseReason.MALFORMED)
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

    # --- parser callbacks ---

    def on_message_begin(self) -> None:
        """Begin a request's head."""
        self._parts += 1
        super().on_message_begin()
        self._in_head = True
        self._after_head = False
        self._head_bytes = 0
        self._content_length = 0
        self.scope[FRESH_CONNECTION] = self._is_fresh  # type: ignore[literal-required]
        self._is_fresh = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; the fields of a trailer are dropped."""
        self._parts += 1
        if self._after_head:
            return
        self._head_bytes += len(name) + len(value) + FIELD_LINE_BYTES
        if self._head_bytes > self._shares.bounds.header_bytes or len(self.headers) >= MAX_HEADER_FIELDS:
            self._refusal = CloseReason.HEAD_TOO_LARGE
            raise ValueError("the head is too large")
        if name.lower() == b"content-length":
            self._content_length = parse_digits(value) or 0
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request."""
        self._bytes_without_body = 0
        if self.parser.should_upgrade():
            # ``CONNECT`` asks for a tunnel, which a node never is.
            self._upgrade_offered = self.parser.get_method() != b"CONNECT"
            return
        if not self.may_run():
            self._refusal = CloseReason.CONNECTIONS
            raise ValueError("no place to run the request in")
        # Raises for a target that is no URL: the request then never counts as read.
        super().on_headers_complete()
        self._in_head = False
        self._after_head = True
        fields = len(self.headers) * FIELD_COST_BYTES
        self._request_costs.append(REQUEST_COST_BYTES + fields + self._head_bytes + len(self.url))
        self._head_bytes = 0
        self._body_left = self._content_length

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a request's body."""
        self._parts += 1
        self._bytes_without_body = 0
        self._body_left = max(0, self._body_left - len(body))
        if self._request_costs and not self.cycle.response_complete:
            self._request_costs[-1] += BODY_COST_FACTOR * len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End a request's body."""
        if self._upgrade_offered or not self._after_head:
            return
        self._after_head = False
        self._body_left = 0
        self._bytes_without_body = 0
        super().on_message_complete()

    # --- answering ---

    def on_response_complete(self) -> None:
        """Go on with the next request, whose bytes may be held."""
        self.server_state.total_requests += 1
        self._running = None
        self._pieces = 0
        if self._request_costs:
            self._request_costs.popleft()
        if self._ended and not self.pipeline:
            self.transport.close()
        self.settle()
        self._shares.turns.add(self)
        self._resume_reading()

    def disconnect_application(self) -> None:
        """Let nothing more be written or run for the request that has not been answered."""
        if self._running is not None:
            self._running.disconnected = True
            self._running.message_event.set()
