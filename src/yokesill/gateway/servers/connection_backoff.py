"""Limits the connections to one server, and backs off after a refused connection.

A server that holds as many connections as it can, for instance those of peers that lost power, resets a new
one at once. It is not failing: the attempt was never sent, and open connections still work. Ejecting such
servers, as for failures, wastes their capacity (``docs/design/overload.md``, "Connections").

Inputs: each answer, each refused connection, the number of open connections. Output: this node's limit, which
never exceeds its share of what the configuration allows (`Eligibility.connection_limit`), and when to try
again, in seconds of the node's clock. If the mechanism is switched off (``heeds_refusals``), only the share
applies.
"""

# The pause after a refused connection, which doubles up to the maximum until the server answers.
INITIAL_REFUSAL_PAUSE_S, MAX_REFUSAL_PAUSE_S = 0.03, 0.24
# Keeps the power of two finite; the maximum pause is reached much earlier.
MAX_DOUBLINGS = 8
# Only one connection is opened until a server has answered; each answer allows one more, as in TCP slow
# start. A trial without an initial limit served fewer requests on days with a power loss.
INITIAL_CONNECTIONS = 1
# The limit does not grow beyond this.
MAX_CONNECTIONS = 256


class ConnectionBackoff:
    """The connection limit and backoff of one server.

    ``open`` is the number of connections that this node holds, ``refused_until_s`` the end of the pause after
    a refused one. If not ``enabled``, a refused connection is a failure like any other.
    """

    __slots__ = ("_refusals", "_window", "enabled", "open", "refused_until_s")

    def __init__(self, enabled: bool) -> None:
        self.open = 0
        self.refused_until_s = 0.0
        self.enabled = enabled
        self._refusals = 0
        self._window = INITIAL_CONNECTIONS

    def limit(self, share: int) -> int:
        """Return how many connections this node may hold, given its share of the configured limit."""
        return min(share, self._window) if self.enabled else share

    def answered(self) -> None:
        """Allow one more connection, and reset the backoff."""
        self._refusals = 0
        self._window = min(MAX_CONNECTIONS, max(self._window, self.open) + 1)

    def refused(self, now: float) -> None:
        """Limit connections to the open ones and back off, since further ones would be reset as well."""
        self._window = max(INITIAL_CONNECTIONS, self.open)
        pause_s = INITIAL_REFUSAL_PAUSE_S * 2.0 ** min(self._refusals, MAX_DOUBLINGS)
        self._refusals += 1
        self.refused_until_s = now + min(pause_s, MAX_REFUSAL_PAUSE_S)
