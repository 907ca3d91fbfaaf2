"""Reads one HTTP/1.1 reply with httptools, uvicorn's parser.

Shared by connections to servers, coordinators and the registry. Owns the bytes of one reply until it is
complete; anything that is not exactly one reply raises ``ReplyError`` or is marked as ``surplus``.
"""

import httptools

# Bound the memory that one reply can use.
MAXIMUM_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024
# Statuses whose replies have no body whatever their headers say (RFC 9112, section 6.3).
BODILESS_STATUS = frozenset({204, 304})


class ReplyError(Exception):
    """The bytes are not a reply, or not a whole one."""


class HttpReplyReader:
    """One reply to one request; httptools calls the ``on_`` methods.

    ``surplus`` is set when bytes follow the reply's end: the connection must not be used again.
    """

    def __init__(self, bodiless: bool = False) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.keep_alive = False
        self.complete = False
        self.surplus = False
        self._bodiless = bodiless
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._chunks: list[bytes] = []
        self._received = 0
        self._head_bytes = 0
        self._body_bytes = 0
        self._framed = False
        self._head_done = False

    @property
    def started(self) -> bool:
        """Whether any byte of it has come."""
        return self._received > 0

    @property
    def framed(self) -> bool:
        """Whether the reply says where it ends; the others end with their connection."""
        return self._framed or self.status in BODILESS_STATUS

    def feed(self, data: bytes) -> None:
        """Take received bytes; raises ``ReplyError`` when they are no reply or too many."""
        self._received += len(data)
        if self._parser is None:
            self.surplus = True
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.complete:
                raise ReplyError(f"not a reply: {error}") from error
            self.surplus = True
        if self._body_bytes > MAX_BODY_BYTES:
            raise ReplyError("the reply is too large")
        if self._head_bytes > MAXIMUM_HEAD_BYTES or self._endless_head():
            raise ReplyError("the reply's head is too large")
        if self.complete:
            self._let_go()

    def _let_go(self) -> None:
        """Let go of the parser, and of what only it needed.

        The parser holds this reader, too: the two, with the reply's body, would stay until the
        interpreter looks for cycles, some thousand replies later.
        """
        self._parser = None
        self._chunks = []

    def _endless_head(self) -> bool:
        return not self._head_done and self._received > MAXIMUM_HEAD_BYTES

    def end_of_stream(self) -> None:
        """The server closed orderly: that ends a reply without a length, and breaks any other off."""
        if not self._head_done or self._framed:
            raise ReplyError("the server closed within a reply")
        self._finish()
        self.keep_alive = False
        self._let_go()

    def on_message_begin(self) -> None:
        """A reply begins; a second one was not asked for."""
        if self.complete:
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if self.complete:
            return
        self._head_bytes += len(name) + len(value)
        name = name.lower()
        self.headers.append((name, value))
        if name in (b"content-length", b"transfer-encoding"):
            self._framed = True

    def on_headers_complete(self) -> None:
        """The head was read; interim replies (1xx) are passed over."""
        if self.complete or self._parser is None:
            return
        self.status = self._parser.get_status_code()
        self.keep_alive = self._parser.should_keep_alive()
        self._head_done = True
        if self._bodiless and self.status >= 200:
            self._finish()

    def on_body(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        if not self.complete:
            self._chunks.append(chunk)
            self._body_bytes += len(chunk)

    def on_message_complete(self) -> None:
        """The reply ends."""
        if self.complete:
            return
        if self.status < 200:
            self.headers, self._head_done, self._framed = [], False, False
            return
        self._finish()

    def _finish(self) -> None:
        self.body = b"".join(self._chunks)
        self.complete = True
