"""A proxy for each link, which forwards bytes and on command delays, resets or holds them back."""

import asyncio
import json
import sys
from typing import Any, Literal

from soak.standin import follow_commands, run_standin

Mode = Literal["sound", "delay", "reset", "silent", "one_way"]
DELAY_S = 0.25
CHUNK = 65536
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError)


class Link:
    """A link from a listening address to a target; ``mode`` applies to open and new connections."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.mode: Mode = "sound"
        self._target = target
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    def set_mode(self, mode: Mode) -> None:
        """Change the mode; bytes that were held back are forwarded once the link is sound again."""
        self.mode = mode
        self._changed.set()
        self._changed = asyncio.Event()
        if mode == "reset":
            for writer in list(self._writers):
                writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until either side closes."""
        if self.mode == "reset":
            writer.transport.abort()
            return
        self._writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            await self._wait_to_forward(is_answer=False)
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            self._writers.add(target_writer)
            await self._forward(reader, writer, target_reader, target_writer)
        except CONNECTION_ERRORS:
            writer.transport.abort()
        finally:
            for each in (writer, target_writer):
                if each is not None:
                    self._writers.discard(each)
                    each.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target_reader: asyncio.StreamReader,
        target_writer: asyncio.StreamWriter,
    ) -> None:
        pumps = (
            asyncio.create_task(self._pump(reader, target_writer, is_answer=False)),
            asyncio.create_task(self._pump(target_reader, writer, is_answer=True)),
        )
        try:
            # When one side closes, both are closed: no endpoint of the soak half-closes a connection.
            done, _ = await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for each in done:
                each.result()
        finally:
            for each in pumps:
                each.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        while data := await reader.read(CHUNK):
            await self._wait_to_forward(is_answer)
            writer.write(data)
            await writer.drain()

    async def _wait_to_forward(self, is_answer: bool) -> None:
        """Return when bytes may be forwarded; ``one_way`` holds back only answers."""
        while self.mode == "silent" or (self.mode == "one_way" and is_answer):
            await self._changed.wait()
        if self.mode == "delay":
            await asyncio.sleep(DELAY_S)


async def run(addresses: dict[str, Any]) -> None:
    """Listen on every link and apply commands of the form ``{"link": NAME, "mode": MODE}``."""
    links: dict[str, Link] = {}
    for name, (listen, target) in addresses.items():
        links[name] = Link((target[0], target[1]))
        await asyncio.start_server(links[name].serve, listen[0], listen[1], backlog=512)
    print("up", flush=True)
    await follow_commands(lambda order: links[order["link"]].set_mode(order["mode"]))


if __name__ == "__main__":
    run_standin(run(json.loads(sys.argv[1])))
