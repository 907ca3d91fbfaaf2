"""Reads the settings file again while a node runs: on a signal, or when the file changed without one.

A file with mistakes changes nothing. What a running node can't change (addresses, the zone) is logged and
takes effect at the next start.
"""

from collections.abc import Callable
from pathlib import Path

import anyio

from yokesill.logs import get_logger
from yokesill.serving.settings import GatewaySettings, SettingsProblem

# How late a changed file is noticed without a signal; a check is one system call.
CHECK_INTERVAL_S = 2.0
# Settings whose changes take effect in a running node; ``GatewayProcess.apply_settings`` applies them.
APPLIED = frozenset({"registry", "seeds", "stop_grace_s", "budget"})


class SettingsFollower:
    """Reads the settings by ``load`` and passes those without mistakes to ``apply``."""

    def __init__(
        self,
        path: Path,
        current: GatewaySettings,
        load: Callable[[Path], GatewaySettings | list[SettingsProblem]],
        apply: Callable[[GatewaySettings], None],
    ) -> None:
        self._path = path
        self._current = current
        self._load = load
        self._apply = apply
        self._seen = self._stamp()
        self._log = get_logger("settings")

    async def run(self) -> None:
        """Check for a changed file until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._stamp() != self._seen:
                self.reload("file")

    def reload(self, why: str) -> None:
        """Read the file and apply what changed."""
        self._seen = self._stamp()
        newer = self._load(self._path)
        if isinstance(newer, list):
            self._log.error("settings_rejected", why=why, problems=[str(each) for each in newer])
            return
        changed = self._current.changes(newer)
        waiting = [name for name in changed if name not in APPLIED]
        self._log.info("settings_reloaded", why=why, changed=changed, at_next_start=waiting)
        self._current = newer
        self._apply(newer)

    def _stamp(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            # Differs from any stamp, and so makes ``run`` read the file: ``settings_rejected`` says why it
            # can't be.
            return None
        return (status.st_mtime_ns, status.st_size)
