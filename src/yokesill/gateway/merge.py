"""Merges parts of fixed-size records: the greatest by bytes, in falling order, equal ones all kept."""

from collections.abc import Iterable

RECORD_BYTES = 16


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the greatest ``count`` records of ``parts``; a remainder shorter than a record is none."""
    records = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:count])
