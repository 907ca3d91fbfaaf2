"""The operator of a site: writes its configurations to the store until the store has taken them."""

import asyncio

from soak.site_configuration import ConfigurationState, configuration, gathered_groups
from soak.site_layout import SiteLayout
from soak.standin import call

RETRY_S, CALL_TIMEOUT_S = 0.3, 2.0
CONFIGURATION_PATH = "/objects/config/main"


class SiteOperator:
    """Changes the configuration, one version at a time."""

    def __init__(self, layout: SiteLayout) -> None:
        self.state = ConfigurationState(idle_routes=layout.site.idle_routes)
        self._layout = layout
        self._lock = asyncio.Lock()

    async def change(self, how: str, extra_routes: int = 0) -> None:
        """Write the next version, changed in the way ``how``, and return once the store has taken it."""
        async with self._lock:
            await self._write(self.state.changed(how, extra_routes))

    async def cut_index(self) -> tuple[set[str], set[str]]:
        """Name the servers of the next cut, and return the service groups that are left and joined."""
        async with self._lock:
            old = gathered_groups(self._layout, self.state.cut)
            next_state = self.state._replace(version=self.state.version + 1, cut=self.state.cut + 1)
            await self._write(next_state)
            new = gathered_groups(self._layout, next_state.cut)
            return old - new, new - old

    def next_groups(self) -> set[str]:
        """Return the service groups that the next cut needs beyond those of this one."""
        cut = self.state.cut
        return gathered_groups(self._layout, cut + 1) - gathered_groups(self._layout, cut)

    async def _write(self, state: ConfigurationState) -> None:
        host, port = self._layout.operator()
        body = {"spec": configuration(self._layout, state)}
        # A version that was sent may be in force, so that no other one takes its number.
        self.state = state
        while True:
            status, _ = await call(host, port, "PUT", CONFIGURATION_PATH, body, CALL_TIMEOUT_S)
            if status == 200:
                return
            await asyncio.sleep(RETRY_S)
