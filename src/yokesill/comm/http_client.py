"""HTTP client for the control path: httpcore's pool, with failures and verdicts instead of exceptions."""

from dataclasses import dataclass

import anyio
import httpcore

from yokesill.comm.http_status import is_final_status
from yokesill.verdict import Failure, Reason, Verdict

# Limits the memory that one reply can use.
MAX_REPLY_BYTES = 64 * 1024 * 1024
# A call may take its timeout for each of: waiting for a connection, connecting, writing, reading the reply.
TIMEOUTS_PER_CALL = 4


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete reply; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """Sends requests with limits on time, connections and reply size."""

    def __init__(self, max_connections: int = 16) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections, keepalive_expiry=30.0, retries=0
        )

    async def call(
        self,
        method: str,
        url: str,
        timeout: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> HttpReply | Failure:
        """Send one request; ``timeout`` (seconds) applies separately to connecting, writing and reading.

        No call takes longer than four timeouts, however slowly its reply comes. A failure to connect is
        ``NOT_RUN``; any later failure is ``MAY_HAVE_RUN``.
        """
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout)
        raw_headers = [(name.encode(), value.encode()) for name, value in (headers or {}).items()]
        raw_headers.append((b"Content-Length", str(len(body)).encode()))
        if "Host" not in (headers or {}):
            raw_headers.append((b"Host", url.split("/")[2].encode()))
        try:
            with anyio.fail_after(TIMEOUTS_PER_CALL * timeout):
                async with self._pool.stream(
                    method, url, headers=raw_headers, content=body, extensions={"timeout": timeouts}
                ) as response:
                    reply = await _read(response)
        except TimeoutError as error:
            return Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, f"{url}: {error!r}")
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            return Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, f"{url}: {error!r}")
        except httpcore.TimeoutException as error:
            return Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, f"{url}: {error!r}")
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, f"{url}: {error!r}")
        if reply is None:
            return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, f"{url}: reply too large")
        if not is_final_status(reply.status):
            return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, f"{url}: a status of {reply.status}")
        return reply

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


async def _read(response: httpcore.Response) -> HttpReply | None:
    """Return the whole reply, or ``None`` as soon as it is too large."""
    body = bytearray()
    async for part in response.aiter_stream():
        body += part
        if len(body) > MAX_REPLY_BYTES:
            return None
    names = {name.decode().lower(): value.decode("latin-1") for name, value in response.headers}
    return HttpReply(response.status, names, bytes(body))
