"""Starts a gateway node on the platform."""

import os
import random
import signal
import sys
from pathlib import Path

import anyio

from yokesill import logs
from yokesill.platform.feeds import ConfigurationFeed, ServerFeed, StoredNodes
from yokesill.platform.names import HEADER_NAMES, READY_PATH, SETTINGS_VARIABLE
from yokesill.platform.settings import load_settings
from yokesill.platform.store import MetadataStore
from yokesill.serving.api_client import ApiClient
from yokesill.serving.process import GatewayProcess, Surroundings
from yokesill.serving.settings import GatewaySettings

OK, INVALID = 0, 3


def main() -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    settings = load_settings(path)
    if isinstance(settings, list):
        for problem in settings:
            print(f"error: {path}: {problem}", file=sys.stderr)
        return INVALID
    output = logs.configure(settings.log_level)
    process = GatewayProcess(settings, _surroundings(settings), random.Random(), output)
    anyio.run(_serve, process, path)
    return OK


def _surroundings(settings: GatewaySettings) -> Surroundings:
    store = MetadataStore(ApiClient(settings.registry))
    return Surroundings(
        ConfigurationFeed(store), ServerFeed(store), StoredNodes(store), HEADER_NAMES, READY_PATH
    )


async def _serve(process: GatewayProcess, path: Path) -> None:
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_follow_signals, process, path)
        await process.run()
        task_group.cancel_scope.cancel()


async def _follow_signals(process: GatewayProcess, path: Path) -> None:
    log = logs.get_logger("settings")
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                process.stop()
                continue
            settings = load_settings(path)
            if isinstance(settings, list):
                log.error("settings_rejected", problems=[str(each) for each in settings])
            else:
                log.info("settings_reloaded", changed=settings != process.settings)
