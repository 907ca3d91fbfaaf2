"""Dependencies of a gateway node that an adapter supplies: the registry's feeds and the header names.

``platform.main`` and ``cli.gateway`` create them and ``builder`` reads them. Only ``set_registry_address`` is
called while the node runs.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass

from yokesill.registry.feeds import (
    Feed,
    NodeDirectory,
    QuarantineRecords,
    ReadPosition,
    RolloutRecords,
    VersionRecords,
)
from yokesill.serving.header_names import HeaderNames
from yokesill.serving.settings import Address


@dataclass(frozen=True, slots=True)
class Dependencies:
    """The registry's feeds and records, the header names, and the callers' socket if it is already open.

    Without ``evacuations`` zones are never evacuated, and without ``rollouts`` there are no roll-outs.
    ``rollout_records`` stores the state of roll-outs, and ``version_records`` which versions serve.
    ``quarantine`` lists the requests that are not sent to any server and ``quarantine_records`` stores them;
    without these two, nodes exchange quarantines only with each other. ``read_position`` reads the registry's
    position; without it views are not checked. ``callers_socket`` already listens for callers; without it the
    node opens a socket itself. ``settings_not_understood`` counts the fields of the settings that can't be
    read.
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
    version_records: VersionRecords | None = None
    quarantine: Feed | None = None
    quarantine_records: QuarantineRecords | None = None
    read_position: ReadPosition | None = None
    settings_not_understood: Callable[[], int] = lambda: 0
