"""Synthetic records of the stand-in servers, derived from their names and so equal in all processes."""

import bisect
from functools import cache
from typing import Any

from yokesill.resources.hashing import hash_key


@cache
def record_table(service: str, count: int) -> tuple[tuple[int, ...], tuple[str, ...]]:
    """Return the hashes (sorted) and the ids of the ``count`` records of ``service``."""
    pairs = sorted((hash_key(f"{service}/{index}"), f"{service}/{index}") for index in range(count))
    return tuple(each[0] for each in pairs), tuple(each[1] for each in pairs)


def entries_in(service: str, count: int, start: int, end: int, version: int) -> list[dict[str, Any]]:
    """Return the entries of a hash range in one index version."""
    hashes, names = record_table(service, count)
    first, last = bisect.bisect_left(hashes, start), bisect.bisect_left(hashes, end)
    return [{"id": name, "version": version} for name in names[first:last]]
