"""Checks the promises about roll-outs: which requests may reach an ordered version, and how an order ends."""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from soak.judging import Case, Checked, judge
from soak.layout import FIRST_VERSION
from soak.record import Record

COMPLETED, ROLLED_BACK = "completed", "rolled_back"
BAD_ANSWERS_BEFORE_ROLLBACK = 50


class Order(NamedTuple):
    """An order, its states in the order in which they were written, and whether its version is bad."""

    service: str
    version: str
    at_s: float
    deadline_s: float
    states: tuple[tuple[float, str], ...]
    bad: bool

    def final_s(self, state: str) -> float:
        """Return the time at which a state was recorded; infinity if it never was."""
        return next((at_s for at_s, each in self.states if each == state), float("inf"))


def orders(record: Record) -> list[Order]:
    """Return all orders, oldest first."""
    found: list[Order] = []
    bad = {each.version for each in record.started if each.bad}
    for each in record.stored:
        if each.kind != "rollouts":
            continue
        if each.part == "spec":
            version, duration_s = each.value["targetVersion"], each.value["durationS"]
            deadline_s = each.at_s + duration_s
            found.append(Order(each.name, version, each.at_s, deadline_s, (), version in bad))
        elif found and isinstance(each.value, dict):
            states = (*found[-1].states, (each.at_s, str(each.value.get("state"))))
            found[-1] = found[-1]._replace(states=states)
    return found


def only_ordered_versions(record: Record) -> Checked:
    """A version without an order gets no requests, and one that was rolled back gets no new ones.

    An order that the store lost is created again for the same version, so each request is checked against the
    latest order created before it.
    """
    ordered: dict[str, list[Order]] = defaultdict(list)
    for order in orders(record):
        ordered[order.version].append(order)
    rollback_s = record.bounds.rollback_s

    def cases() -> Iterator[Case]:
        for each in record.arrivals:
            if each.version == FIRST_VERSION or each.refused_as_another:
                continue
            created = [order for order in ordered[each.version] if order.at_s <= each.at_s]
            if not created:
                yield each.at_s, f"{each.id} at version {each.version}, which was never ordered"
            elif each.at_s > created[-1].final_s(ROLLED_BACK) + rollback_s:
                yield each.at_s, f"{each.id} at version {each.version}, which was rolled back"
            else:
                yield each.at_s, ""

    return judge("only_ordered_versions", cases())


def bad_version_exposure(record: Record) -> Checked:
    """A bad version gets a limited share of the requests, and none soon after its 50th bad answer."""
    bounds = record.bounds

    def cases() -> Iterator[Case]:
        for order in orders(record):
            if not order.bad:
                continue
            to_service = [each for each in record.arrivals if each.service == order.service]
            within = [each for each in to_service if order.at_s <= each.at_s <= order.deadline_s]
            reached = [each for each in within if each.version == order.version]
            allowed = bounds.canary_share * len(within) + bounds.canary_slack
            excess = f"{order.version}: {len(reached)} of {len(within)} requests, {allowed:.0f} allowed"
            yield order.at_s, excess if len(reached) > allowed else ""
            failed = [
                record.done[arrival.signature] for arrival in reached if arrival.signature in record.done
            ]
            failed_s = sorted(at_s for at_s, status in failed if status != 200)
            if len(failed_s) >= BAD_ANSWERS_BEFORE_ROLLBACK:
                end_s = failed_s[BAD_ANSWERS_BEFORE_ROLLBACK - 1] + bounds.rollback_s
                late = [each for each in to_service if each.version == order.version and each.at_s > end_s]
                yield end_s, f"{order.version}: {len(late)} requests after the rollback time" if late else ""

    return judge("bad_version_exposure", cases())


def one_final_state(record: Record) -> Checked:
    """An order reaches exactly one final state by its deadline, and a bad version is never completed."""
    last_s = max((ask.asked_s for ask in record.asks), default=0.0)

    def cases() -> Iterator[Case]:
        for order in orders(record):
            finals = [state for _, state in order.states if state in (COMPLETED, ROLLED_BACK)]
            if len(set(finals)) > 1:
                yield order.at_s, f"{order.version}: {finals}"
            elif finals and order.states[-1][1] != finals[0]:
                yield order.at_s, f"{order.version}: {finals[0]}, then {order.states[-1][1]}"
            elif order.bad and COMPLETED in finals:
                yield order.at_s, f"{order.version}: bad version was completed"
            elif finals:
                yield order.at_s, ""
            elif last_s > order.deadline_s and record.core_stable(order.at_s, order.deadline_s):
                yield order.deadline_s, f"{order.version}: no final state by its deadline"

    return judge("one_final_state", cases())


def completed_cuts_nothing(record: Record) -> Checked:
    """When old servers stop right after completion, no request of a connected node is in flight there."""
    done_s = {signature: at_s for signature, (at_s, _) in record.done.items()}
    nodes = {ask.id: ask.node for ask in record.asks}
    under_way = defaultdict(list)
    for each in record.arrivals:
        if each.ran and each.server in record.ended:
            under_way[each.server].append(each)

    def cases() -> Iterator[Case]:
        for order in orders(record):
            completed_s = order.final_s(COMPLETED)
            for server, ended_s in record.ended.items():
                if not completed_s <= ended_s <= completed_s + 1.0:
                    continue
                cut = [
                    each.id
                    for each in under_way[server]
                    if each.version != order.version
                    and done_s.get(each.signature, float("inf")) > ended_s
                    and each.id in nodes
                    and record.node_in_touch(nodes[each.id], order.at_s, ended_s)
                    and record.core_stable(completed_s, ended_s)
                ]
                yield ended_s, f"{server} stopped with requests in flight: {cut}" if cut else ""

    return judge("completed_cuts_nothing", cases())
