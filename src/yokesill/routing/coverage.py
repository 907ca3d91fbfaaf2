"""Computes coverage from the hash ranges that contributed, never from the number of replies."""

from collections.abc import Sequence

from yokesill.resources.hashing import HashRange
from yokesill.routing.messages import Coverage


def coverage_of(asked: Sequence[HashRange], contributed: Sequence[HashRange]) -> Coverage:
    """Return the part of ``asked`` that the ranges in ``contributed`` cover.

    Both come from the same shard map, so two ranges are either equal or disjoint.
    """
    have = set(contributed)
    missing = tuple(each for each in asked if each not in have)
    asked_width = sum(each.width for each in asked)
    return Coverage(asked_width, asked_width - sum(each.width for each in missing), missing)
