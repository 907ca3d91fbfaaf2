"""Merges shard replies into one answer.

The body of a reply is a sequence of fixed-size records. The answer holds the greatest records of all bodies,
compared as bytes, in descending order; equal records are all kept.
"""

import heapq
import struct
from collections.abc import Iterable

from yokesill.gateway.messages import ServerReply

# Record size in every shard reply; servers and callers depend on it.
RECORD_BYTES = 16
# A larger part is reduced when it arrives, since it may wait for others for as long as the request.
LARGE_PART_BYTES = 64 * 1024
_RECORD = struct.Struct(f"{RECORD_BYTES}s")


def reduced_part(reply: ServerReply, count: int) -> ServerReply:
    """Return a shard reply without what can't be in an answer of ``count`` records, if it is large."""
    if len(reply.body) <= LARGE_PART_BYTES:
        return reply
    return reply._replace(headers=(), body=greatest_records((reply.body,), count))


def greatest_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest ``count`` records of all ``bodies``, in descending order.

    A trailing incomplete record of a body is ignored.
    """
    whole = b"".join([body[: len(body) - len(body) % RECORD_BYTES] for body in bodies])
    greatest = heapq.nlargest(count, _RECORD.iter_unpack(whole))
    return b"".join([record for (record,) in greatest])
