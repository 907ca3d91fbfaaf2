"""Checks the promises about which requests run, where, and how often."""

from collections import defaultdict
from collections.abc import Iterator

from soak.judging import PROMISES_NOT_RUN, Case, Checked, gathered_shards, judge
from soak.layout import DESK, ROUTES
from soak.record import Arrival, Record

# Given by the rule: the crashed servers before the bound applies, and the arrivals allowed after it.
DEADLY_SERVERS = 3


def not_run_never_ran(record: Record) -> Checked:
    """A non-idempotent request that is answered as not run has not run and never will."""
    by_id = record.arrivals_by_id()

    def cases() -> Iterator[Case]:
        for ask in record.asks:
            if ask.route == "once" and ask.status in PROMISES_NOT_RUN:
                ran = [each.server for each in by_id.get(ask.id, []) if each.ran]
                yield ask.ended_s, f"{ask.id}: answered {ask.status}, but ran at {ran}" if ran else ""

    return judge("not_run_never_ran", cases())


def at_most_once(record: Record) -> Checked:
    """A non-idempotent request runs at most once."""
    by_id = record.arrivals_by_id()

    def cases() -> Iterator[Case]:
        for ask in record.asks:
            if ask.route == "once":
                ran = [each.server for each in by_id.get(ask.id, []) if each.ran]
                yield ask.ended_s, f"{ask.id}: ran at {ran}" if len(ran) > 1 else ""

    return judge("at_most_once", cases())


def right_service(record: Record) -> Checked:
    """A request runs only at services that some configuration names for its route."""
    shards = {name for set_name in "ab" for name in record.layout.shard_set(set_name)}

    def cases() -> Iterator[Case]:
        for each in record.arrivals:
            if each.ran:
                expected = shards if each.path.startswith(ROUTES["wide"].path) else {DESK}
                wrong = each.service not in expected
                yield each.at_s, f"{each.id}: {each.path} ran at service {each.service}" if wrong else ""

    return judge("right_service", cases())


def nothing_new_to_leaving(record: Record) -> Checked:
    """A draining server gets no new requests after the drain bound; one case per draining server."""
    asks = {ask.id: ask for ask in record.asks}
    slots = {each.server: each.slot for each in record.started}
    arrived: dict[str, list[Arrival]] = defaultdict(list)
    for each in record.arrivals:
        if each.server in record.leaving and not each.refused_as_another and each.id in asks:
            arrived[each.server].append(each)

    def excused(each: Arrival, left_s: float) -> bool:
        # The shard requests of a forwarded wide request may come from any node.
        ask = asks[each.id]
        nodes = range(record.layout.nodes) if ask.route == "wide" else (ask.node,)
        sound = all(record.node_in_touch(node, left_s, each.at_s) for node in nodes)
        sound = sound and record.server_healthy(slots[each.server], left_s, each.at_s)
        return not (sound and record.core_stable(left_s, each.at_s))

    def cases() -> Iterator[Case]:
        for server, left_s in record.leaving.items():
            due_s = left_s + record.bounds.drain_s
            if not record.core_stable(left_s, due_s):
                continue
            late = [x for x in arrived[server] if x.at_s > due_s and not excused(x, left_s)]
            detail = [f"{x.id} {x.at_s - due_s:.2f} s after the bound" for x in late]
            yield due_s, f"{server}: {'; '.join(detail)}" if late else ""

    return judge("nothing_new_to_leaving", cases())


def extra_within_budget(record: Record) -> Checked:
    """Arrivals of a request after its first stay within the retry budget in every window."""
    bounds = record.bounds
    window_s = bounds.budget_window_s
    due = _due_by_service(record)
    arrived: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    seen: set[tuple[str, str]] = set()
    for each in record.arrivals:
        arrived[each.service].append((each.at_s, (each.service, each.id) in seen))
        seen.add((each.service, each.id))

    def cases() -> Iterator[Case]:
        for service, times in arrived.items():
            extras = [at_s for at_s, extra in times if extra]
            for at_s in extras:
                within = sum(1 for each in extras if at_s - window_s < each <= at_s)
                requests = max(
                    sum(1 for each in due[service] if at_s - lag_s - window_s < each <= at_s - lag_s)
                    for lag_s in (0.0, window_s / 2, window_s)
                )
                allowed = bounds.budget_ratio * requests + bounds.budget_slack
                over = f"{service}: {within} extra arrivals in {window_s:.0f} s, {allowed:.1f} allowed"
                yield at_s, over if within > allowed else ""

    return judge("extra_within_budget", cases())


def _due_by_service(record: Record) -> dict[str, list[float]]:
    due: dict[str, list[float]] = defaultdict(list)
    versions = [(each.at_s, gathered_shards(each.value)) for each in record.configurations()]
    for ask in record.asks:
        if ask.route == "wide":
            for service in next((s for at_s, s in reversed(versions) if at_s <= ask.asked_s), []):
                due[service].append(ask.asked_s)
        else:
            due[DESK].append(ask.asked_s)
    return due


def deadly_kept_from_servers(record: Record) -> Checked:
    """A request that has crashed three servers arrives at servers at most three more times after the bound.

    There is one case per such request. Arrivals from disconnected nodes do not count, nor do arrivals after
    the store was disturbed. A wide request may have been forwarded to any node.
    """
    asks = {ask.id: ask for ask in record.asks}
    crashed: dict[str, dict[str, float]] = defaultdict(dict)
    for each in record.crashes:
        crashed[each.path].setdefault(each.server, each.at_s)

    def counts(each: Arrival, since_s: float) -> bool:
        ask = asks.get(each.id)
        if ask is None or not record.core_stable(since_s, each.at_s):
            return False
        nodes = range(record.layout.nodes) if ask.route.endswith("wide") else (ask.node,)
        return all(record.node_in_touch(node, each.at_s, each.at_s) for node in nodes)

    def cases() -> Iterator[Case]:
        for path, servers in crashed.items():
            if len(servers) < DEADLY_SERVERS:
                continue
            third_s = sorted(servers.values())[DEADLY_SERVERS - 1]
            due_s = third_s + record.bounds.contact_s
            late = [x for x in record.arrivals if x.path == path and x.at_s > due_s and counts(x, third_s)]
            detail = (
                f"{path}: {len(late)} arrivals after {len(servers)} crashed servers, first {late[0].id}"
                if late
                else ""
            )
            yield third_s, detail if len(late) > DEADLY_SERVERS else ""

    return judge("deadly_kept_from_servers", cases())
