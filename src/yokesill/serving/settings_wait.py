"""Reads the settings of a starting node, and waits for valid ones.

A file that is being replaced is missing, empty or half written for a moment. A node that ended then would be
started again and again; one that waits starts as soon as the file is whole. A file that stays wrong ends it.
"""

import signal
import time
from collections.abc import Callable
from pathlib import Path

from yokesill.serving.settings import GatewaySettings, SettingsProblem
from yokesill.serving.streams import write_error

CHECK_INTERVAL_S = 0.1
MAX_WAIT_S = 10.0
MAX_CHECKS = round(MAX_WAIT_S / CHECK_INTERVAL_S)
STOP_SIGNALS = {signal.SIGTERM, signal.SIGINT}


def wait_for_settings(
    path: Path, load: Callable[[Path], GatewaySettings | list[SettingsProblem]]
) -> GatewaySettings | list[SettingsProblem] | None:
    """Return the settings once ``path`` holds valid ones.

    Mistakes are written to standard error each time that they change.

    Returns
    -------
    GatewaySettings or list of SettingsProblem or None
        The mistakes if the file stays wrong for ``MAX_WAIT_S``, at once if it is a folder; ``None`` if a held
        signal asks the node to stop.
    """
    settings = load(path)
    reported: list[SettingsProblem] = []
    for _ in range(MAX_CHECKS):
        if isinstance(settings, GatewaySettings):
            return settings
        if settings != reported:
            reported = settings
            for problem in settings:
                write_error(f"{path}: {problem}")
        if signal.sigpending() & STOP_SIGNALS:
            return None
        if path.is_dir():
            return settings
        time.sleep(CHECK_INTERVAL_S)
        settings = load(path)
    return settings
