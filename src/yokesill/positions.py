"""Positions in the registry's history.

The registry numbers its changes. When it is restored from an older copy of itself, it has lost the latest
changes and assigns their numbers to other changes: from then on it is on a new timeline.
"""

from typing import NamedTuple


class Position(NamedTuple):
    """A revision of the registry on one of its timelines; compared by timeline first.

    Revisions of different timelines can't be compared. ``timeline`` is 0 if the sender names none: a registry
    that was never restored, or a node of a release without timelines.
    """

    timeline: int
    revision: int
