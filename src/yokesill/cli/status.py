"""``yokesill status``: members, the revision each has in force, and leaving servers."""

from typing import Any

from cleo.helpers import option

from yokesill.cli.base import NODE_OPTIONS, BaseCommand, ExitCode
from yokesill.verdict import Failure


class StatusCommand(BaseCommand):
    """Shows the cluster as seen by one node, or stops that node."""

    name = "status"
    description = "Show members and the revisions in force"
    options = [*NODE_OPTIONS, option("stop", None, "begin a planned stop of the node instead")]

    def handle(self) -> int:
        """Query a node and print the reply."""
        return self.run_async(self._status)

    async def _status(self) -> int:
        client = self.client()
        stop = bool(self.option("stop"))
        reply = await client.call("POST", "/v1/stop") if stop else await client.call("GET", "/v1/status")
        if isinstance(reply, Failure):
            return self.fail_unreachable(client, reply)
        if not reply.ok and not (stop and reply.status == 202):
            return self.fail_with_reply("status", reply)
        if self.wants_json:
            self.print_json(reply.body)
        elif stop:
            self.line(f"{client.node} is stopping")
        else:
            self._print(reply.body)
        return int(ExitCode.OK)

    def _print(self, body: dict[str, Any]) -> None:
        force = body["in_force"]
        self.line(f"revision {body['revision']} in force on {force['members']} of {force['of']} members")
        columns = ("address", "zone", "status", "state", "revision", "in_force")
        rows = [[str(member[name]) for name in columns] for member in body["members"]]
        self.print_table(list(columns), rows)
        if body["leaving_servers"]:
            self.line("leaving servers: " + ", ".join(body["leaving_servers"]))
        for key, reason in body["unusable"].items():
            self.line(f"unusable: {key}: {reason}")
