"""``yokesill apply``: submit documents through a node's administration API."""

from pathlib import Path

from cleo.helpers import argument, option

from yokesill.cli.admin_client import AdminClient, AdminReply
from yokesill.cli.base import NODE_OPTIONS, BaseCommand, ExitCode
from yokesill.cli.documents import KeyedDocument, read_documents
from yokesill.comm import http_status
from yokesill.verdict import Failure


class ApplyCommand(BaseCommand):
    """Submits the documents of a file one by one; each is applied as a whole or rejected."""

    name = "apply"
    description = "Submit documents (YAML) through a node"
    arguments = [argument("file", "file of documents")]
    options = [*NODE_OPTIONS, option("dry-run", None, "check everything, change nothing")]

    def handle(self) -> int:
        """Check the file, then submit one document after the other."""
        documents, errors = read_documents(Path(self.argument("file")))
        if errors:
            return self.fail_with_errors(self.argument("file"), errors)
        return self.run_async(lambda: self._apply_all(documents))

    async def _apply_all(self, documents: list[KeyedDocument]) -> int:
        client = self.client()
        results = []
        for each in documents:
            reply = await apply_document(client, each, bool(self.option("dry-run")))
            if isinstance(reply, Failure):
                return self.fail_unreachable(client, reply)
            if reply.status == http_status.ACCEPTED:
                message = f"{each.key}: in doubt; ask with: yokesill get --change {reply.body['change_id']}"
                return self.fail(ExitCode.IN_DOUBT, message)
            if not reply.ok:
                return self.fail_with_reply(each.key, reply)
            results.append({"key": each.key, **reply.body})
        if self.wants_json:
            self.print_json(results)
        else:
            rows = [[r["key"], r["outcome"], str(r.get("revision", "-"))] for r in results]
            self.print_table(["key", "outcome", "revision"], rows)
        return int(ExitCode.OK)


async def apply_document(client: AdminClient, each: KeyedDocument, dry_run: bool) -> AdminReply | Failure:
    """Create the document or replace its current revision."""
    current = await client.call("GET", f"/v1/{each.key}")
    if isinstance(current, Failure):
        return current
    headers = {}
    if current.ok:
        if current.body["document"] == each.value:
            return AdminReply(
                http_status.OK, {}, {"outcome": "unchanged", "revision": current.body["revision"]}
            )
        headers["If-Match"] = current.headers["etag"]
    elif current.status != http_status.NOT_FOUND:
        return current
    suffix = "?dry_run=1" if dry_run else ""
    return await client.call("PUT", f"/v1/{each.key}{suffix}", each.value, headers)
