"""Plain HTTP calls of the control path, over httpcore's pool, with verdicts instead of exceptions."""

from dataclasses import dataclass

import httpcore

from yokesill.verdict import Failure, Reason, Verdict

# Bounds the memory that one reply can use.
MAXIMUM_REPLY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A reply that was read to its end."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """Sends requests; bounded in time, connections and size of reply."""

    def __init__(self, maximum_connections: int = 16) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=maximum_connections, keepalive_expiry=30.0, retries=0
        )

    async def call(
        self,
        method: str,
        url: str,
        timeout: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> HttpReply | Failure:
        """Send one request; ``timeout`` (s) bounds each of connecting, writing and reading.

        A failure to connect is ``NOT_RUN``; any later one is ``MAY_HAVE_RUN``.
        """
        times = dict.fromkeys(("connect", "read", "write", "pool"), timeout)
        raw_headers = [(name.encode(), value.encode()) for name, value in (headers or {}).items()]
        raw_headers.append((b"Content-Length", str(len(body)).encode()))
        if "Host" not in (headers or {}):
            raw_headers.append((b"Host", url.split("/")[2].encode()))
        try:
            reply = await self._pool.request(
                method, url, headers=raw_headers, content=body, extensions={"timeout": times}
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            return Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, f"{url}: {error!r}")
        except httpcore.TimeoutException as error:
            return Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, f"{url}: {error!r}")
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, f"{url}: {error!r}")
        if len(reply.content) > MAXIMUM_REPLY_BYTES:
            return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, f"{url}: reply too large")
        names = {name.decode().lower(): value.decode("latin-1") for name, value in reply.headers}
        return HttpReply(reply.status, names, reply.content)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
