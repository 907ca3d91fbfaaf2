"""What a gateway node is connected to: the port through which an adapter supplies registry and names.

``platform.main`` and ``cli.gateway`` fill it in; ``builder`` reads it. Only ``set_registry_address`` is
called later.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass

from yokesill.registry.feeds import Feed, NodeDirectory, QuarantineRecords, RolloutRecords
from yokesill.serving.header_names import HeaderNames
from yokesill.serving.settings import Address


@dataclass(frozen=True, slots=True)
class Dependencies:
    """The registry's feeds and records, the names of headers, and what the adapter opened already.

    Without ``evacuations`` zones are never evacuated, without ``rollouts`` nothing is rolled out;
    ``rollout_records`` keeps the state of roll-outs. ``quarantine`` has the requests that no server gets,
    ``quarantine_records`` records them; without them nodes tell only one another. ``callers_socket`` listens
    for callers already; without it the node opens one itself.
    """

    configuration: Feed
    servers: Feed
    nodes: NodeDirectory
    names: HeaderNames
    ready_path: str
    set_registry_address: Callable[[Address], None] = lambda _address: None
    callers_socket: socket.socket | None = None
    evacuations: Feed | None = None
    rollouts: Feed | None = None
    rollout_records: RolloutRecords | None = None
    quarantine: Feed | None = None
    quarantine_records: QuarantineRecords | None = None
