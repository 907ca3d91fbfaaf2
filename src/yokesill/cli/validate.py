"""``yokesill validate``: check documents offline, and show which rule applies to a request."""

import json
from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from yokesill.cli.base import BaseCommand, ExitCode
from yokesill.cli.documents import KeyedDocument, read_documents
from yokesill.policy.compiler import Decision, compile_class
from yokesill.policy.facts import FACT_NAMES, Facts, Stage
from yokesill.resources.documents import Service
from yokesill.resources.validation import DocumentError


class ValidateCommand(BaseCommand):
    """Checks a file of documents without a node."""

    name = "validate"
    description = "Check documents offline; with --request, show which rule applies"
    arguments = [argument("file", "file of documents")]
    options = [
        option("request", None, "JSON file of facts: request_class, deadline_ms, ...", flag=False),
        option("output", "o", "table or json", flag=False, default="table"),
    ]

    def handle(self) -> int:
        """Check the file; with ``--request``, print the rule that applies."""
        source = self.argument("file")
        documents, errors = read_documents(Path(source))
        if errors:
            return self.fail_with_errors(source, errors)
        if not self.option("request"):
            self.line(f"{source}: {len(documents)} documents, no errors")
            return int(ExitCode.OK)
        return self._explain(documents, Path(self.option("request")))

    def _explain(self, documents: list[KeyedDocument], path: Path) -> int:
        facts = _read_facts(path)
        if isinstance(facts, DocumentError):
            return self.fail_with_errors(str(path), [facts])
        rows = []
        for each in documents:
            if isinstance(each.document, Service) and facts.request_class in each.document.classes:
                decision = compile_class(each.document.classes[facts.request_class]).evaluate(facts)
                rows.append(_describe(each.key, facts, decision))
        if not rows:
            message = f"no service of the file has a class {facts.request_class!r}"
            return self.fail(ExitCode.INVALID, message)
        if self.option("output") == "json":
            self.print_json(rows)
        else:
            table = [[row["place"], json.dumps(row["outcome"])] for row in rows]
            self.print_table(["rule", "outcome"], table)
        return int(ExitCode.OK)


def _read_facts(path: Path) -> Facts | DocumentError:
    try:
        values = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        return DocumentError("(file)", str(error))
    if not isinstance(values, dict):
        return DocumentError("(file)", "an object of facts was expected")
    unknown = sorted(set(values) - FACT_NAMES)
    if unknown:
        known = ", ".join(sorted(FACT_NAMES))
        return DocumentError(unknown[0], f"not a fact; known: {known}")
    try:
        values["stage"] = Stage(values.get("stage", Stage.ADMISSION))
    except ValueError as error:
        return DocumentError("stage", str(error))
    return Facts(**values)


def _describe(key: str, facts: Facts, decision: Decision) -> dict[str, Any]:
    place = f"{key} classes.{facts.request_class}.rules.{decision.rule_index}"
    outcome = decision.outcome.model_dump(mode="json", exclude_none=True)
    return {"place": place, "outcome": outcome}
