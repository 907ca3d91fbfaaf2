"""Selects the server that an attempt goes to among the eligible ones.

Inputs: the eligible servers (`eligibility`), the requirements of the attempt (`SelectionCriteria`), the
node's clock in seconds, a source of random numbers for ties. The server comes from the first of these groups
that is not empty:

1. Healthy servers with a free connection that are in this node's subset.
2. Other healthy servers with a free connection.
3. Other healthy servers that have not just rejected a request.
4. Other healthy servers.
5. Servers that are slow, stalled, suspected or refuse connections. Their expected latency includes the wait
   for a pacing slot.
6. Failing servers, if the request has no other service to get an answer from. After its ejection, a failing
   server counts as healthy for one attempt.

Within a group, the lowest expected latency wins; among near equals the nearest server; among equally near
ones a random one. Effect of pacing together with skipping slow shards (``bench/overload.py``, five seeds):
with all servers of two shards slow or dark, the share of searches that were never answered fell from 0.214 to
0.063 (``docs/design/overload.md``).
"""

import random
from collections.abc import Collection, Iterable
from typing import NamedTuple

from yokesill.gateway.servers.eligibility import eligible
from yokesill.gateway.servers.server_state import ServerState

# Servers whose expected latency is at most this multiple of the lowest are near equals; choosing the nearest
# of them saves traffic between zones. With 1.6 there was less of this traffic, but more new connections and
# no difference in latency.
NEAR_EQUAL_FACTOR = 1.15
# Near equals whose round trips differ by less are equally near, and attempts are spread over them at random.
# Above the jitter of connecting within a zone.
ROUND_TRIP_TOLERANCE_S = 0.0006
# The time between two attempts to a slow server, for each of its slots, as a share of its latency. With a
# share p the server's latency settles at 1 / p of its work time. At 0.55 almost one request per slot is
# queued there, which keeps all slots busy without long waits. With 0.85 more searches were never answered (a
# share of 0.136 instead of 0.063, ``bench/overload.py``).
PACE_SHARE = 0.55


class SelectionCriteria(NamedTuple):
    """The requirements of an attempt on its server.

    Parameters
    ----------
    tried
        The instances that the request was sent to before.
    subset
        The instances that this node connects to as long as they are healthy.
    typical_s
        The typical latency of the route's attempts, in seconds.
    removed_grace_s
        How long a server remains a last resort after its entry vanished, in seconds.
    connection_limit
        How many connections this node may hold to each server.
    last_resort
        Whether a failing server may be chosen if there is no other.
    active_nodes
        The number of nodes that share the pace of slow servers; 0 if slow servers are not paced.
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
        Its expected latency, including the wait until ``slot_at_s`` if that is in the future.
    healthy
        ``False`` if all eligible servers are slow, stalled or failing.
    slot_at_s
        When the next pacing slot at a slow server is free, by the node's clock.
    pace_s
        The time between two of this node's pacing slots at a slow server.
    """

    server: ServerState
    expected_s: float
    healthy: bool
    slot_at_s: float = 0.0
    pace_s: float = 0.0

    def misses(self, deadline_at_s: float, now: float) -> bool:
        """Return whether the answer is expected after the deadline."""
        return now + self.expected_s > deadline_at_s

    def slot_unused(self, now: float) -> bool:
        """Return whether the pacing slot has been free for at least ``pace_s``."""
        return self.slot_at_s + self.pace_s <= now


def choose_server(
    candidates: Iterable[ServerState], criteria: SelectionCriteria, now: float, source: random.Random
) -> Choice | None:
    """Return the server to send an attempt to; ``None`` if no candidate is eligible."""
    servers = eligible(candidates, criteria.tried, criteria.removed_grace_s, now)
    healthy = _best_healthy(servers, criteria, now)
    if healthy:
        typical_s = criteria.typical_s
        return _best([Choice(each, each.expected(typical_s, now), True) for each in healthy], source)
    slow = [each for each in servers if not each.failing] or (servers if criteria.last_resort else [])
    return _best([_slow_choice(each, criteria, now) for each in slow], source) if slow else None


def _best_healthy(servers: list[ServerState], criteria: SelectionCriteria, now: float) -> list[ServerState]:
    """Return the first group of healthy servers that is not empty."""
    healthy = [each for each in servers if each.usable(now)]
    ready = [each for each in healthy if not each.pausing(now)]
    limit = criteria.connection_limit
    free = [each for each in ready if each.in_flight < each.connections.limit(limit)]
    in_subset = [each for each in free if each.record.instance in criteria.subset]
    return in_subset or free or ready or healthy


def _slow_choice(server: ServerState, criteria: SelectionCriteria, now: float) -> Choice:
    """Return the choice of a slow server.

    All nodes see the same slow server, but none sees its queue. Each node sends at its share of the rate that
    the server's latency implies (slots / latency / nodes), so that together they keep it busy without a long
    queue.
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
    """Return the choice with the lowest expected latency; among near equals, the nearest."""
    lowest_s = min(each.expected_s for each in choices)
    near_equals = [each for each in choices if each.expected_s <= lowest_s * NEAR_EQUAL_FACTOR]
    nearest_s = min(each.server.round_trip for each in near_equals)
    nearest = [each for each in near_equals if each.server.round_trip <= nearest_s + ROUND_TRIP_TOLERANCE_S]
    return nearest[0] if len(nearest) == 1 else source.choice(nearest)
