"""Merges parts of fixed-size records: the greatest by bytes, in falling order, equal ones all kept."""

import heapq
import struct
from collections.abc import Iterable

RECORD_BYTES = 16
_RECORD = struct.Struct(f"{RECORD_BYTES}s")


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the greatest ``count`` records of ``parts``; a remainder shorter than a record is none."""
    whole = b"".join([part[: len(part) - len(part) % RECORD_BYTES] for part in parts])
    greatest = heapq.nlargest(count, _RECORD.iter_unpack(whole))
    return b"".join([record for (record,) in greatest])
