"""``yokesill load``: sends a scenario's open-loop load to nodes and checks their guarantees."""

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from yokesill.cli.base import NODE_OPTIONS, BaseCommand, ExitCode
from yokesill.comm.http_client import HttpClient
from yokesill.emulator.scenario import Scenario, load_scenario, place_servers
from yokesill.emulator.server_model import Execution
from yokesill.loadgen.checkers import check_outcomes
from yokesill.loadgen.http_load import HttpLoad
from yokesill.loadgen.plan import plan_arrivals
from yokesill.loadgen.summary import RunSummary, summarise
from yokesill.verdict import Failure

HOST = "127.0.0.1"
EXECUTIONS_TIMEOUT_S = 20.0


class LoadCommand(BaseCommand):
    """Sends the load, collects the executions of the back ends, checks them and prints a summary."""

    name = "load"
    description = "Send a scenario's load to nodes and check the guarantees"
    arguments = [argument("scenario", "scenario file (YAML)")]
    options = [
        *NODE_OPTIONS,
        option("nodes", None, "IP:PORT of all nodes, comma-separated", flag=False),
        option("seconds", None, "duration in seconds", flag=False, default="10"),
        option("factor", None, "multiplies the scenario's rates", flag=False, default="1"),
        option("first-port", None, "port of the first back end", flag=False, default="7300"),
        option("seed", None, "seed of the arrivals", flag=False, default="1"),
        option("results", None, "file for the results (JSON)", flag=False),
        option("killed", None, "nodes whose callers may be cut off, comma-separated", flag=False),
    ]

    def handle(self) -> int:
        """Run the load."""
        scenario = load_scenario(Path(self.argument("scenario")))
        if isinstance(scenario, list):
            return self.fail_with_errors(self.argument("scenario"), scenario)
        return self.run_async(lambda: self._load(scenario))

    async def _load(self, scenario: Scenario) -> int:
        client = self.client()
        nodes = (self.option("nodes") or client.node).split(",")
        killed = set((self.option("killed") or "").split(","))
        load = HttpLoad(nodes, scenario.namespace, client.token, killed=lambda node: node in killed)
        seconds, factor = float(self.option("seconds")), float(self.option("factor"))
        arrivals = plan_arrivals(scenario, seconds, factor, int(self.option("seed")))
        await load.run(arrivals, self._show_progress)
        executions = await self._executions(scenario)
        records = {service.name: service.records for service in scenario.services}
        violations = check_outcomes(load.outcomes, executions, scenario.namespace, records)
        shard_counts = {service.name: service.shards for service in scenario.services}
        answered = {each.query_id for each in load.outcomes if each.answered}
        needed_requests = sum(1 if o.keyed else shard_counts[o.service] for o in load.outcomes if o.answered)
        executed_requests = sum(1 for each in executions if each.query_id in answered)
        summary = summarise(
            scenario.name, seconds, load.outcomes, executed_requests, needed_requests, violations
        )
        for violation in violations[:10]:
            self.line_error(f"violation: {violation}")
        self._write(summary, load)
        self._print(summary)
        return int(ExitCode.FAILED if violations else ExitCode.OK)

    def _show_progress(self, sent: int, total: int) -> None:
        if sent % max(1, total // 10) == 0:
            self.line_error(f"sent {sent} of {total}")

    async def _executions(self, scenario: Scenario) -> list[Execution]:
        """Collect the logged executions of all back ends."""
        client = HttpClient()
        executions: list[Execution] = []
        for placed in place_servers(scenario, HOST, int(self.option("first-port"))):
            url = f"http://{placed.profile.address}/executions"
            reply = await client.call("GET", url, EXECUTIONS_TIMEOUT_S)
            if not isinstance(reply, Failure):
                executions.extend(Execution(**each) for each in json.loads(reply.body)["executions"])
        await client.aclose()
        return executions

    def _write(self, summary: RunSummary, load: HttpLoad) -> None:
        if not self.option("results"):
            return
        run: dict[str, Any] = asdict(summary)
        run["timeline"] = [[round(o.sent_at, 3), round(o.latency * 1000, 2)] for o in load.outcomes]
        text = json.dumps({"revision": "unknown", "runs": [run]}) + "\n"
        Path(self.option("results")).write_text(text)

    def _print(self, summary: RunSummary) -> None:
        if self.wants_json:
            self.print_json(asdict(summary))
            return
        rows = []
        for name, each in {**summary.classes, "total": summary.total}.items():
            latency = [f"{each.latency_ms.get(p, 0):.1f}" for p in ("p50", "p99", "p99.9")]
            rows.append([name, str(each.sent), str(each.answered), *latency, f"{each.mean_coverage:.4f}"])
        headers = ["class", "sent", "answered", "p50 ms", "p99 ms", "p99.9 ms", "coverage"]
        self.print_table(headers, rows)
        self.line(f"extra load {summary.extra_load:.4f}, violations {summary.violations or 'none'}")
