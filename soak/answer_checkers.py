"""Checks the promises about the answers that callers get."""

from collections.abc import Iterator

from soak.judging import Case, Checked, gathered_shards, judge
from soak.layout import DESK, ROUTES
from soak.record import Arrival, Ask, Record
from soak.records import single_body, top_records


def whole_own_answers(record: Record) -> Checked:
    """A success is the complete answer to its own request, from one snapshot, with its true coverage."""
    runs = {each.signature: each for each in record.arrivals if each.ran}
    shard_sets = [frozenset(gathered_shards(each.value)) for each in record.configurations()]

    def cases() -> Iterator[Case]:
        for ask in record.asks:
            if ask.ending == "broken":
                yield ask.ended_s, f"{ask.id}: received bytes that are not an answer"
            elif ask.succeeded and ask.route == "wide":
                yield ask.ended_s, _wide_problem(record, ask, runs, shard_sets)
            elif ask.ending == "answered" and (ask.succeeded or ask.signature):
                yield ask.ended_s, _single_problem(record, ask, runs)

    return judge("whole_own_answers", cases())


def _single_problem(record: Record, ask: Ask, runs: dict[str, Arrival]) -> str:
    run = runs.get(ask.signature)
    if run is None or run.id != ask.id:
        return f"{ask.id}: status {ask.status} with signature {ask.signature!r}, which is not of this request"
    if run.service != DESK:
        return f"{ask.id}: answered by service {run.service}, which the route does not name"
    status = record.done.get(ask.signature, (0.0, 0))[1]
    if status != ask.status:
        return f"{ask.id}: status {ask.status}, but its server answered {status}"
    if ask.succeeded and bytes.fromhex(ask.body) != single_body(ask.signature):
        return f"{ask.id}: body differs from its server's whole body"
    return ""


def _wide_problem(
    record: Record, ask: Ask, runs: dict[str, Arrival], shard_sets: list[frozenset[str]]
) -> str:
    for signature in ask.parts:
        run = runs.get(signature)
        if run is None or run.id != ask.id or record.done.get(signature, (0.0, 0))[1] != 200:
            return f"{ask.id}: part {signature!r} is not a successful answer to this request"
    services = [runs[signature].service for signature in ask.parts]
    if len(set(services)) != len(services) or not services:
        return f"{ask.id}: no parts, or a service twice: {services}"
    total = len(services) + ask.missing
    if not any(set(services) <= each and len(each) == total for each in shard_sets):
        return f"{ask.id}: parts of {services} and {ask.missing} missing match no configuration's shards"
    terms = ROUTES["wide"]
    if len(services) < terms.min_coverage * total:
        return f"{ask.id}: {len(services)} of {total} shards are below the minimum coverage"
    if bytes.fromhex(ask.body) != top_records(services, ask.id, terms.top_k):
        return f"{ask.id}: body differs from the greatest records of its parts"
    return ""


def answered_in_time(record: Record) -> Checked:
    """Every request gets a final answer by its timeout.

    A connection that closes at once does not count: a node may close an idle connection just as a request
    arrives on it.
    """

    def cases() -> Iterator[Case]:
        for ask in record.asks:
            terms = ROUTES.get(ask.route)
            if terms is None or ask.ending == "refused":
                continue
            if not record.node_in_touch(ask.node, ask.asked_s, ask.ended_s):
                continue
            elapsed_s = ask.ended_s - ask.asked_s
            late = ask.ending == "silent" or elapsed_s > terms.timeout_s + record.bounds.answer_slack_s
            cut = ask.ending == "closed" and elapsed_s > record.bounds.loss_slack_s
            detail = f"{ask.id} ({ask.route}) at node {ask.node}: {ask.ending} after {elapsed_s:.2f} s"
            yield ask.ended_s, detail if late or cut else ""

    return judge("answered_in_time", cases())
