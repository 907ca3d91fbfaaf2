"""Checks the promises about evacuated zones and cold servers."""

from collections import defaultdict
from collections.abc import Iterator

from soak.judging import Case, Checked, judge
from soak.layout import DESK
from soak.record import Record

WINDOW_S = 1.0


def cold_servers_not_overrun(record: Record) -> Checked:
    """A cold server of the desk gets no more in any second than its bound; one case per time of being cold.

    Requests that a harmed link held back may arrive together.
    """
    slots = {each.server: each.slot for each in record.started}
    arrived_s: dict[str, list[float]] = defaultdict(list)
    for each in record.arrivals:
        if each.service == DESK and not each.refused_as_another:
            arrived_s[each.server].append(each.at_s)

    def cases() -> Iterator[Case]:
        for cold in record.turned_cold:
            end_s = cold.at_s + cold.seconds
            if cold.service != DESK or not record.server_healthy(slots[cold.server], cold.at_s, end_s):
                continue
            times_s = [each for each in arrived_s[cold.server] if cold.at_s <= each <= end_s]
            most = most_in_window(times_s)
            excess = f"{cold.server}: {most} in a second, {record.bounds.cold_requests:g} allowed"
            yield cold.at_s, excess if most > record.bounds.cold_requests else ""

    return judge("cold_servers_not_overrun", cases())


def most_in_window(times_s: list[float]) -> int:
    """Return how many of the sorted times lie in one second at most."""
    most = first = 0
    for last, at_s in enumerate(times_s):
        while at_s - times_s[first] >= WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
