"""Bounds the memory that the bodies of all requests take together, from their first byte to their answers."""

# Limit without settings.
DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024


class BodyMemory:
    """Counts the bytes of bodies that a node holds; ``limit_bytes`` bounds their sum."""

    __slots__ = ("held_bytes", "limit_bytes")

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.held_bytes = 0
        self.limit_bytes = limit_bytes


class HeldBody:
    """The share of one request in ``memory``."""

    __slots__ = ("_held_bytes", "_memory")

    def __init__(self, memory: BodyMemory) -> None:
        self._held_bytes = 0
        self._memory = memory

    def hold(self, size: int) -> bool:
        """Count ``size`` more bytes; return ``False`` if all bodies exceed the limit then."""
        self._held_bytes += size
        self._memory.held_bytes += size
        return self._memory.held_bytes <= self._memory.limit_bytes

    def release(self) -> None:
        """Stop counting the request."""
        self._memory.held_bytes -= self._held_bytes
        self._held_bytes = 0
