"""Operators' roll-out orders, and the records of their progress."""

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
# About thirty years: a longer duration is a mistake in the order.
MAX_DURATION_S = 1e9
# ``stage`` is added by this product, because the platform's ``state`` is the same for both stages.
_STAGES = {each.value: each for each in (RolloutState.CANARY, RolloutState.SWITCHING)}
_FINAL = {each.value: each for each in RolloutState if each.final}


def rollout_feed(store: MetadataStore, unix_clock: Clock | None = None) -> Feed:
    """Return the feed of orders; each object is named after its service."""
    readers = (partial(_order_batch, unix_clock), partial(_all_orders_batch, unix_clock))
    return StoreFeed("rollouts", ROLLOUTS_KIND, store, *readers)


class StoredRollouts(RolloutRecords):
    """The records of orders, each stored as the status of its order's object.

    Parameters
    ----------
    store
        Stores the records.
    unix_clock
        Returns the wall-clock time, in seconds. A record contains the wall-clock time of its order, so that
        the time since the order also counts while no node runs. Without this clock, records contain only
        the time that had passed when they were written.
    """

    def __init__(self, store: MetadataStore, unix_clock: Clock | None = None) -> None:
        self._store = store
        self._unix_clock = unix_clock

    async def record(self, order: RolloutOrder) -> RolloutOrder | RevisionConflict | Failure:
        """See ``RolloutRecords.record``."""
        status = _status_of(order, self._unix_clock)
        reply = await self._store.put_at(ROLLOUTS_KIND, order.service, order.position, status=status)
        if isinstance(reply, Failure):
            return reply
        try:
            timeline = timeline_of(reply) or order.timeline
            item = None if reply.status == NOT_FOUND else item_of(reply.body, timeline=timeline)
        except (AttributeError, LookupError, TypeError, ValueError) as error:
            detail = f"the record of {order.service}: {error!r}"
            return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, detail)
        current = None if item is None or item.gone else read_order(item, self._unix_clock)
        return RevisionConflict(current) if current is None or reply.status == CONFLICT else current


def read_order(item: StoredItem, unix_clock: Clock | None = None) -> RolloutOrder:
    """Parse an order; ``problem`` describes why an invalid one can't be carried out."""
    target, duration_s, problem, numeric_target = "", 0.0, "", False
    place = f"{ROLLOUTS_KIND}.{item.name}"
    try:
        target = read_field(item.spec, "targetVersion", parse_version, place)
        numeric_target = type(item.spec["targetVersion"]) is int
        duration_s = read_field(item.spec, "durationS", _duration_s, place)
        if read_field(item.spec, "service", parse_text, place) != item.name:
            raise ObjectError(f"{place}.service: is {item.spec['service']!r}, the object's name is another")
    except ObjectError as error:
        problem = str(error)
    status = item.status if isinstance(item.status, dict) else {}
    state = _recorded_state(status, target)
    elapsed_s = max(_elapsed_s(status.get("elapsedMs")), _elapsed_since_order_s(status, unix_clock))
    order_fields = (item.name, target, duration_s, item.created_revision, item.revision)
    order = RolloutOrder(
        *order_fields, problem=problem, numeric_target=numeric_target, timeline=item.timeline
    )
    if state is RolloutState.ORDERED:
        return order
    # Half a character can't be encoded for other nodes.
    reason = str(status.get("reason", "")).encode(errors="replace").decode()
    return order._replace(state=state, elapsed_s=elapsed_s, reason=reason)


def _elapsed_s(elapsed_ms: Any) -> float:
    """Return a record's elapsed time; 0 if it is missing, as in a new order, or invalid."""
    valid = isinstance(elapsed_ms, int) and 0 <= elapsed_ms < MAX_DURATION_S
    return elapsed_ms / 1000 if valid else 0.0


def _elapsed_since_order_s(status: Mapping[str, Any], unix_clock: Clock | None) -> float:
    """Return the wall-clock time since a record's order was created; 0 if the record lacks it."""
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
    if duration_s > MAX_DURATION_S:
        raise ObjectError(f"a time up to {MAX_DURATION_S:g} s is needed")
    return duration_s


def _recorded_state(status: Mapping[str, Any], target: str) -> RolloutState:
    """Return the recorded state of an order; the status may still be that of an earlier order."""
    if str(status.get("targetVersion", "")) != target:
        return RolloutState.ORDERED
    recorded = status.get("state")
    if recorded == IN_PROGRESS:
        return _STAGES.get(str(status.get("stage")), RolloutState.CANARY)
    return _FINAL.get(str(recorded), RolloutState.ORDERED)


def _status_of(order: RolloutOrder, unix_clock: Clock | None) -> dict[str, Any]:
    state = order.state.value if order.state.final else IN_PROGRESS
    elapsed_ms = round(order.elapsed_s * 1000)
    own_fields: dict[str, Any] = {"stage": order.state.value, "elapsedMs": elapsed_ms, "reason": order.reason}
    if unix_clock is not None:
        own_fields["orderedAtMs"] = _unix_ms(unix_clock) - elapsed_ms
    target = int(order.target) if order.numeric_target else order.target
    return {"state": state, "targetVersion": target, **own_fields}


def _order_event(item: StoredItem, unix_clock: Clock | None) -> RolloutOrdered | RolloutWithdrawn:
    return RolloutWithdrawn(item.name) if item.gone else RolloutOrdered(read_order(item, unix_clock))


def _order_batch(unix_clock: Clock | None, view: StoreView) -> Batch:
    # Only the last change of each order: one that a later change supersedes must not be applied.
    last = {item.name: item for item in view.items}
    events = tuple(_order_event(item, unix_clock) for item in last.values())
    return Batch(view.at, events, view.problems)


def _all_orders_batch(unix_clock: Clock | None, view: StoreView) -> Batch:
    orders = tuple(read_order(item, unix_clock) for item in view.items if not item.gone)
    return Batch(view.at, (RolloutsReplaced(orders),), view.problems)
