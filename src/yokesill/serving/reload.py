"""Reloads the settings file while a node runs: on a signal, or when the file has changed.

A file with mistakes in needed fields is rejected as a whole. Changes that a running node can't apply
(addresses, the zone) are logged and take effect at the next start.
"""

from collections.abc import Callable
from pathlib import Path

import anyio

from yokesill.logs import get_logger
from yokesill.serving.settings import GatewaySettings, SettingsProblem

# Interval at which the file is checked for changes; a check is one system call.
CHECK_INTERVAL_S = 2.0
# Settings whose changes take effect in a running node; ``GatewayProcess.apply_settings`` applies them.
RELOADABLE_SETTINGS = frozenset({"registry", "seeds", "stop_grace_s", "budget"})


class SettingsFollower:
    """Reads the settings with ``load`` and passes them to ``apply`` if they contain no mistakes."""

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
        self._last_stamp = self._stamp()
        self._log = get_logger("settings")

    async def run(self) -> None:
        """Reload the file whenever it has changed, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._stamp() != self._last_stamp:
                self.reload("file")

    def reload(self, reason: str) -> None:
        """Read the file and apply the settings; ``reason`` is logged."""
        self._last_stamp = self._stamp()
        newer = self._load(self._path)
        if isinstance(newer, list):
            self._log.error("settings_rejected", why=reason, problems=[str(each) for each in newer])
            return
        changed = self._current.changes(newer)
        deferred = [name for name in changed if name not in RELOADABLE_SETTINGS]
        self._log.info("settings_reloaded", why=reason, changed=changed, at_next_start=deferred)
        self._current = newer
        self._apply(newer)

    def _stamp(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            # Differs from every other stamp, so that ``run`` reloads the file and ``settings_rejected`` logs
            # why it can't be read.
            return None
        return (status.st_mtime_ns, status.st_size)
