"""Checks whether a slow server has a free pacing slot.

Sound servers get attempts at any time. A slow server gets them at a pace derived from its own latency, of
which this node has a share: from ``Choice.slot_at_s`` (``servers.selection``) on, in seconds of the node's
clock, the next slot is free. Without the switch ``paces`` slots are always free.
"""

from yokesill.gateway.context import GatewayContext
from yokesill.gateway.servers.selection import Choice


def has_free_slot(choice: Choice, context: GatewayContext, now: float) -> bool:
    """Whether an attempt may be sent to the chosen server now."""
    return choice.healthy or not context.options.switches.paces or choice.slot_at_s <= now


def has_spare_slot(choice: Choice, service: str, context: GatewayContext, now: float) -> bool:
    """Whether the chosen server has a free slot and no deferred call of any request waits for it."""
    if not has_free_slot(choice, context, now):
        return False
    return choice.healthy or not context.pacing_queue.is_awaited(service)
