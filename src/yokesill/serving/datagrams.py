"""Datagrams between nodes over UDP; what can't be sent is lost and told of."""

import anyio
import anyio.abc

from yokesill.logs import get_logger
from yokesill.serving.settings import Address

_log = get_logger("datagrams")


async def open_datagrams(address: Address) -> anyio.abc.UDPSocket | None:
    """Open a socket; ``None``, with a line in the log, when the port can't be had."""
    try:
        return await anyio.create_udp_socket(local_host=address.host, local_port=address.port)
    except OSError as error:
        _log.error("datagrams_unavailable", address=str(address), problem=repr(error))
        return None


async def send_datagram(socket: anyio.abc.UDPSocket, address: str, data: bytes) -> None:
    """Send to ``IP:PORT``; a datagram that can't be sent is lost, as others are on their way."""
    host, _, port = address.rpartition(":")
    try:
        await socket.sendto(data, host, int(port))
    except OSError as error:
        _log.info("datagram_lost", address=address, problem=repr(error))
