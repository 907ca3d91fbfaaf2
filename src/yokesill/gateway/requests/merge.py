"""Merges shard replies into one answer.

A reply's body is a sequence of records of a fixed size. The answer holds the greatest of all, compared as
bytes, greatest first; equal ones are all kept.
"""

import heapq
import struct
from collections.abc import Iterable

# The size of a record in every shard reply; servers and callers rely on it.
RECORD_BYTES = 16
_RECORD = struct.Struct(f"{RECORD_BYTES}s")


def greatest_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest ``count`` records of all ``bodies``, greatest first.

    What is left over at the end of a body, shorter than a record, is ignored.
    """
    whole = b"".join([body[: len(body) - len(body) % RECORD_BYTES] for body in bodies])
    greatest = heapq.nlargest(count, _RECORD.iter_unpack(whole))
    return b"".join([record for (record,) in greatest])
