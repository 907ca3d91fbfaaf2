"""Flow control of one connection whose bytes are read ahead and whose answers are counted."""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT, FlowControl


class HoldingFlow(FlowControl):
    """Flow control that doesn't resume reading while much is held that was read before."""

    def __init__(self, transport: asyncio.Transport, holds_much: Callable[[], bool]) -> None:
        super().__init__(transport)
        self._holds_much = holds_much

    def resume_reading(self) -> None:
        """Resume reading, unless much is held."""
        if not self._holds_much():
            super().resume_reading()

    async def drain(self) -> None:
        """Wait until what is unsent is small; it is counted once it is written."""
        if self._transport.get_write_buffer_size() > HIGH_WATER_LIMIT:
            await super().drain()
