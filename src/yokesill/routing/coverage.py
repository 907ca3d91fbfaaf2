"""Coverage from the hash ranges that contributed, never from counts of replies."""

from collections.abc import Sequence

from yokesill.resources.hashing import HashRange
from yokesill.routing.messages import Coverage


def coverage_of(asked: Sequence[HashRange], contributed: Sequence[HashRange]) -> Coverage:
    """Return what part of ``asked`` the ranges in ``contributed`` make up.

    Both come from one shard map, so that ranges are either equal or disjoint.
    """
    have = set(contributed)
    missing = tuple(each for each in asked if each not in have)
    asked_width = sum(each.width for each in asked)
    return Coverage(asked_width, asked_width - sum(each.width for each in missing), missing)
