"""Runs a gateway node on the platform: loads its settings and builds its feeds and its process."""

import os
import random
import socket
import time
from dataclasses import replace
from pathlib import Path

from yokesill import logs
from yokesill.clock import run_with_boottime_clock
from yokesill.gateway.options import GatewayOptions
from yokesill.platform import feeds
from yokesill.platform.names import HEADER_NAMES, READY_PATH, SETTINGS_VARIABLE, SWITCHED_OFF_VARIABLE
from yokesill.platform.rollouts import StoredRollouts, rollout_feed
from yokesill.platform.settings import load_settings
from yokesill.platform.store import MetadataStore
from yokesill.registry.api_client import ApiClient
from yokesill.serving.dependencies import Dependencies
from yokesill.serving.process import GatewayProcess
from yokesill.serving.reload import SettingsFollower
from yokesill.serving.running import run_until_stopped
from yokesill.serving.settings import GatewaySettings
from yokesill.serving.settings_wait import wait_for_settings
from yokesill.serving.streams import write_error
from yokesill.supervision import unexpected_end_logged

OK, INVALID = 0, 3


def run(listening: socket.socket | None = None) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code.

    ``listening`` is the socket for callers, if it is already open.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    settings = wait_for_settings(path, load_settings)
    if not isinstance(settings, GatewaySettings):
        return OK if settings is None else INVALID
    switched_off = tuple(os.environ.get(SWITCHED_OFF_VARIABLE, "").split())
    try:
        GatewayOptions(settings.zone).without(switched_off)
    except ValueError as error:
        write_error(f"{SWITCHED_OFF_VARIABLE}: {error}")
        return INVALID
    settings = replace(settings, switched_off=switched_off)
    output = logs.configure(settings.log_level)
    process = GatewayProcess(settings, _dependencies(settings, listening), random.Random(), output)
    follower = SettingsFollower(path, settings, load_settings, process.apply_settings)
    with unexpected_end_logged(output):
        run_with_boottime_clock(run_until_stopped, process, follower)
    return OK


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
        nodes=feeds.StoredNodes(store),
        names=HEADER_NAMES,
        ready_path=READY_PATH,
        set_registry_address=client.set_address,
        callers_socket=listening,
    )
