"""``yokesill get``: show documents, their history, or the outcome of a change."""

import yaml
from cleo.helpers import argument, option

from yokesill.cli.admin_client import AdminReply
from yokesill.cli.base import NODE_OPTIONS, BaseCommand, ExitCode
from yokesill.verdict import Failure


class GetCommand(BaseCommand):
    """Shows one document, the list of documents, a history or a change."""

    name = "get"
    description = "Show a document, all keys, a document's history or a change"
    arguments = [argument("key", "key of a document; none: list the keys", optional=True)]
    options = [
        *NODE_OPTIONS,
        option("history", None, "show the document's kept revisions"),
        option("change", None, "show the outcome of the change with this id", flag=False),
    ]

    def handle(self) -> int:
        """Query a node and print the reply."""
        return self.run_async(self._get)

    async def _get(self) -> int:
        client = self.client()
        path = self._path()
        reply = await client.call("GET", path)
        if isinstance(reply, Failure):
            return self.fail_unreachable(client, reply)
        if not reply.ok:
            return self.fail_with_reply(path, reply)
        if self.wants_json:
            self.print_json(reply.body)
        else:
            self._print(reply)
        return int(ExitCode.OK)

    def _path(self) -> str:
        key = self.argument("key")
        if self.option("change"):
            return f"/v1/changes/{self.option('change')}"
        if not key:
            return "/v1/namespaces"
        return f"/v1/history/{key}" if self.option("history") else f"/v1/{key}"

    def _print(self, reply: AdminReply) -> None:
        body = reply.body
        if "objects" in body:
            self.print_table(["key", "revision"], [[key, str(rev)] for key, rev in body["objects"].items()])
        elif "revisions" in body:
            rows = [
                [str(r["revision"]), r["change_id"], str(r["document"] is None)] for r in body["revisions"]
            ]
            self.print_table(["revision", "change", "deleted"], rows)
        elif "document" in body:
            self.line(f"# revision {body['revision']}")
            self.line(yaml.safe_dump({"key": body["key"], **body["document"]}, sort_keys=False).rstrip())
        else:
            self.line(f"{body['outcome']}: revision {body.get('revision')}")
