"""When a caller whose request was refused, and never ran, may come back.

Most refusals end when something known ends: the ejections of the servers in the way, the moment that a
full server asked for. A caller told an earlier time is refused twice, one told a later time waits for
nothing. Callers that were refused in the same moment are spread a little, so that they don't come back in
one. Where nothing is known, and where what is known comes too late for the caller, a usual time is named.
"""

import random
from collections.abc import Iterable

SHED_RETRY_AFTER_MS = 100
FAILED_RETRY_AFTER_MS = 250
# Callers come back over a quarter of the time named: enough for servers that were silent to answer some
# of them before the next, and less than a caller's patience is longer than the time it is told.
SPREAD_SHARE = 0.25


def retry_after_ms_of(
    available_at_s: Iterable[float], required: int, now: float, until: float, source: random.Random
) -> int:
    """Return after how long a caller may come back, in milliseconds.

    Parameters
    ----------
    available_at_s
        Of each service of the request, when one of its servers may be asked again, in seconds of the
        node's clock; infinite where nobody knows.
    required
        How many of them an answer needs.
    now
        The node's clock, in seconds.
    until
        When the caller will have given up; a later time is of no use to it.
    source
        Spreads callers.
    """
    times = sorted(available_at_s)
    at = times[required - 1] if required <= len(times) else float("inf")
    if not now < at < until:
        return SHED_RETRY_AFTER_MS
    return round((at - now) * (1.0 + SPREAD_SHARE * source.random()) * 1000)
