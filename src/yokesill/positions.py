"""Positions in the registry's history.

The registry numbers its changes. When it comes back from an older copy of itself, it has lost the latest of
them and gives their numbers out again to other changes: from then on it is on a new timeline.
"""

from typing import NamedTuple


class Position(NamedTuple):
    """A revision of the registry on one of its timelines; compared by timeline first.

    A revision alone says nothing of one on another timeline. ``timeline`` is 0 where none is named: by a
    registry that never was restored, or a node of a release that knows of none.
    """

    timeline: int
    revision: int
