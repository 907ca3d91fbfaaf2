"""``yokesill rollouts``: the roll-outs on a gateway node, with stage, share, counts and time left."""

from typing import Any

from yokesill.cli.base import NODE_OPTIONS, BaseCommand, ExitCode
from yokesill.verdict import Failure

PATH = "/rollouts"
COLUMNS = (
    "service",
    "target",
    "state",
    "share",
    "elapsed_s",
    "left_s",
    "sent_old",
    "sent_new",
    "new_answers",
    "new_failures",
    "waits_for_nodes",
    "reason",
)


class RolloutsCommand(BaseCommand):
    """Lists roll-outs; ``--node`` is the address where the node serves readiness and metrics."""

    name = "rollouts"
    description = "List the roll-outs on a gateway node"
    options = list(NODE_OPTIONS)

    def handle(self) -> int:
        """Query a node and print its roll-outs."""
        return self.run_async(self._list)

    async def _list(self) -> int:
        client = self.client()
        reply = await client.call("GET", PATH)
        if isinstance(reply, Failure):
            return self.fail_unreachable(client, reply)
        if not reply.ok:
            return self.fail(
                ExitCode.FAILED, f"{client.node} does not serve roll-outs (status {reply.status})"
            )
        if self.wants_json:
            self.print_json(reply.body)
            return int(ExitCode.OK)
        self._print(reply.body)
        return int(ExitCode.OK)

    def _print(self, view: dict[str, Any]) -> None:
        decides = "decides: its counts are of all nodes" if view["deciding"] else "does not decide"
        self.line(f"{view['node']} {decides}; {len(view['orders'])} orders")
        rows = [[str(order[name]) for name in COLUMNS] for order in view["orders"]]
        self.print_table(list(COLUMNS), rows)
