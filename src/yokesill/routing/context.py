"""What the queries of one node share."""

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from yokesill.routing.options import RoutingOptions
from yokesill.routing.servers import ServerState, ServerTable
from yokesill.routing.waiting import WaitingRoom

if TYPE_CHECKING:
    from yokesill.routing.query import QueryMachine


@dataclass(slots=True)
class RoutingContext:
    """Servers, waiters and live attempts; ``freed`` are servers whose slots were given back."""

    options: RoutingOptions
    random_source: random.Random
    servers: ServerTable
    waiting: WaitingRoom = field(default_factory=WaitingRoom)
    attempt_owners: dict[str, "QueryMachine"] = field(default_factory=dict)
    freed: list[ServerState] = field(default_factory=list)

    def release(self, attempt_id: str, server: ServerState) -> None:
        """Give an ended attempt's slot back; once only, however often it is called."""
        if self.attempt_owners.pop(attempt_id, None) is not None:
            server.in_flight -= 1
            self.freed.append(server)
