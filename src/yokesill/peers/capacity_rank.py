"""Selects strong nodes, which rank first among a zone's watchers and coordinate wide requests."""

from collections.abc import Iterable, Mapping

# A node coordinates for others only if it takes at most half of their time, which makes up for the extra hop
# of a forwarded request (``docs/design/hand-over.md``).
STRONG_FACTOR = 2.0


def strong_nodes(cores: Mapping[str, float]) -> frozenset[str]:
    """Return the nodes that have at least twice the processor capacity of the median node.

    Parameters
    ----------
    cores
        The processor cores of each node, by its name.

    Returns
    -------
    frozenset of str
        Empty if all nodes are alike.
    """
    if not cores:
        return frozenset()
    median = sorted(cores.values())[len(cores) // 2]
    min_cores = STRONG_FACTOR * median
    return frozenset(node for node, node_cores in cores.items() if node_cores >= min_cores)


def coordinator_nodes(nodes: Iterable[tuple[str, str, float]]) -> frozenset[str]:
    """Return the nodes that coordinate wide requests: each zone's strong nodes, or all of a zone without any.

    Parameters
    ----------
    nodes
        The name, zone and processor cores of each node.

    Returns
    -------
    frozenset of str
        Empty if no zone has strong nodes.
    """
    by_zone: dict[str, dict[str, float]] = {}
    for node, zone, cores in nodes:
        by_zone.setdefault(zone, {})[node] = cores
    strong = {zone: strong_nodes(zone_cores) for zone, zone_cores in by_zone.items()}
    if not any(strong.values()):
        return frozenset()
    return frozenset().union(*(strong[zone] or zone_cores for zone, zone_cores in by_zone.items()))
