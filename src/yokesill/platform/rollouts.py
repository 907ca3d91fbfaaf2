"""Operators' orders of roll-outs, and the record of how far each has come."""

from collections.abc import Mapping
from typing import Any

from yokesill.comm.http_status import CONFLICT, NOT_FOUND
from yokesill.gateway.events import RolloutOrdered, RolloutsReplaced, RolloutWithdrawn
from yokesill.platform.feeds import StoreFeed
from yokesill.platform.names import ROLLOUTS_KIND
from yokesill.platform.store import MetadataStore, StoredItem, StoreView, item_of, timeline_of
from yokesill.registry.feeds import Batch, Feed, RolloutRecords
from yokesill.rollouts.orders import Overtaken, RolloutOrder, RolloutState
from yokesill.serving.object_fields import ObjectError, number, take, text, version
from yokesill.verdict import Failure, Reason, Verdict

IN_PROGRESS = "in_progress"
# Thirty years: a longer duration is a mistake in the order.
DURATION_LIMIT_S = 1e9
# ``stage`` is the product's own field beside the platform's ``state``, which is the same for both stages.
_STAGES = {each.value: each for each in (RolloutState.CANARY, RolloutState.SWITCHING)}
_FINAL = {each.value: each for each in RolloutState if each.final}


def rollout_feed(store: MetadataStore) -> Feed:
    """Return the orders as a feed: each has an object of its service's name."""
    return StoreFeed("rollouts", ROLLOUTS_KIND, store, _order_batch, _all_orders_batch)


class StoredRollouts(RolloutRecords):
    """The records, each the status of its order's object."""

    def __init__(self, store: MetadataStore) -> None:
        self._store = store

    async def record(self, order: RolloutOrder) -> RolloutOrder | Overtaken | Failure:
        """See ``RolloutRecords.record``."""
        reply = await self._store.put_status(ROLLOUTS_KIND, order.service, order.position, _status_of(order))
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
        current = None if item is None or item.gone else read_order(item)
        return Overtaken(current) if current is None or reply.status == CONFLICT else current


def read_order(item: StoredItem) -> RolloutOrder:
    """Read an order; what is wrong with one that can't be carried out stands in its ``problem``."""
    target, duration_s, problem, numbered = "", 0.0, "", False
    place = f"{ROLLOUTS_KIND}.{item.name}"
    try:
        target = take(item.spec, "targetVersion", version, place)
        numbered = type(item.spec["targetVersion"]) is int
        duration_s = take(item.spec, "durationS", _duration_s, place)
        if take(item.spec, "service", text, place) != item.name:
            raise ObjectError(f"{place}.service: is {item.spec['service']!r}, the object's name is another")
    except ObjectError as error:
        problem = str(error)
    status = item.status if isinstance(item.status, dict) else {}
    state, elapsed_ms = _state(status, target), status.get("elapsedMs")
    elapsed_s = 0.0  # also of an unreadable time, as in a new order
    if isinstance(elapsed_ms, int) and 0 <= elapsed_ms < DURATION_LIMIT_S:
        elapsed_s = elapsed_ms / 1000
    ordered = (item.name, target, duration_s, item.made, item.revision)
    order = RolloutOrder(*ordered, problem=problem, numbered=numbered, timeline=item.timeline)
    if state is RolloutState.ORDERED:
        return order
    return order._replace(state=state, elapsed_s=elapsed_s, reason=str(status.get("reason", "")))


def _duration_s(value: Any) -> float:
    duration_s = number(value)
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


def _status_of(order: RolloutOrder) -> dict[str, Any]:
    state = order.state.value if order.state.final else IN_PROGRESS
    ours = {"stage": order.state.value, "elapsedMs": round(order.elapsed_s * 1000), "reason": order.reason}
    target = int(order.target) if order.numbered else order.target
    return {"state": state, "targetVersion": target, **ours}


def _event(item: StoredItem) -> RolloutOrdered | RolloutWithdrawn:
    return RolloutWithdrawn(item.name) if item.gone else RolloutOrdered(read_order(item))


def _order_batch(view: StoreView) -> Batch:
    # Only the last change of each order: one that was overtaken within the batch must not be applied.
    last = {item.name: item for item in view.items}
    return Batch(view.at, tuple(_event(item) for item in last.values()))


def _all_orders_batch(view: StoreView) -> Batch:
    orders = tuple(read_order(item) for item in view.items if not item.gone)
    return Batch(view.at, (RolloutsReplaced(orders),))
