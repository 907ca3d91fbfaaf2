"""Bounds the memory that all replies which a node is reading take together.

A faulty peer may send a head or a body without end. The largest replies are given up first, so that such a
peer costs its own replies and no others.
"""

from typing import Protocol

# Limit without settings, and the smallest limit that settings can lead to.
DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024
MIN_LIMIT_BYTES = 4 * 1024 * 1024


class HeldReply(Protocol):
    """A reply that is being read, with the number of bytes that it holds."""

    held_bytes: int

    def discard(self) -> None:
        """Release the bytes; the reply fails."""


class ReplyMemory:
    """Counts the bytes held by unfinished replies; ``limit_bytes`` bounds their sum."""

    __slots__ = ("_held_bytes", "_replies", "limit_bytes")

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = max(MIN_LIMIT_BYTES, limit_bytes)
        self._held_bytes = 0
        self._replies: set[HeldReply] = set()

    @property
    def held_bytes(self) -> int:
        """The number of bytes held now."""
        return self._held_bytes

    def hold(self, reply: HeldReply, size: int) -> None:
        """Count ``size`` more bytes of a reply, and discard the largest replies above the limit."""
        self._replies.add(reply)
        reply.held_bytes += size
        self._held_bytes += size
        while self._held_bytes > self.limit_bytes:
            largest = max(self._replies, key=lambda each: each.held_bytes)
            self.release(largest)
            largest.discard()

    def release(self, reply: HeldReply) -> None:
        """Stop counting a reply that is complete or has failed."""
        if reply in self._replies:
            self._replies.discard(reply)
            self._held_bytes -= reply.held_bytes
            reply.held_bytes = 0
