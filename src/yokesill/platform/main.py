"""Runs a gateway node on the platform: loads its settings and builds its feeds and its process."""

import os
import socket
import time
from pathlib import Path

from yokesill.platform import feeds
from yokesill.platform.names import HEADER_NAMES, READY_PATH, SETTINGS_VARIABLE, SWITCHED_OFF_VARIABLE
from yokesill.platform.rollouts import StoredRollouts, rollout_feed
from yokesill.platform.settings import parse_settings
from yokesill.platform.store import MetadataStore
from yokesill.registry.api_client import ApiClient
from yokesill.serving.dependencies import Dependencies
from yokesill.serving.running import SwitchedOff, run_node
from yokesill.serving.settings import GatewaySettings
from yokesill.serving.start_times import StartTimes


def run(listening: socket.socket | None = None, start_times: StartTimes | None = None) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code.

    ``listening`` is the socket for callers, if it is already open; ``start_times`` has the steps of the start
    until now.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    switched_off = SwitchedOff(SWITCHED_OFF_VARIABLE, os.environ.get(SWITCHED_OFF_VARIABLE, ""))
    return run_node(
        path, parse_settings, switched_off, lambda settings: _dependencies(settings, listening), start_times
    )


def _dependencies(settings: GatewaySettings, listening: socket.socket | None) -> Dependencies:
    client = ApiClient(settings.registry)
    store = MetadataStore(client)
    return Dependencies(
        configuration=feeds.configuration_feed(store),
        servers=feeds.server_feed(store),
        quarantine=feeds.quarantine_feed(store),
        quarantine_records=feeds.StoredQuarantine(store),
        evacuations=feeds.evacuation_feed(store) if settings.evacuation_bound_s is not None else None,
        rollouts=rollout_feed(store, time.time) if settings.rollouts is not None else None,
        rollout_records=StoredRollouts(store, time.time) if settings.rollouts is not None else None,
        version_records=feeds.StoredVersionRecord(store) if settings.rollouts is not None else None,
        nodes=feeds.StoredNodes(store),
        names=HEADER_NAMES,
        ready_path=READY_PATH,
        read_position=store.read_position,
        set_registry_address=client.set_address,
        callers_socket=listening,
    )
