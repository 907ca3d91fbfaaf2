"""Checks the promises about nodes that stop, restart, and follow the configuration."""

from collections import defaultdict
from collections.abc import Iterator

from soak.judging import PROMISES_NOT_RUN, Case, Checked, judge
from soak.layout import ROUTES
from soak.record import Arrival, Ask, Record

# The rules require this share of requests to be served again after a recovery, measured over this window.
SERVED_AGAIN_SHARE, SERVED_AGAIN_WINDOW_S = 0.25, 3.0
# Slow callers have taken all connections by then; a node that is asked less often than this is not judged.
CROWD_SETTLED_S, MIN_ASKS_BESIDE = 1.0, 5
# Callers wait at most this long for an answer, so a request sent earlier is not affected by a stop.
MAX_ASK_S = 4.0
# A failure answered by the node at least this long before the timeout was not caused by the timeout.
TIMEOUT_MARGIN_S = 0.1
SUCCESS = 200


def planned_stop_cuts_nothing(record: Record) -> Checked:
    """A node that is asked to stop answers every request that it has read.

    A failure that the node itself answers counts as a violation too, unless the node was restarted before the
    request was sent: the process that answered was then not the one asked to stop.
    """
    by_id = record.arrivals_by_id()
    slots = {each.server: each.slot for each in record.started}
    stops = [span for span in record.spans if span.kind == "node_stop"]

    def cases() -> Iterator[Case]:
        for stop in stops:
            end_s = stop.begin_s + record.bounds.grace_s + 1.0
            for ask in record.asks:
                relevant = (
                    ask.node == stop.targets[0] and ask.ended_s >= stop.begin_s and ask.asked_s <= end_s
                )
                if not relevant or ask.ending == "refused" or ask.asked_s < stop.begin_s - MAX_ASK_S:
                    continue
                if not record.node_in_touch(ask.node, ask.asked_s, ask.ended_s, excluding=stop):
                    continue
                starts = record.node_starts.get(ask.node, ())
                restarted = any(stop.begin_s < at_s <= ask.asked_s for at_s in starts)
                if not restarted and _failed_by_node(record, ask, by_id.get(ask.id, []), slots):
                    yield ask.ended_s, f"{ask.id} answered {ask.status} during the stop of node {ask.node}"
                    continue
                read = ask.ended_s - ask.asked_s > record.bounds.loss_slack_s or ask.id in by_id
                cut = ask.ending == "closed" and read
                yield ask.ended_s, f"{ask.id} cut off by the stop of node {ask.node}" if cut else ""

    return judge("planned_stop_cuts_nothing", cases())


def _failed_by_node(record: Record, ask: Ask, arrivals: list[Arrival], slots: dict[str, int]) -> bool:
    """Whether a node itself answered a failure before the timeout while a healthy server still worked.

    False if servers have just been crashed by a request: other requests at these servers were cut off as
    well, and the answers of the other shards cannot make up for that. False also if so many shards answered a
    failure that the minimum coverage was out of reach.
    """
    terms = ROUTES.get(ask.route)
    if terms is None or ask.signature or ask.succeeded or ask.status in (0, *PROMISES_NOT_RUN):
        return False
    late = ask.ended_s - ask.asked_s > terms.timeout_s - TIMEOUT_MARGIN_S
    if late or record.any_server_crashed(ask.asked_s, ask.ended_s):
        return False
    if _coverage_out_of_reach(record, ask, arrivals):
        return False
    return any(
        each.ran
        and record.done.get(each.signature, (0.0, 0))[0] > ask.ended_s
        and record.server_healthy(slots[each.server], each.at_s, ask.ended_s)
        for each in arrivals
    )


def _coverage_out_of_reach(record: Record, ask: Ask, arrivals: list[Arrival]) -> bool:
    """Whether too many shards of a request had answered a failure and had no other server working on it."""
    asked: set[str] = set()
    failed: set[str] = set()
    running: set[str] = set()
    for each in arrivals:
        asked.add(each.service)
        done_s, status = record.done.get(each.signature, (float("inf"), 0))
        if each.ran and done_s > ask.ended_s:
            running.add(each.service)
        elif each.ran and status != SUCCESS:
            failed.add(each.service)
    return len(asked) - len(failed - running) < ROUTES[ask.route].min_coverage * len(asked)


def no_part_failed(record: Record) -> Checked:
    """Under any fault, no part of a node fails through a bug; a supervisor would hide it from callers."""

    def cases() -> Iterator[Case]:
        for ask in record.asks[:1]:
            yield ask.asked_s, ""
        for each in record.part_failures:
            yield each.at_s, f"{each.node}: {each.part} failed: {each.problem}"

    return judge("no_part_failed", cases())


def no_unasked_end(record: Record) -> Checked:
    """Under any fault, and within the limits of its settings, no node's process ends by itself."""

    def cases() -> Iterator[Case]:
        for times in record.node_starts.values():
            yield from ((at_s, "") for at_s in times)
        for each in record.unasked_ends:
            how = f"node {each.node} ended by itself: {each.reason}, status {each.status}"
            yield each.at_s, f"{how}; last lines: {each.log}"

    return judge("no_unasked_end", cases())


def served_after_herd(record: Record) -> Checked:
    """After all nodes were killed and restarted, requests are served within the recovery bound."""

    def cases() -> Iterator[Case]:
        for span in record.spans:
            if span.kind != "herd_kill" or span.end_s == float("inf"):
                continue
            begin_s = max(span.end_s, span.begin_s + 1.0) + record.bounds.recovery_s
            asks = [a for a in record.asks if begin_s <= a.asked_s <= begin_s + SERVED_AGAIN_WINDOW_S]
            asks = [ask for ask in asks if ask.route in ROUTES]
            if not asks or max(ask.asked_s for ask in record.asks) < begin_s + SERVED_AGAIN_WINDOW_S:
                continue
            share = sum(ask.succeeded for ask in asks) / len(asks)
            yield (
                begin_s,
                f"only {share:.2f} of the requests were served" if share < SERVED_AGAIN_SHARE else "",
            )

    return judge("served_after_herd", cases())


def served_beside_slow_callers(record: Record) -> Checked:
    """While slow callers hold more connections than a node takes, it serves an ordinary request.

    Neither a share nor times are judged; a node that is out of touch, or hardly asked, is not judged either.
    """

    def cases() -> Iterator[Case]:
        for span in record.spans:
            if span.kind != "slow_callers" or span.end_s == float("inf"):
                continue
            node = span.targets[0]
            asks = [ask for ask in record.asks if ask.node == node and ask.route in ROUTES]
            asks = [ask for ask in asks if span.begin_s + CROWD_SETTLED_S <= ask.asked_s <= span.end_s]
            if len(asks) < MIN_ASKS_BESIDE or not record.node_in_touch(node, span.begin_s, span.end_s):
                continue
            served = any(ask.succeeded for ask in asks)
            detail = f"none of {len(asks)} requests at node {node} was served beside slow callers"
            yield span.end_s, "" if served else detail

    return judge("served_beside_slow_callers", cases())


def configuration_in_force(record: Record) -> Checked:
    """An accepted configuration is in force at connected nodes within the bound."""
    accepted = record.accepted_at_s()
    never = float("inf")

    def cases() -> Iterator[Case]:
        for ask in _probes(record):
            number = int(ask.route.removeprefix("probe-"))
            begin_s = ask.asked_s - record.bounds.config_apply_s
            in_touch = record.node_in_touch(ask.node, begin_s, ask.ended_s)
            if not in_touch or not record.core_stable(begin_s, ask.ended_s):
                continue
            due = accepted.get(number, never) < begin_s and accepted.get(number + 2, never) > ask.ended_s
            dropped = accepted.get(number + 2, never) < begin_s
            if due and ask.status == 404:
                yield ask.asked_s, f"{ask.id}: node {ask.node} lacks version {number}"
            elif dropped and ask.succeeded:
                yield ask.asked_s, f"{ask.id}: node {ask.node} is still at version {number} or {number + 1}"
            elif due or dropped:
                yield ask.asked_s, ""

    return judge("configuration_in_force", cases())


def never_older(record: Record) -> Checked:
    """A node never goes back to an older version than it has shown in the same incarnation."""
    accepted = record.accepted_at_s()
    slack_s = record.bounds.downgrade_slack_s

    def cases() -> Iterator[Case]:
        shown: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(list)
        for ask in sorted(_probes(record), key=lambda each: each.ended_s):
            number = int(ask.route.removeprefix("probe-"))
            starts = record.node_starts.get(ask.node, ())
            incarnation = (ask.node, sum(1 for at_s in starts if at_s <= ask.asked_s))
            if incarnation[1] != sum(1 for at_s in starts if at_s <= ask.ended_s):
                continue
            newest = max((n for at_s, n in shown[incarnation] if at_s + slack_s < ask.asked_s), default=0)
            if ask.succeeded:
                regressed = number < newest - 1
                yield (
                    ask.asked_s,
                    f"{ask.id}: node {ask.node} showed {newest}, now {number}" if regressed else "",
                )
                shown[incarnation].append((ask.ended_s, number))
            elif ask.status == 404 and number <= newest:
                regressed = number == newest and accepted.get(number + 2, float("inf")) > ask.ended_s
                yield (
                    ask.asked_s,
                    f"{ask.id}: node {ask.node} showed {newest}, now lacks it" if regressed else "",
                )

    return judge("never_older", cases())


def _probes(record: Record) -> list[Ask]:
    return [ask for ask in record.asks if ask.route.startswith("probe-") and ask.ending == "answered"]
