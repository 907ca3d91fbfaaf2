"""Keeps the shares of a split exact: every part gets its weight's share of any run of requests."""

from yokesill.gateway.documents import Split


class SplitCursor:
    """Smooth weighted round robin over a split's parts.

    Each choice raises every part by its weight and lowers the chosen one by the sum, so that shares
    hold over short runs too. ``offset`` (0 to 1) starts nodes at different points.
    """

    def __init__(self, split: Split, offset: float) -> None:
        self._split = split
        self._credit = [part.weight * offset for part in split.parts]

    def next(self) -> str:
        """Return the service of the next request."""
        parts = self._split.parts
        if len(parts) == 1:
            return parts[0].service
        for index, part in enumerate(parts):
            self._credit[index] += part.weight
        chosen = max(range(len(parts)), key=self._credit.__getitem__)
        self._credit[chosen] -= sum(part.weight for part in parts)
        return parts[chosen].service
