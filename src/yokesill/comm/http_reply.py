"""Reads one HTTP/1.1 reply with httptools, the parser that uvicorn uses.

Used by connections to servers, coordinators and the registry. Buffers one reply until it is complete.
Malformed or truncated replies raise ``ReplyError``; bytes after the reply set ``surplus``. What a reply holds
is counted with its objects: a header field takes much more memory than its bytes.
"""

import httptools

from yokesill.comm.http_status import is_final_status, is_status
from yokesill.comm.reply_memory import ReplyMemory

# Limit the memory that one reply can use; ``ReplyMemory`` limits that of all together.
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024
# A body is held in pieces of about this size: one object that grows is moved, and leaves gaps in the heap.
PIECE_BYTES = 64 * 1024
# A reply that grows by more than this without a byte of its body is not one: its head, its trailer, or the
# extension of a chunk has no end.
MAX_BYTES_WITHOUT_BODY = MAX_HEAD_BYTES
# Fields of a reply's head and trailer, those of interim replies included. Common servers send at most 100.
MAX_FIELDS = 1000
# What the objects of a field take beside its bytes: a tuple, two byte strings and a place in the list.
FIELD_OVERHEAD_BYTES = 160
# Statuses whose replies have no body, regardless of their headers (RFC 9112, section 6.3).
BODILESS_STATUSES = frozenset({204, 304})
# Replies of another major version are framed by other rules.
MAJOR_VERSION = "1."


class ReplyError(Exception):
    """The bytes are not a reply, or the reply is truncated or too large."""


class ReplyTooLargeError(ReplyError):
    """The reply is larger than its reader accepts."""


class HttpReplyReader:
    """Reader of one reply to one request; httptools calls the ``on_`` methods.

    ``surplus`` is set when bytes follow the end of the reply; the connection must not be reused then.
    ``bodiless`` says that the reply has no body, as in a reply to ``HEAD``. What the reply holds counts
    towards ``memory``, which may discard it: it then fails with the next byte or the end of the stream.
    """

    def __init__(
        self,
        bodiless: bool = False,
        memory: ReplyMemory | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.keep_alive = False
        self.complete = False
        self.surplus = False
        self.held_bytes = 0
        self._memory = memory
        self._max_body_bytes = max_body_bytes
        self._discarded = False
        self._bodiless = bodiless
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        # The body's pieces; the last one grows. Most bodies arrive as one, and are then not copied.
        self._full_pieces: list[bytes | bytearray] = []
        self._last_piece: bytes | bytearray = b""
        self._received = 0
        self._fields = 0
        self._head_bytes = 0
        self._body_bytes = 0
        self._bytes_without_body = 0
        self._framed = False
        self._head_done = False

    @property
    def started(self) -> bool:
        """Whether any byte of the reply was received."""
        return self._received > 0

    @property
    def framed(self) -> bool:
        """Whether the reply declares its end; any other reply ends when the connection closes."""
        return self._framed or self.status in BODILESS_STATUSES

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises ``ReplyError`` when they are malformed or too many."""
        self._received += len(data)
        if self._discarded:
            raise ReplyError("the node holds too many bytes of replies")
        if self._parser is None:
            self.surplus = True
            return
        body_bytes, fields = self._body_bytes, self._fields
        self._parse(data)
        self._bytes_without_body = (
            0 if self._body_bytes > body_bytes else self._bytes_without_body + len(data)
        )
        self._check_size()
        if self.complete:
            self.release()
        elif self._memory is not None:
            self._memory.hold(self, len(data) + FIELD_OVERHEAD_BYTES * (self._fields - fields))

    def _parse(self, data: bytes) -> None:
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            self.release()
            raise ReplyError("the peer changed to another protocol") from error
        except httptools.HttpParserError as error:
            if not self.complete:
                self.release()
                raise ReplyError(f"not a reply: {error.__context__ or error}") from error
            self.surplus = True

    def _check_size(self) -> None:
        """Raise ``ReplyError`` if the reply, or its head or trailer, is too large."""
        if self._body_bytes > self._max_body_bytes:
            self.release()
            raise ReplyTooLargeError("the reply is too large")
        if max(self._head_bytes, self._bytes_without_body) > MAX_BYTES_WITHOUT_BODY:
            self.release()
            raise ReplyError("the reply's head is too large")

    def discard(self) -> None:
        """Drop what was read; called by ``ReplyMemory``."""
        self._discarded = True
        self.release()
        self.headers = []

    def release(self) -> None:
        """Drop the parser and an unfinished body, and stop counting the reply; called when nobody reads on.

        The parser refers to this reader, so the two form a reference cycle. Without this, both would
        hold the reply's body until the cyclic garbage collector runs, some thousand replies later.
        """
        self._parser = None
        self._full_pieces = []
        self._last_piece = b""
        if self._memory is not None:
            self._memory.release(self)

    def end_of_stream(self) -> None:
        """Handle an orderly close: it ends a reply without a declared length and truncates any other."""
        if self._discarded:
            raise ReplyError("the node holds too many bytes of replies")
        if not self._head_done or self._framed:
            self.release()
            raise ReplyError("the server closed within a reply")
        self._finish()
        self.keep_alive = False
        self.release()

    def on_message_begin(self) -> None:
        """Handle the start of a reply; a second reply is surplus."""
        if self.complete:
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record one header; fields of a trailer are dropped."""
        if self.complete:
            return
        self._fields += 1
        if self._fields > MAX_FIELDS:
            raise ReplyError("the reply has too many fields")
        if self._head_done:
            return
        self._head_bytes += len(name) + len(value)
        name = name.lower()
        self.headers.append((name, value))
        if name in (b"content-length", b"transfer-encoding"):
            self._framed = True

    def on_headers_complete(self) -> None:
        """Record the status once the head is complete; interim replies (1xx) are skipped."""
        if self.complete or self._parser is None:
            return
        self.status = self._parser.get_status_code()
        if not is_status(self.status):
            raise ReplyError(f"a status of {self.status}")
        version = self._parser.get_http_version()
        if not version.startswith(MAJOR_VERSION):
            raise ReplyError(f"a reply of HTTP/{version}")
        self.keep_alive = self._parser.should_keep_alive()
        self._head_done = True
        if self._bodiless and is_final_status(self.status):
            self._finish()

    def on_body(self, chunk: bytes) -> None:
        """Store a chunk of the body; in pieces, since the smallest chunks would cost tenfold."""
        if self.complete:
            return
        if not self._body_bytes:
            self._last_piece = chunk
        elif len(self._last_piece) >= PIECE_BYTES:
            self._full_pieces.append(self._last_piece)
            self._last_piece = chunk
        else:
            if isinstance(self._last_piece, bytes):
                self._last_piece = bytearray(self._last_piece)
            self._last_piece += chunk
        self._body_bytes += len(chunk)

    def on_message_complete(self) -> None:
        """Complete the reply; an interim reply (1xx) is discarded instead."""
        if self.complete:
            return
        if not is_final_status(self.status):
            self.headers, self._head_done, self._framed = [], False, False
            return
        self._finish()

    def _finish(self) -> None:
        self.body = b"".join((*self._full_pieces, self._last_piece))
        self.complete = True
