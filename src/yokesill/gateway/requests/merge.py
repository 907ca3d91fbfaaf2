"""Merges shard replies into one answer.

The body of a reply is a sequence of fixed-size records. The answer holds the greatest records of all bodies,
compared as bytes, in descending order; equal records are all kept.
"""

import heapq
import struct
from collections.abc import Iterable

# Record size in every shard reply; servers and callers depend on it.
RECORD_BYTES = 16
_RECORD = struct.Struct(f"{RECORD_BYTES}s")


def greatest_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest ``count`` records of all ``bodies``, in descending order.

    A trailing incomplete record of a body is ignored.
    """
    whole = b"".join([body[: len(body) - len(body) % RECORD_BYTES] for body in bodies])
    greatest = heapq.nlargest(count, _RECORD.iter_unpack(whole))
    return b"".join([record for (record,) in greatest])
