"""One account of the memory that a node holds for callers, on all of its listeners.

Heads, bodies, requests that wait for their turn and answers that are not taken are counted by what they cost
in the process. Above the limit, the caller that has held most for longest is given up, and one whose request
runs last.
"""

from typing import Protocol

from yokesill.callers.closings import CloseReason

# Limit without settings.
DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024


class MemoryHolder(Protocol):
    """A connection, with the bytes that it is counted with."""

    held_bytes: int

    def burden(self) -> tuple[bool, float]:
        """Return by what the holders are ordered: what each holds, for how long; those that run come last."""

    def give_up(self, reason: CloseReason) -> None:
        """Release everything and close the connection."""


class CallerMemory:
    """Counts the bytes held for callers; ``limit_bytes`` bounds their sum."""

    __slots__ = ("_holders", "held_bytes", "limit_bytes")

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.held_bytes = 0
        self.limit_bytes = limit_bytes
        self._holders: set[MemoryHolder] = set()

    def hold(self, holder: MemoryHolder, size: int) -> None:
        """Count a holder with ``size`` bytes from now on; above the limit, give holders up."""
        self._holders.add(holder)
        self.held_bytes += size - holder.held_bytes
        holder.held_bytes = size
        while self.held_bytes > self.limit_bytes and self._holders:
            largest = max(self._holders, key=lambda each: each.burden())
            largest.give_up(CloseReason.MEMORY)
            self.release(largest)

    def release(self, holder: MemoryHolder) -> None:
        """Stop counting a holder."""
        self._holders.discard(holder)
        self.held_bytes -= holder.held_bytes
        holder.held_bytes = 0
