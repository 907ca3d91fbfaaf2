"""What a gateway node is connected to."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

from yokesill.registry.feeds import Feed, NodeDirectory, QuarantineRecords, RolloutRecords
from yokesill.serving.header_names import HeaderNames
from yokesill.serving.settings import Address


@dataclass(frozen=True, slots=True)
class Dependencies:
    """What a node is connected to: the registry's feeds and the words spoken with callers.

    Without ``evacuations`` zones are never evacuated, without ``rollouts`` nothing is rolled out;
    ``rollout_records`` is where the state of roll-outs is kept. ``callers_socket`` listens for callers
    already; without it the node opens one itself. ``quarantine`` tells which requests are kept from servers,
    ``quarantine_records`` keeps that for good; without them nodes tell only one another.
    """

    configuration: Feed
    servers: Feed
    nodes: NodeDirectory
    names: HeaderNames
    ready_path: str
    move_registry: Callable[[Address], None] = lambda _address: None
    callers_socket: socket.socket | None = None
    evacuations: Feed | None = None
    rollouts: Feed | None = None
    rollout_records: RolloutRecords | None = None
    quarantine: Feed | None = None
    quarantine_records: QuarantineRecords | None = None
