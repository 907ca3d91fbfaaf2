"""How many connections this node holds to a server, and its pause after a refused one.

A server that holds as many connections as it can, for instance those of peers that lost power, resets a new
one at once. It is not failing: the attempt never left, and the connections that are open still work.
Ejecting such servers, as failures are, wastes what they can do (``docs/design/overload.md``,
"Connections").

Inputs: each answer, each refused connection, how many are open. Output: this node's limit, never above its
share of what the configuration allows (`Eligibility.connection_limit`), and when to try again, in seconds of
the node's clock. Without the mechanism (``heeds_refusals``) the share alone counts.
"""

# The pause after a refused connection, doubling up to the ceiling until an answer comes.
REFUSAL_PAUSE_S, REFUSAL_PAUSE_CEILING_S = 0.03, 0.24
# Keeps the doubling finite; the ceiling is reached long before.
MAX_DOUBLINGS = 8
# A server is connected to once before it has answered; each answer allows one more, as in slow start. A
# trial without a bound at the start served fewer requests on days with a loss of power.
FIRST_CONNECTIONS = 1
# Growth ends here.
MOST_CONNECTIONS = 256


class ConnectionBackoff:
    """One server's connections.

    ``open`` is how many this node holds, ``refused_until_s`` when the pause after a refused one ends. Where
    it is not ``enabled`` a refused connection is a failure like any other.
    """

    __slots__ = ("_refusals", "_window", "enabled", "open", "refused_until_s")

    def __init__(self, enabled: bool) -> None:
        self.open = 0
        self.refused_until_s = 0.0
        self.enabled = enabled
        self._refusals = 0
        self._window = FIRST_CONNECTIONS

    def limit(self, share: int) -> int:
        """Return how many connections this node may hold, given its share of what is configured."""
        return min(share, self._window) if self.enabled else share

    def answered(self) -> None:
        """Allow one more connection, and forget refusals."""
        self._refusals = 0
        self._window = min(MOST_CONNECTIONS, max(self._window, self.open) + 1)

    def refused(self, now: float) -> None:
        """Keep to the open connections, and pause: more would only be reset as well."""
        self._window = max(FIRST_CONNECTIONS, self.open)
        pause_s = REFUSAL_PAUSE_S * 2.0 ** min(self._refusals, MAX_DOUBLINGS)
        self._refusals += 1
        self.refused_until_s = now + min(pause_s, REFUSAL_PAUSE_CEILING_S)
