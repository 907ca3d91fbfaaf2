"""Rendezvous hashing: every node ranks the same members for a subject alike, without messages.

Used wherever nodes divide work: watchers, deciders, coordinators, owners of cold servers, subsets of
servers. Nodes of different versions must agree, so the values never change (``tests/forms``). Without a
hashing library, which a serving node would have to load.
"""

import zlib

_MASK = (1 << 64) - 1
# The two multipliers of splitmix64's finish.
SPLITMIX64_MULTIPLIER_1, SPLITMIX64_MULTIPLIER_2 = 0xBF58476D1CE4E5B9, 0x94D049BB133111EB


def name_hash(name: str) -> int:
    """Return a name's 64-bit hash, the same on every node."""
    data = name.encode()
    return _mix(zlib.crc32(data) << 32 | zlib.crc32(data[::-1]))


def weight(member_hash: int, subject_hash: int) -> int:
    """Return a member's weight for a subject; the least wins."""
    return _mix(member_hash ^ subject_hash)


def _mix(value: int) -> int:
    """Spread a number's bits (splitmix64's finish), so that near numbers rank unlike."""
    value = ((value ^ (value >> 30)) * SPLITMIX64_MULTIPLIER_1) & _MASK
    value = ((value ^ (value >> 27)) * SPLITMIX64_MULTIPLIER_2) & _MASK
    return value ^ (value >> 31)
