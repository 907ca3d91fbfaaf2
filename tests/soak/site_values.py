"""Builds a small deployment for tests of the site's plans, troubles and judging."""

from soak.site import Day, Site, SiteBounds, Trouble

LEAD_S, SECONDS = 12.0, 34.0
BOUNDS = SiteBounds(**dict.fromkeys(SiteBounds._fields, 1.0))


def site(*troubles: Trouble, days: tuple[Day, ...] = ()) -> Site:
    """Return a deployment of no machines, with troubles and days."""
    empty = {name: () for name in ("contracts", "machines", "services", "requests", "traffic")}
    numbers = {name: 1.0 for name in Site._fields if name not in empty}
    fields = numbers | empty | {"name": "s", "zones": {"z": "r"}, "troubles": troubles, "days": days}
    return Site(**(fields | {"bounds": BOUNDS, "lead_s": LEAD_S, "day_s": SECONDS}))
