"""State shared by all queries of a node."""

import random
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from yokesill.routing.options import RoutingOptions
from yokesill.routing.servers import ServerState, ServerTable
from yokesill.routing.waiting import WaitingQueue

Owner = TypeVar("Owner")


@dataclass(slots=True)
class RoutingContext(Generic[Owner]):
    """Servers, waiters and live attempts; ``freed`` are servers with released slots.

    ``attempt_owners`` maps live attempts to their queries, whose type is not relevant here.
    """

    options: RoutingOptions
    random_source: random.Random
    servers: ServerTable
    waiting: WaitingQueue = field(default_factory=WaitingQueue)
    attempt_owners: dict[str, Owner] = field(default_factory=dict)
    freed: list[ServerState] = field(default_factory=list)

    def release(self, attempt_id: str, server: ServerState) -> None:
        """Release the slot of an ended attempt; further calls for the same attempt have no effect."""
        if self.attempt_owners.pop(attempt_id, None) is not None:
            server.in_flight -= 1
            self.freed.append(server)
