"""Which of the eligible servers an attempt goes to.

Inputs: the eligible servers (`eligibility`), what the attempt needs (`SelectionCriteria`), the node's clock
in seconds, a source of random numbers for ties. In this order, the first group that isn't empty:

1. Sound servers with a free connection that are in this node's subset.
2. Other sound servers with a free connection.
3. Other sound servers that rejected nothing just now.
4. Other sound servers.
5. Servers that are slow, stalled, suspected or refuse connections. Their expected latency includes the wait
   for a pacing slot.
6. Failing servers, if the request has no other service to get an answer from. Once its ejection is over a
   failing server counts as sound for one attempt.

Of a group the least expected latency wins, among near equals the nearest, among equally near ones chance.
What pacing and skipping slow shards buy together, ``bench/overload.py``, five seeds: with all servers of two
shards slow or dark, searches never answered 0.214 -> 0.063 (``docs/design/overload.md``).
"""

import random
from collections.abc import Collection, Iterable
from typing import NamedTuple

from yokesill.gateway.servers.eligibility import eligible
from yokesill.gateway.servers.server_state import ServerState

# Servers whose expected latency is at most this multiple of the least are near equals: the nearest of them
# saves bytes between zones. With 1.6 there were fewer of these and more new connections, no difference in
# latency.
NEAR_EQUAL_FACTOR = 1.15
# Near equals whose round trips differ by less are equally near, and chance spreads attempts over them: above
# the jitter of connecting within a zone.
ROUND_TRIP_TOLERANCE_S = 0.0006
# The share of a slow server's latency between two attempts, for each of its slots. With a share p a
# server's latency settles at 1 / p of its work: at 0.55 nearly one request a slot is queued there, which
# keeps all slots busy and makes nobody wait long. 0.85 let more searches go unanswered (0.136 -> 0.063,
# ``bench/overload.py``).
PACE_SHARE = 0.55


class SelectionCriteria(NamedTuple):
    """What an attempt needs of its server.

    Parameters
    ----------
    tried
        The instances that the request was sent to before.
    subset
        The instances that this node connects to as long as they are sound.
    typical_s
        What the route's attempts usually take, in seconds.
    removed_grace_s
        How long a server is a last resort after its entry vanished, in seconds.
    connection_limit
        How many connections this node may hold to each server.
    last_resort
        Whether a failing server is better than none.
    active_nodes
        How many nodes share the pace of slow servers; 0 when these are not paced.
    """

    tried: Collection[str]
    subset: Collection[str]
    typical_s: float
    removed_grace_s: float
    connection_limit: int
    last_resort: bool
    active_nodes: float


class Choice(NamedTuple):
    """The server that an attempt would go to; times in seconds.

    Parameters
    ----------
    server
        The server.
    expected_s
        Its expected latency, with the wait until ``slot_at_s`` if that is still to come.
    sound
        ``False`` if all eligible servers are slow, stalled or failing.
    slot_at_s
        When a slow server's next pacing slot is free, by the node's clock.
    pace_s
        The time between two of this node's slots at a slow server.
    """

    server: ServerState
    expected_s: float
    healthy: bool
    slot_at_s: float = 0.0
    pace_s: float = 0.0

    def misses(self, deadline_at_s: float, now: float) -> bool:
        """Return whether its answer is expected after the deadline."""
        return now + self.expected_s > deadline_at_s

    def slot_unused(self, now: float) -> bool:
        """Return whether a slow server's slot has been free for a whole turn."""
        return self.slot_at_s + self.pace_s <= now


def choose_server(
    candidates: Iterable[ServerState], criteria: SelectionCriteria, now: float, source: random.Random
) -> Choice | None:
    """Return the server that an attempt goes to; ``None`` if no candidate is eligible."""
    servers = eligible(candidates, criteria.tried, criteria.removed_grace_s, now)
    sound = _best_sound(servers, criteria, now)
    if sound:
        typical_s = criteria.typical_s
        return _best([Choice(each, each.expected(typical_s, now), True) for each in sound], source)
    slow = [each for each in servers if not each.failing] or (servers if criteria.last_resort else [])
    return _best([_slow_choice(each, criteria, now) for each in slow], source) if slow else None


def _best_sound(servers: list[ServerState], criteria: SelectionCriteria, now: float) -> list[ServerState]:
    """Return the first group of sound servers that isn't empty."""
    sound = [each for each in servers if each.usable(now)]
    ready = [each for each in sound if not each.pausing(now)]
    limit = criteria.connection_limit
    free = [each for each in ready if each.in_flight < each.connections.limit(limit)]
    own = [each for each in free if each.record.instance in criteria.subset]
    return own or free or ready or sound


def _slow_choice(server: ServerState, criteria: SelectionCriteria, now: float) -> Choice:
    """Return the choice of a slow server.

    All nodes know the same slow server and none knows its queue. Each takes its share of the pace that the
    server's own latency shows (slots / latency / nodes), so together they keep it busy without a long queue.
    """
    slowness = max(1.0, server.slowness(now))
    pace_s = 0.0
    if not server.failing:
        slots = max(1, server.record.slots)
        pace_s = PACE_SHARE * slowness * server.last_typical_s * criteria.active_nodes / slots
    slot_at_s = max(server.last_sent_at_s + pace_s, server.connections.refused_until_s)
    expected_s = server.expected(slowness * criteria.typical_s, now) + max(0.0, slot_at_s - now)
    return Choice(server, expected_s, False, slot_at_s, pace_s)


def _best(choices: list[Choice], source: random.Random) -> Choice:
    """Return the one with the least expected latency, the nearest among near equals."""
    least_s = min(each.expected_s for each in choices)
    best = [each for each in choices if each.expected_s <= least_s * NEAR_EQUAL_FACTOR]
    nearest_s = min(each.server.round_trip for each in best)
    near = [each for each in best if each.server.round_trip <= nearest_s + ROUND_TRIP_TOLERANCE_S]
    return near[0] if len(near) == 1 else source.choice(near)
