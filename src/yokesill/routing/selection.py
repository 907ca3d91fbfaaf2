"""Chooses the server of an attempt: the cheaper of two random candidates.

Candidates hold the query's snapshot, are not leaving, were not tried and are below their concurrency limit.
Ejected servers are used only if there is no other. The cost is the expected latency in seconds
(``ServerState.cost``). Choosing from two random candidates spreads load where all nodes would otherwise pick
the same best server.
"""

import random
from collections.abc import Iterable, Sequence

from yokesill.routing.messages import Snapshot
from yokesill.routing.options import RoutingOptions
from yokesill.routing.servers import EJECTED, LEAVING, ServerState


def choose_server(
    servers: Sequence[ServerState],
    snapshot: Snapshot,
    tried: Iterable[str],
    options: RoutingOptions,
    random_source: random.Random,
    now: float,
    prefer_near: bool = True,
) -> ServerState | None:
    """Return the server to send to, or ``None`` if no server can accept a request now.

    Ejected servers are used when no other is left, so a shard is never given up only because its servers are
    ejected.
    """
    holding = [each for each in servers if each.state != LEAVING and snapshot in each.holdings]
    fresh = [each for each in holding if each.address not in tried]
    if not options.load_aware:
        return random_source.choice(fresh) if fresh else None
    ready = [each for each in fresh if each.can_accept(now)]
    healthy = [each for each in ready if each.state != EJECTED]
    candidates = healthy or ready or _last_resort(fresh)
    if not candidates:
        return None
    if len(candidates) > 2:
        candidates = random_source.sample(candidates, 2)
    return min(candidates, key=lambda each: each.cost(now, prefer_near))


def _last_resort(servers: list[ServerState]) -> list[ServerState]:
    """Return the idle servers if all are ejected: an attempt that may fail is better than none."""
    if servers and all(each.state == EJECTED for each in servers):
        return [each for each in servers if each.in_flight == 0]
    return []


def has_candidate(servers: Sequence[ServerState], snapshot: Snapshot, tried: Iterable[str]) -> bool:
    """Whether some untried server that is not leaving holds the snapshot, busy or not."""
    return any(
        each.state != LEAVING and snapshot in each.holdings and each.address not in tried for each in servers
    )
