"""Operators' orders of roll-outs, and the record of how far each has come."""

from collections.abc import Mapping
from functools import partial
from typing import Any

from yokesill.clock import Clock
from yokesill.comm.http_status import CONFLICT, NOT_FOUND
from yokesill.gateway.events import RolloutOrdered, RolloutsReplaced, RolloutWithdrawn
from yokesill.platform.feeds import StoreFeed
from yokesill.platform.names import ROLLOUTS_KIND
from yokesill.platform.store import MetadataStore, StoredItem, StoreView, item_of, timeline_of
from yokesill.registry.feeds import Batch, Feed, RolloutRecords
from yokesill.rollouts.orders import RevisionConflict, RolloutOrder, RolloutState
from yokesill.serving.object_fields import ObjectError, parse_number, parse_text, parse_version, read_field
from yokesill.verdict import Failure, Reason, Verdict

IN_PROGRESS = "in_progress"
# Thirty years: a longer duration is a mistake in the order.
DURATION_LIMIT_S = 1e9
# ``stage`` is the product's own field beside the platform's ``state``, which is the same for both stages.
_STAGES = {each.value: each for each in (RolloutState.CANARY, RolloutState.SWITCHING)}
_FINAL = {each.value: each for each in RolloutState if each.final}


def rollout_feed(store: MetadataStore, unix_clock: Clock | None = None) -> Feed:
    """Return the orders as a feed: each has an object of its service's name."""
    readers = (partial(_order_batch, unix_clock), partial(_all_orders_batch, unix_clock))
    return StoreFeed("rollouts", ROLLOUTS_KIND, store, *readers)


class StoredRollouts(RolloutRecords):
    """The records, each the status of its order's object.

    Parameters
    ----------
    store
        Holds them.
    unix_clock
        The time of day, in seconds: a record says by it when its order was made, so that the time goes on
        while no node runs. Without one, records tell only how much had passed at their writing.
    """

    def __init__(self, store: MetadataStore, unix_clock: Clock | None = None) -> None:
        self._store = store
        self._unix_clock = unix_clock

    async def record(self, order: RolloutOrder) -> RolloutOrder | RevisionConflict | Failure:
        """See ``RolloutRecords.record``."""
        status = _status_of(order, self._unix_clock)
        reply = await self._store.put_status(ROLLOUTS_KIND, order.service, order.position, status)
        if isinstance(reply, Failure):
            return reply
        try:
            item = (
                None
                if reply.status == NOT_FOUND
                else item_of(reply.body, timeline=timeline_of(reply) or order.timeline)
            )
        except (AttributeError, KeyError, TypeError) as error:
            detail = f"the record of {order.service}: {error!r}"
            return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, detail)
        current = None if item is None or item.gone else read_order(item, self._unix_clock)
        return RevisionConflict(current) if current is None or reply.status == CONFLICT else current


def read_order(item: StoredItem, unix_clock: Clock | None = None) -> RolloutOrder:
    """Read an order; what is wrong with one that can't be carried out stands in its ``problem``."""
    target, duration_s, problem, numbered = "", 0.0, "", False
    place = f"{ROLLOUTS_KIND}.{item.name}"
    try:
        target = read_field(item.spec, "targetVersion", parse_version, place)
        numbered = type(item.spec["targetVersion"]) is int
        duration_s = read_field(item.spec, "durationS", _duration_s, place)
        if read_field(item.spec, "service", parse_text, place) != item.name:
            raise ObjectError(f"{place}.service: is {item.spec['service']!r}, the object's name is another")
    except ObjectError as error:
        problem = str(error)
    status = item.status if isinstance(item.status, dict) else {}
    state = _state(status, target)
    elapsed_s = max(_elapsed_s(status.get("elapsedMs")), _since_order_s(status, unix_clock))
    ordered = (item.name, target, duration_s, item.made, item.revision)
    order = RolloutOrder(*ordered, problem=problem, numeric_target=numbered, timeline=item.timeline)
    if state is RolloutState.ORDERED:
        return order
    return order._replace(state=state, elapsed_s=elapsed_s, reason=str(status.get("reason", "")))


def _elapsed_s(elapsed_ms: Any) -> float:
    """Return a time that a record tells; 0 for one that can't be read, as in a new order."""
    readable = isinstance(elapsed_ms, int) and 0 <= elapsed_ms < DURATION_LIMIT_S
    return elapsed_ms / 1000 if readable else 0.0


def _since_order_s(status: Mapping[str, Any], unix_clock: Clock | None) -> float:
    """Return how long ago a record says that its order was made, by the time of day; 0 if it doesn't."""
    ordered_at_ms = status.get("orderedAtMs")
    if unix_clock is None or not isinstance(ordered_at_ms, int):
        return 0.0
    return _elapsed_s(_unix_ms(unix_clock) - ordered_at_ms)


def _unix_ms(unix_clock: Clock) -> int:
    return round(unix_clock() * 1000)


def _duration_s(value: Any) -> float:
    duration_s = parse_number(value)
    if not duration_s > 0.0:
        raise ObjectError("a time above 0 is needed")
    if duration_s > DURATION_LIMIT_S:
        raise ObjectError(f"a time up to {DURATION_LIMIT_S:g} s is needed")
    return duration_s


def _state(status: Mapping[str, Any], target: str) -> RolloutState:
    """Return the state recorded of an order; the status may still be that of an order before it."""
    if str(status.get("targetVersion", "")) != target:
        return RolloutState.ORDERED
    recorded = status.get("state")
    if recorded == IN_PROGRESS:
        return _STAGES.get(str(status.get("stage")), RolloutState.CANARY)
    return _FINAL.get(str(recorded), RolloutState.ORDERED)


def _status_of(order: RolloutOrder, unix_clock: Clock | None) -> dict[str, Any]:
    state = order.state.value if order.state.final else IN_PROGRESS
    elapsed_ms = round(order.elapsed_s * 1000)
    ours: dict[str, Any] = {"stage": order.state.value, "elapsedMs": elapsed_ms, "reason": order.reason}
    if unix_clock is not None:
        ours["orderedAtMs"] = _unix_ms(unix_clock) - elapsed_ms
    target = int(order.target) if order.numeric_target else order.target
    return {"state": state, "targetVersion": target, **ours}


def _event(item: StoredItem, unix_clock: Clock | None) -> RolloutOrdered | RolloutWithdrawn:
    return RolloutWithdrawn(item.name) if item.gone else RolloutOrdered(read_order(item, unix_clock))


def _order_batch(unix_clock: Clock | None, view: StoreView) -> Batch:
    # Only the last change of each order: one that was overtaken within the batch must not be applied.
    last = {item.name: item for item in view.items}
    return Batch(view.at, tuple(_event(item, unix_clock) for item in last.values()))


def _all_orders_batch(unix_clock: Clock | None, view: StoreView) -> Batch:
    orders = tuple(read_order(item, unix_clock) for item in view.items if not item.gone)
    return Batch(view.at, (RolloutsReplaced(orders),))
