"""The servers that are leaving, as far as a node knows, whatever told it."""

from collections.abc import Callable

from yokesill.cluster.gossip import Gossip
from yokesill.membership.rumors import ServerNotice


class LeavingServers:
    """Joins the machine list, peers and the servers' own replies into one set.

    ``tell_router`` is called for each news; ``incarnation_of`` returns the incarnation that a
    server is known to have now, empty when it is not known.
    """

    def __init__(
        self,
        gossip: Gossip,
        tell_router: Callable[[ServerNotice], None],
        incarnation_of: Callable[[str], str],
    ) -> None:
        self._gossip = gossip
        self._tell_router = tell_router
        self._incarnation_of = incarnation_of
        self._notices: dict[str, ServerNotice] = {}

    def all(self) -> list[ServerNotice]:
        """Return every notice, for nodes that have just started and for services that are new."""
        return list(self._notices.values())

    def learn(self, notice: ServerNotice) -> None:
        """Give a leaving server no new work, and pass it on the first time.

        The machine list names no incarnation: it means the one that the server has now.
        """
        if not notice.incarnation:
            notice = ServerNotice(notice.address, self._incarnation_of(notice.address))
        if self._notices.get(notice.address) == notice:
            return
        self._notices[notice.address] = notice
        self._gossip.spread([notice])
        self._tell_router(notice)
