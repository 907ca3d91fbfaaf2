"""Which server an attempt goes to: the cheaper of two drawn at random.

Eligible are servers that hold the query's snapshot, don't leave and were not tried; those below their
concurrency limit first, ejected ones only if nothing else is left. Cost is the expected latency in seconds
(``ServerState.cost``). Two choices spread load where all nodes would otherwise pick the same best server.
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
    """Return the server to send to, or ``None`` if none can take a request now.

    Ejected servers are used when nothing else is left (the floor of ejection): a shard is never given up on
    suspicion alone.
    """
    holding = [each for each in servers if each.state != LEAVING and snapshot in each.holdings]
    fresh = [each for each in holding if each.address not in tried]
    if not options.load_aware:
        return random_source.choice(fresh) if fresh else None
    ready = [each for each in fresh if each.may_take(now)]
    healthy = [each for each in ready if each.state != EJECTED]
    candidates = healthy or ready or _last_resort(fresh)
    if not candidates:
        return None
    if len(candidates) > 2:
        candidates = random_source.sample(candidates, 2)
    return min(candidates, key=lambda each: each.cost(now, prefer_near))


def _last_resort(servers: list[ServerState]) -> list[ServerState]:
    """Return the idle ones of ``servers`` if all are ejected: a doubtful attempt is better than none."""
    if servers and all(each.state == EJECTED for each in servers):
        return [each for each in servers if each.in_flight == 0]
    return []


def any_left(servers: Sequence[ServerState], snapshot: Snapshot, tried: Iterable[str]) -> bool:
    """Whether some untried server holds the snapshot, busy or not."""
    return any(
        each.state != LEAVING and snapshot in each.holdings and each.address not in tried for each in servers
    )
