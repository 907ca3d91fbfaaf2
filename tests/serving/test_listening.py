"""Socket options of accepted caller connections."""

import asyncio
import socket

from yokesill.callers.sockets import listen


def test_accepted_connections_have_nagles_algorithm_disabled() -> None:
    async def accept_one() -> int:
        accepted: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        class Accepting(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                opened = transport.get_extra_info("socket")
                accepted.set_result(opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
                transport.close()

        listening = listen("127.0.0.1", 0)
        server = await asyncio.get_running_loop().create_server(Accepting, sock=listening)
        async with server:
            _, writer = await asyncio.open_connection(*listening.getsockname())
            writer.close()
            return await accepted

    assert asyncio.run(accept_one()) != 0
