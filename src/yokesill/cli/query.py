"""``yokesill query``: send one query, as a caller would."""

import json

from cleo.helpers import argument, option

from yokesill.cli.base import NODE_OPTIONS, BaseCommand, ExitCode
from yokesill.verdict import Failure


class QueryCommand(BaseCommand):
    """Sends one query and prints the number of results, the coverage and the snapshot."""

    name = "query"
    description = "Send one query"
    arguments = [argument("service", "NAMESPACE/SERVICE"), argument("class", "request class")]
    options = [
        *NODE_OPTIONS,
        option("key", None, "ask only the shard that owns this key", flag=False),
        option("query", None, "the query, as JSON", flag=False, default="null"),
        option("deadline-ms", None, "deadline in milliseconds", flag=False, default="1000"),
        option("once", None, "the request is not repeatable: run it at most once"),
        option("idempotency-key", None, "recognise repeats by this key", flag=False),
    ]

    def handle(self) -> int:
        """Send the query."""
        return self.run_async(self._query)

    async def _query(self) -> int:
        client = self.client()
        namespace, _, service = str(self.argument("service")).partition("/")
        try:
            body = {
                "class": self.argument("class"),
                "query": json.loads(self.option("query")),
                "deadline_ms": float(self.option("deadline-ms")),
                "repeatable": not self.option("once"),
            }
        except ValueError as error:
            return self.fail(ExitCode.USAGE, f"--query takes JSON and --deadline-ms a number: {error}")
        if self.option("key"):
            body["key"] = self.option("key")
        headers = {}
        if self.option("idempotency-key"):
            headers["Idempotency-Key"] = self.option("idempotency-key")
        path = f"/v1/namespaces/{namespace}/services/{service}/query"
        reply = await client.call("POST", path, body, headers)
        if isinstance(reply, Failure):
            return self.fail_unreachable(client, reply)
        if self.wants_json:
            self.print_json(reply.body)
            return int(ExitCode.OK if reply.ok else ExitCode.REFUSED)
        if not reply.ok:
            return self.fail_with_reply(f"{namespace}/{service} ({reply.body.get('verdict')})", reply)
        coverage, snapshot = reply.body["coverage"], reply.body["snapshot"]
        self.line(
            f"{len(reply.body['results'])} results, coverage {coverage['fraction']:.3f}, "
            f"snapshot epoch {snapshot['epoch']} version {snapshot['version']}"
        )
        return int(ExitCode.OK)
