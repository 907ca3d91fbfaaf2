"""Judges the rule FAULT: programs start, stay, keep within their memory, and something is served."""

import math
import signal
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from soak.judging import Case, Checked, judge
from soak.site_record import NodeEvent, SiteEnd, SiteRecord, TroubleSpan

# Troubles that keep a node from becoming ready: all of the store's, and those of the node itself.
STORE_KINDS = ("platform_compact", "platform_down", "platform_lost", "platform_slow")
NODE_KINDS = ("core_cut", "lossy", "node_cut", "node_freeze", "node_slow")
STOPPING_KINDS = ("node_freeze", "node_slow")
# The rule counts machines whose processes ended by themselves this often in a day.
ENDS_OF_A_FAULT = 3
FAULT_SHARE, LEAST_FAULTY_MACHINES = 0.1, 2
# Nothing is judged of a shorter time of traffic.
MIN_TRAFFIC_S = 3.0
HOLD = "longest_hold_ms"


class Spell(NamedTuple):
    """A process of a node: its start, its readiness and its end, infinite if there was none."""

    node: int
    start_s: float
    ready_s: float
    end_s: float


def spells(record: SiteRecord) -> Iterator[Spell]:
    """Return each process of each node."""
    ends = [NodeEvent(each.end.at_s, each.end.node) for each in record.ends]
    for start in record.starts:
        next_start_s = _first_after(record.starts, start)
        end_s = min(_first_after((*record.asked_ends, *ends), start), next_start_s)
        ready_s = _first_after(record.readies, start)
        yield Spell(start.node, start.at_s, ready_s if ready_s <= end_s else math.inf, end_s)


def _first_after(events: tuple[NodeEvent, ...], start: NodeEvent) -> float:
    later = (each.at_s for each in events if each.node == start.node and each.at_s > start.at_s)
    return min(later, default=math.inf)


def every_node_becomes_ready(record: SiteRecord) -> Checked:
    """A node becomes ready within ``recovery_s`` once nothing is in its way.

    The time counts from the start, or from the end of the last trouble of the node or the store that began
    before the node was due. A process that ends earlier is not judged here.
    """

    def cases() -> Iterator[Case]:
        for spell in spells(record):
            due_s = _due_s(record, spell)
            if min(spell.ready_s, due_s) <= min(spell.end_s, record.end_s):
                late = spell.ready_s > due_s
                waited_s = due_s - spell.start_s
                yield spell.start_s, f"node {spell.node} not ready {waited_s:.1f} s on" if late else ""

    return judge("every_node_becomes_ready", cases())


def _due_s(record: SiteRecord, spell: Spell) -> float:
    due_s = spell.start_s + record.bounds.recovery_s
    for trouble in sorted(record.troubles, key=lambda each: each.begin_s):
        if _in_the_way(trouble, spell.node) and trouble.begin_s < due_s and trouble.end_s > spell.start_s:
            due_s = max(due_s, trouble.end_s + record.bounds.recovery_s)
    return due_s


def _in_the_way(trouble: TroubleSpan, node: int) -> bool:
    if trouble.kind in NODE_KINDS:
        return node in trouble.nodes
    return trouble.kind in STORE_KINDS and (not trouble.nodes or node in trouble.nodes)


def no_unasked_end(record: SiteRecord) -> Checked:
    """No process ends by itself; see ``ended_by_early_signal`` for those that are counted apart."""

    def cases() -> Iterator[Case]:
        yield from ((each.at_s, "") for each in record.starts)
        for each in record.ends:
            if not ended_by_early_signal(each):
                yield each.end.at_s, describe_end(each)

    return judge("no_unasked_end", cases())


def ended_by_early_signal(each: SiteEnd) -> bool:
    """Whether a process was ended by a signal that came before the process held signals."""
    if each.end.status >= 0:
        return False
    return signal.Signals(-each.end.status).name in each.early_signals


def describe_end(each: SiteEnd) -> str:
    """Return all that is known of the end of a process."""
    end = each.end
    how = f"signal {-end.status}" if end.status < 0 else f"status {end.status}"
    used = f"{each.memory_mb:g} MB, {each.descriptors} descriptors"
    return f"node {end.node} ended by itself: {end.reason}, {how}, {used}; last lines: {end.log}"


def memory_within_limit(record: SiteRecord) -> Checked:
    """Each node stays within its machine's memory, the kernel's for its sockets included."""

    def cases() -> Iterator[Case]:
        for node, (at_s, peak_mb) in sorted(peak_memory(record).items()):
            limit_mb = record.limits[node].memory_mb
            over = peak_mb > limit_mb
            yield at_s, f"node {node} used {peak_mb:.0f} MB of {limit_mb:.0f}" if over else ""
        for each in record.ends:
            if each.end.reason == "memory":
                yield each.end.at_s, f"node {each.end.node} was killed over its memory limit"

    return judge("memory_within_limit", cases())


def peak_memory(record: SiteRecord) -> dict[int, tuple[float, float]]:
    """Return the time and the size of each node's greatest use of memory, in MB."""
    peaks: dict[int, tuple[float, float]] = {}
    for each in record.usages:
        used_mb = each.memory_mb + each.kernel_mb
        if used_mb > peaks.get(each.node, (0.0, 0.0))[1]:
            peaks[each.node] = (each.at_s, used_mb)
    return peaks


def requests_served(record: SiteRecord) -> Checked:
    """Something is served in the day before the final fault, and again once the time to recover is over."""

    def cases() -> Iterator[Case]:
        again_s = record.recovery_s + record.bounds.recovery_s
        for name, begin_s, end_s in (
            ("day", record.begin_s, min(record.recovery_s, record.end_s)),
            ("recovery", again_s, record.end_s),
        ):
            served = [each.served for each in record.answers if begin_s <= each.asked_s <= end_s]
            if end_s - begin_s >= MIN_TRAFFIC_S:
                yield (
                    begin_s,
                    "" if any(served) else f"none of {len(served)} requests of the {name} was served",
                )

    return judge("requests_served", cases())


def longest_hold_ms(record: SiteRecord) -> float:
    """Return the longest time for which the event loop of a node was held up that no trouble stopped."""
    stopped = {node for each in record.troubles if each.kind in STOPPING_KINDS for node in each.nodes}
    lines = (each for each in record.lines if each.node not in stopped)
    return max((float(each.fields.get(HOLD, 0.0)) for each in lines), default=0.0)


def rule_fault(record: SiteRecord) -> list[str]:
    """Return why the day would count nothing, as the rule words it; a trouble near an end is not weighed.

    The rule knows no exception for ends by early signals.
    """
    found = []
    by_node = Counter(each.end.node for each in record.ends)
    faulty = [node for node, count in sorted(by_node.items()) if count >= ENDS_OF_A_FAULT]
    if len(faulty) >= max(LEAST_FAULTY_MACHINES, FAULT_SHARE * len(record.limits)):
        found.append(f"processes of nodes {faulty} ended by themselves {ENDS_OF_A_FAULT} times or more")
    for checked in (every_node_becomes_ready(record), requests_served(record)):
        found += [each.detail for each in checked.violations]
    return found


CHECKERS = (every_node_becomes_ready, no_unasked_end, memory_within_limit, requests_served)


def check_faults(record: SiteRecord) -> dict[str, Checked]:
    """Check every promise of the rule against a day's record."""
    return {each.__name__: each(record) for each in CHECKERS}
