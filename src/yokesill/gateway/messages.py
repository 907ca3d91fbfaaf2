"""Values exchanged between the gateway's decisions and its I/O: requests, attempts, replies.

Values only, without behaviour. Points in time are in seconds of the node's clock.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from yokesill.gateway.documents import ServerRecord
from yokesill.verdict import Verdict

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class GatewayRequest:
    """A caller's request, read completely.

    ``key`` identifies it within this node; ``request_id`` is the caller's own identifier.
    ``arrived_at_s`` is in seconds of the node's clock; ``caller_timeout_s`` is how long the caller waits from
    then on, in seconds (``None`` if it did not say). ``fresh_connection`` is set if the caller connected for
    this request, which took time before it arrived. ``possibly_sent`` is set if another node may have sent it
    to servers already, so that sending it now may repeat it.
    """

    key: str
    request_id: str
    method: bytes
    host: str
    path: str
    target: bytes
    headers: Headers
    body: bytes
    arrived_at_s: float
    caller_timeout_s: float | None
    fresh_connection: bool = True
    possibly_sent: bool = False


class Load(NamedTuple):
    """A server's own load report: requests running and waiting, and its slots.

    ``work_percent`` is how long work takes there now, in percent of the usual time (100 is as usual).
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = 100


class ServerReply(NamedTuple):
    """A server's complete answer, with its headers as received.

    ``signature`` is the server's proof that it ran the request.
    """

    status: int
    headers: Headers
    body: bytes
    signature: bytes | None = None
    load: Load | None = None

    @property
    def succeeded(self) -> bool:
        """Whether the answer is a signed success."""
        return 200 <= self.status < 300 and self.signature is not None

    @property
    def is_server_error(self) -> bool:
        """Whether the server failed; with lower statuses it handled the request."""
        return self.status >= 500


class Attempt(NamedTuple):
    """One attempt of a request at one server; ``deadline_at_s`` is in seconds of the node's clock.

    ``repeatable`` requests may run more than once.
    """

    number: int
    request: GatewayRequest
    server: ServerRecord
    connection_limit: int
    deadline_at_s: float
    repeatable: bool = True


class RequestSummary(NamedTuple):
    """The outcome of a request, for logs and metrics; times in seconds.

    ``covered`` of its ``asked`` services replied. ``waited_s`` is the longest time that one of its calls
    waited for pacing slots. ``left_out`` are the services that no attempt was sent to because the answer did
    not need them. ``late`` is set if its answer came after its latency objective.
    """

    route: str
    version: int
    verdict: Verdict
    elapsed_s: float
    covered: int = 1
    asked: int = 1
    attempts: int = 0
    extra_attempts: int = 0
    missing: tuple[str, ...] = field(default=())
    left_out: tuple[str, ...] = field(default=())
    waited_s: float = 0.0
    late: bool = False
