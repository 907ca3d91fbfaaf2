"""``yokesill demo-queries``: runs stand-ins and a query node in one process and sends queries."""

import random
from importlib import resources
from pathlib import Path
from typing import Any

import anyio
from cleo.helpers import option

from yokesill import logs
from yokesill.access import hash_token
from yokesill.cli.admin_client import AdminClient, AdminReply
from yokesill.cli.apply import apply_document
from yokesill.cli.base import BaseCommand, ExitCode
from yokesill.cli.documents import KeyedDocument
from yokesill.cli.serve import build_node
from yokesill.emulator.running import build_models, start_backends, start_server, start_store
from yokesill.emulator.scenario import Scenario, documents_of, load_scenario, place_servers
from yokesill.emulator.store_model import StoreModel
from yokesill.frontend.app import create_app
from yokesill.node import Node
from yokesill.resources.keys import parse_key
from yokesill.resources.validation import parse_document
from yokesill.settings import Settings
from yokesill.verdict import Failure

HOST = "127.0.0.1"
DEMO_TOKEN = "demo-administrator"
QUERIES_PER_CLASS = 3
READY_POLL_S = 0.05
READY_TIMEOUT_S = 10.0


class DemoQueriesCommand(BaseCommand):
    """Runs the demonstration once and prints the answers."""

    name = "demo-queries"
    description = "Run stand-ins and a node in one process and send a few of the product's own queries"
    options = [option("first-port", None, "first of the ports to use", flag=False, default="7900")]

    def handle(self) -> int:
        """Run the demonstration."""
        logs.configure("warning")
        with resources.as_file(resources.files("yokesill.cli").joinpath("demo.yaml")) as path:
            scenario = load_scenario(Path(path))
        if isinstance(scenario, list):
            return self.fail_with_errors("demo.yaml", scenario)
        return self.run_async(lambda: self._run(scenario))

    async def _run(self, scenario: Scenario) -> int:
        port = int(self.option("first-port"))
        store_port, node_port = port, port + 1
        placed = place_servers(scenario, HOST, port + 2)
        failed = 0
        store = StoreModel()
        async with anyio.create_task_group() as task_group:
            servers = [await start_store(store, HOST, store_port, task_group)]
            models = build_models(placed, random.Random(1))
            servers += await start_backends(scenario, models, task_group)
            node = build_node(demo_settings(f"{HOST}:{node_port}", f"http://{HOST}:{store_port}"))
            servers.append(await start_server(create_app(node), HOST, node_port, task_group))
            async with anyio.create_task_group() as node_task_group:
                node_task_group.start_soon(node.run)
                failed += await self._apply_and_query(node, scenario, documents_of(scenario, placed))
                node.stop()
            store.close()
            for server in servers:
                server.should_exit = True
        return int(ExitCode.FAILED if failed else ExitCode.OK)

    async def _apply_and_query(
        self, node: Node, scenario: Scenario, documents: dict[str, dict[str, Any]]
    ) -> int:
        """Apply the configuration and send the queries; return the number of failed calls."""
        client = AdminClient(node.settings.node.address, DEMO_TOKEN)
        with anyio.fail_after(READY_TIMEOUT_S):
            while not node.ready:
                await anyio.sleep(READY_POLL_S)
        failed = 0
        for key, value in documents.items():
            failed += await self._apply(client, key, value)
        with anyio.fail_after(READY_TIMEOUT_S):
            while any(not each.holdings for each in node.router.servers.all()):
                await anyio.sleep(READY_POLL_S)
        failed += await self._query_all(client, scenario)
        await client.aclose()
        return failed

    async def _apply(self, client: AdminClient, key: str, value: dict[str, Any]) -> int:
        parsed_key = parse_key(key)
        document = parse_document(parsed_key, value) if parsed_key else []
        if isinstance(document, list):
            self.fail_with_errors(key, document)
            return 1
        reply = await apply_document(client, KeyedDocument(key, value, document), dry_run=False)
        if isinstance(reply, Failure) or not reply.ok:
            self.line_error(f"{key}: {reply}")
            return 1
        self.line(f"applied {key}: {reply.body['outcome']} at revision {reply.body.get('revision')}")
        return 0

    async def _query_all(self, client: AdminClient, scenario: Scenario) -> int:
        failed = 0
        rows = []
        for service in scenario.services:
            for load in service.load:
                for number in range(QUERIES_PER_CLASS):
                    body = {
                        "class": load.request_class,
                        "query": {"demo": number},
                        "deadline_ms": load.deadline_ms,
                        "repeatable": load.repeatable,
                    }
                    if load.keyed:
                        body["key"] = f"worker-{number}"
                    path = f"/v1/namespaces/{scenario.namespace}/services/{service.name}/query"
                    reply = await client.call("POST", path, body)
                    failed += isinstance(reply, Failure) or not reply.ok
                    rows.append([service.name, load.request_class, *_row(reply)])
        headers = ["service", "class", "verdict", "coverage", "snapshot", "results", "sample"]
        self.print_table(headers, rows)
        return failed


def demo_settings(address: str, store_url: str) -> Settings:
    """Return settings of the single node of a demonstration."""
    return Settings.model_validate(
        {
            "node": {"address": address, "zone": "z1", "seed": 1},
            "store": {"url": store_url},
            "cluster": {"keys": ["00" * 32]},
            "administration": {"token_sha256": hash_token(DEMO_TOKEN)},
            "limits": {"lame_duck_seconds": 0.0},
        }
    )


def _row(reply: AdminReply | Failure) -> list[str]:
    if isinstance(reply, Failure):
        return [reply.verdict.label, "-", "-", "-", reply.detail]
    body = reply.body
    if not reply.ok:
        return [body["verdict"], "-", "-", "-", f"{body['reason']}: {body['detail']}"]
    snapshot = f"epoch {body['snapshot']['epoch']} version {body['snapshot']['version']}"
    sample = str(body["results"][0]) if body["results"] else ""
    coverage = f"{body['coverage']['fraction']:.3f}"
    return [body["verdict"], coverage, snapshot, str(len(body["results"])), sample]
