"""Reads the settings of a starting node, and waits for valid ones.

A file that is being replaced is missing, empty or half written for a moment, and one whose volume is late for
longer. A node that ended then would be started again and again; one that waits starts as soon as the file is
whole. A whole file whose mistakes stay ends it.
"""

import signal
import time
from collections.abc import Callable
from pathlib import Path

from yokesill.serving.settings import GatewaySettings, SettingsProblem
from yokesill.serving.streams import write_error

CHECK_INTERVAL_S = 0.1
# How long mistakes in a whole file are waited for.
MAX_WAIT_S = 10.0
MAX_CHECKS = round(MAX_WAIT_S / CHECK_INTERVAL_S)
# A mistake that stays is told again after this time.
REMINDER_INTERVAL_S = 30.0
REMINDER_CHECKS = round(REMINDER_INTERVAL_S / CHECK_INTERVAL_S)
STOP_SIGNALS = {signal.SIGTERM, signal.SIGINT}


def wait_for_settings(
    path: Path, load: Callable[[Path], GatewaySettings | list[SettingsProblem]]
) -> GatewaySettings | list[SettingsProblem] | None:
    """Return the settings once ``path`` holds valid ones.

    Mistakes are written to standard error each time that they change, and now and then while they stay.

    Returns
    -------
    GatewaySettings or list of SettingsProblem or None
        The mistakes if a whole file keeps some for ``MAX_WAIT_S``, at once if it is a folder; ``None`` if a
        held signal asks the node to stop.
    """
    reported: list[SettingsProblem] = []
    unchanged_checks = mistaken_checks = 0
    while True:
        settings = load(path)
        if isinstance(settings, GatewaySettings):
            return settings
        unchanged_checks = unchanged_checks + 1 if settings == reported else 0
        if unchanged_checks % REMINDER_CHECKS == 0:
            _report(path, settings)
        reported = settings
        if signal.sigpending() & STOP_SIGNALS:
            return None
        mistaken_checks = 0 if any(each.unreadable for each in settings) else mistaken_checks + 1
        if path.is_dir() or mistaken_checks > MAX_CHECKS:
            return settings
        time.sleep(CHECK_INTERVAL_S)


def _report(path: Path, problems: list[SettingsProblem]) -> None:
    for problem in problems:
        write_error(f"{path}: {problem}")
