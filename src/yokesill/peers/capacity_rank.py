"""Which nodes are strong: they rank first among a zone's watchers and coordinate wide requests."""

from collections.abc import Iterable, Mapping

# A node coordinates for others only if it needs at most half of their time: a forwarded request costs a hop,
# which must be won back (``docs/design/hand-over.md``).
STRONG_FACTOR = 2.0


def strong_nodes(cores: Mapping[str, float]) -> frozenset[str]:
    """Return the nodes that have at least twice the processor of the middle one.

    Parameters
    ----------
    cores
        How much of a processor each node has, by its name.

    Returns
    -------
    frozenset of str
        Empty where all are alike.
    """
    if not cores:
        return frozenset()
    middle = sorted(cores.values())[len(cores) // 2]
    least = STRONG_FACTOR * middle
    return frozenset(node for node, each in cores.items() if each >= least)


def coordinator_nodes(nodes: Iterable[tuple[str, str, float]]) -> frozenset[str]:
    """Return which nodes of all zones coordinate wide requests: strong ones, or all of a zone without any.

    Parameters
    ----------
    nodes
        Of each node its name, its zone and its processor.

    Returns
    -------
    frozenset of str
        Empty where no zone has strong nodes.
    """
    by_zone: dict[str, dict[str, float]] = {}
    for node, zone, cores in nodes:
        by_zone.setdefault(zone, {})[node] = cores
    strong = {zone: strong_nodes(each) for zone, each in by_zone.items()}
    if not any(strong.values()):
        return frozenset()
    return frozenset().union(*(strong[zone] or each for zone, each in by_zone.items()))
