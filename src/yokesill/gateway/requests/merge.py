"""Merges shard replies: records of a fixed size, the greatest by bytes first, equal ones all kept."""

import heapq
import struct
from collections.abc import Iterable

RECORD_BYTES = 16
_RECORD = struct.Struct(f"{RECORD_BYTES}s")


def greatest_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest ``count`` records of all ``bodies``, greatest first.

    What is left over at the end of a body, shorter than a record, is ignored.
    """
    whole = b"".join([body[: len(body) - len(body) % RECORD_BYTES] for body in bodies])
    greatest = heapq.nlargest(count, _RECORD.iter_unpack(whole))
    return b"".join([record for (record,) in greatest])
