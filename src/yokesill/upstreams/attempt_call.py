"""The state of one attempt in progress, from waiting for a connection until it ends.

``ServerClient`` owns the calls. Their states and verdicts are defined by ``charts/attempt.yaml``.
"""

from collections.abc import Callable

from yokesill.gateway.events import AttemptAnswered, AttemptFailed
from yokesill.gateway.messages import Attempt
from yokesill.upstreams.connection_set import ServerConnectionPool
from yokesill.upstreams.connections import ServerConnection
from yokesill.verdict import Verdict

VERDICT_OF_STATE = {
    "never_sent": Verdict.NOT_RUN,
    "declined": Verdict.NOT_RUN,
    "in_doubt": Verdict.MAY_HAVE_RUN,
}

Outcome = AttemptAnswered | AttemptFailed
DoneCallback = Callable[[Outcome], None]


class AttemptCall:
    """One attempt in progress.

    ``waiter`` is set while it waits for a connection of its server, ``opening`` while it waits until the node
    may open one more connection, ``connection`` afterwards. ``connected_in_s`` is how
    long opening the connection took, ``None`` for a reused one. ``sent_at`` is in seconds of the node's
    clock.
    """

    __slots__ = (
        "attempt",
        "connected_in_s",
        "connection",
        "connections",
        "done",
        "opening",
        "sent_at",
        "state",
        "waiter",
    )

    def __init__(self, attempt: Attempt, connections: ServerConnectionPool, done: DoneCallback) -> None:
        self.attempt = attempt
        self.connections = connections
        self.done = done
        self.connection: ServerConnection | None = None
        self.connected_in_s: float | None = None
        self.sent_at: float | None = None
        self.state = "connecting"
        self.waiter: Callable[[ServerConnection | None], None] | None = None
        self.opening: Callable[[ServerConnection | None], None] | None = None
