"""When a slow server's pacing slot is free.

Sound servers get attempts at any time. A slow one gets them at the pace of its own latency, of which this
node has its share: ``Choice.slot_at_s`` (``servers.selection``) is from when on the next slot is free, in
seconds of the node's clock. Without the switch ``paces`` slots are always free.
"""

from yokesill.gateway.context import GatewayContext
from yokesill.gateway.servers.selection import Choice


def has_free_slot(choice: Choice, context: GatewayContext, now: float) -> bool:
    """Whether the chosen server may be sent an attempt now."""
    return choice.healthy or not context.options.switches.paces or choice.slot_at_s <= now


def has_spare_slot(choice: Choice, service: str, context: GatewayContext, now: float) -> bool:
    """Whether the chosen server has a free slot that no deferred call of any request waits for."""
    if not has_free_slot(choice, context, now):
        return False
    return choice.healthy or not context.pacing_queue.is_awaited(service)
