"""Rendezvous hashing: all nodes rank the members for a subject in the same order, without messages.

Used wherever nodes divide work: watchers, deciders, coordinators, owners of cold servers, subsets of
servers. Nodes of different versions must agree, so the values never change (``tests/forms``). Uses no
hashing library, because a serving node would have to load it.
"""

import zlib

_MASK = (1 << 64) - 1
# The two multipliers of splitmix64's finalizer.
SPLITMIX64_MULTIPLIER_1, SPLITMIX64_MULTIPLIER_2 = 0xBF58476D1CE4E5B9, 0x94D049BB133111EB


def name_hash(name: str) -> int:
    """Return a name's 64-bit hash, the same on every node."""
    data = name.encode()
    return _mix(zlib.crc32(data) << 32 | zlib.crc32(data[::-1]))


def weight(member_hash: int, subject_hash: int) -> int:
    """Return a member's weight for a subject; the member with the lowest weight ranks first."""
    return _mix(member_hash ^ subject_hash)


def _mix(value: int) -> int:
    """Mix a number's bits with splitmix64's finalizer, so that similar numbers rank differently."""
    value = ((value ^ (value >> 30)) * SPLITMIX64_MULTIPLIER_1) & _MASK
    value = ((value ^ (value >> 27)) * SPLITMIX64_MULTIPLIER_2) & _MASK
    return value ^ (value >> 31)
