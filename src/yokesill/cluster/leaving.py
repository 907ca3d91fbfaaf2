"""The leaving servers that a node knows of, from every source."""

from collections.abc import Callable

from yokesill.cluster.gossip import Gossip
from yokesill.membership.rumors import ServerNotice


class LeavingServers:
    """Merges notices from the machine list, from peers and from the servers' own replies.

    ``notify_router`` is called for each new notice. ``incarnation_of`` returns the current incarnation
    of a server, or an empty text when it is unknown.
    """

    def __init__(
        self,
        gossip: Gossip,
        notify_router: Callable[[ServerNotice], None],
        incarnation_of: Callable[[str], str],
    ) -> None:
        self._gossip = gossip
        self._notify_router = notify_router
        self._incarnation_of = incarnation_of
        self._notices: dict[str, ServerNotice] = {}

    def all(self) -> list[ServerNotice]:
        """Return every notice, for nodes that have just started and for newly installed services."""
        return list(self._notices.values())

    def learn(self, notice: ServerNotice) -> None:
        """Stop sending new work to a leaving server, and gossip a notice that is new.

        The machine list names no incarnation, so its notices apply to the server's current one.
        """
        if not notice.incarnation:
            notice = ServerNotice(notice.address, self._incarnation_of(notice.address))
        if self._notices.get(notice.address) == notice:
            return
        self._notices[notice.address] = notice
        self._gossip.spread([notice])
        self._notify_router(notice)
