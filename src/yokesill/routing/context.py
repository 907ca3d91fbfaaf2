"""What the queries of one node share."""

import random
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from yokesill.routing.options import RoutingOptions
from yokesill.routing.servers import ServerState, ServerTable
from yokesill.routing.waiting import WaitingQueue

Owner = TypeVar("Owner")


@dataclass(slots=True)
class RoutingContext(Generic[Owner]):
    """Servers, waiters and live attempts; ``freed`` are servers whose slots were given back.

    ``attempt_owners`` are the queries that live attempts belong to; nothing here asks what they are.
    """

    options: RoutingOptions
    random_source: random.Random
    servers: ServerTable
    waiting: WaitingQueue = field(default_factory=WaitingQueue)
    attempt_owners: dict[str, Owner] = field(default_factory=dict)
    freed: list[ServerState] = field(default_factory=list)

    def release(self, attempt_id: str, server: ServerState) -> None:
        """Give an ended attempt's slot back; once only, however often it is called."""
        if self.attempt_owners.pop(attempt_id, None) is not None:
            server.in_flight -= 1
            self.freed.append(server)
