"""Chooses the server of an attempt."""

import random
from collections.abc import Collection, Iterable
from typing import NamedTuple

from yokesill.gateway.servers.server_state import ServerState

NEAR_ENOUGH = 1.15
SAME_DISTANCE_S = 0.0006
# With a share p of its latency between requests, a server's latency settles at 1 / p of its work: its
# queue then holds nearly one request a slot, which keeps all slots busy and makes nobody wait long.
PACE_SHARE = 0.55


class Wanted(NamedTuple):
    """What an attempt asks of its server.

    ``tried`` are instances that were asked before, ``subset`` those that this node connects to first.
    ``typical_s`` is what the route's attempts usually take; a server whose entry vanished is a last
    resort for ``removed_grace_s``. With ``last_resort`` a failing server is better than none.
    ``nodes`` share the pace of slow servers; 0 when those are not paced.
    """

    tried: Collection[str]
    subset: Collection[str]
    typical_s: float
    removed_grace_s: float
    connection_limit: int
    last_resort: bool
    nodes: float


class Choice(NamedTuple):
    """The server to ask; ``sound`` unless all of its service are slow, stalled or failing.

    ``expected_s`` is its expected latency, with the wait until ``room_at_s`` if that is still to come.
    ``pace_s`` is the time between two requests of this node to a slow server.
    """

    server: ServerState
    expected_s: float
    sound: bool
    room_at_s: float = 0.0
    pace_s: float = 0.0

    def too_late(self, hard: float, now: float) -> bool:
        """Whether whoever waits for room has no answer by ``hard`` (seconds of the node's clock)."""
        return now + self.expected_s > hard

    def idle(self, now: float) -> bool:
        """Whether a slow server's room has gone unused for as long as one request takes of it."""
        return self.room_at_s + self.pace_s <= now


def choose_server(
    servers: Iterable[ServerState], wanted: Wanted, now: float, source: random.Random
) -> Choice | None:
    """Return the server with the least expected latency, the nearest among near equals.

    Sound servers with a free connection come first, and those of this node's subset before others;
    then other sound ones, then those that rejected work just now, then those that are slow, stalled
    or paused, each by how slow it is. Failing ones are left alone until their ejection is over.
    Servers whose entry vanished a moment ago serve when there is nobody else.
    """
    candidates = [each for each in servers if each.record.instance not in wanted.tried]
    present = [each for each in candidates if not each.leaving]
    ranked = present or [each for each in candidates if _just_removed(each, wanted, now)]
    sound = _sound(ranked, wanted, now)
    if sound:
        return _best([Choice(each, each.expected(wanted.typical_s, now), True) for each in sound], source)
    slow = [each for each in ranked if not each.failing] or (ranked if wanted.last_resort else [])
    return _best([_slow_choice(each, wanted, now) for each in slow], source) if slow else None


def _slow_choice(server: ServerState, wanted: Wanted, now: float) -> Choice:
    """Return what asking a slow server would mean.

    All nodes see the same slow server and none sees its queue. Each takes its share of the pace that
    the server's own latency shows (slots / latency / nodes), so that together they keep it busy
    without a queue that makes everybody late.
    """
    slowness = max(1.0, server.slowness(now))
    pace_s = 0.0
    if not server.failing:
        pace_s = PACE_SHARE * slowness * server.last_typical_s * wanted.nodes / max(1, server.record.slots)
    room_at_s = max(server.last_sent_at_s + pace_s, server.connections.refused_until_s)
    expected_s = server.expected(slowness * wanted.typical_s, now) + max(0.0, room_at_s - now)
    return Choice(server, expected_s, False, room_at_s, pace_s)


def _sound(servers: list[ServerState], wanted: Wanted, now: float) -> list[ServerState]:
    """Return the best servers that are not known to be slow or failing."""
    sound = [each for each in servers if each.usable(now)]
    ready = [each for each in sound if not each.pausing(now)]
    share = wanted.connection_limit
    free = [each for each in ready if each.in_flight < each.connections.limit(share)]
    own = [each for each in free if each.record.instance in wanted.subset]
    return own or free or ready or sound


def _best(choices: list[Choice], source: random.Random) -> Choice:
    """Return the one with the least expected latency, the nearest among near equals."""
    least = min(each.expected_s for each in choices)
    best = [each for each in choices if each.expected_s <= least * NEAR_ENOUGH]
    nearest = min(each.server.round_trip for each in best)
    near = [each for each in best if each.server.round_trip <= nearest + SAME_DISTANCE_S]
    return near[0] if len(near) == 1 else source.choice(near)


def _just_removed(server: ServerState, wanted: Wanted, now: float) -> bool:
    if server.state == "leaving" or server.removed_at_s is None:
        return False
    return now - server.removed_at_s < wanted.removed_grace_s
