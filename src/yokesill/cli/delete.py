"""``yokesill delete``: delete one document."""

from cleo.helpers import argument

from yokesill.cli.base import NODE_OPTIONS, BaseCommand, ExitCode
from yokesill.verdict import Failure


class DeleteCommand(BaseCommand):
    """Deletes one document, at its current revision."""

    name = "delete"
    description = "Delete a document"
    arguments = [argument("key", "key of the document")]
    options = list(NODE_OPTIONS)

    def handle(self) -> int:
        """Send the deletion to a node."""
        return self.run_async(self._delete)

    async def _delete(self) -> int:
        client, key = self.client(), self.argument("key")
        current = await client.call("GET", f"/v1/{key}")
        if isinstance(current, Failure):
            return self.fail_unreachable(client, current)
        if not current.ok:
            return self.fail_with_reply(key, current)
        reply = await client.call("DELETE", f"/v1/{key}", None, {"If-Match": current.headers["etag"]})
        if isinstance(reply, Failure):
            return self.fail_unreachable(client, reply)
        if not reply.ok:
            return self.fail_with_reply(key, reply)
        if self.wants_json:
            self.print_json(reply.body)
        else:
            self.line(f"{key} deleted at revision {reply.body['revision']}")
        return int(ExitCode.OK)
