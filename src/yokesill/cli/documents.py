"""Reads YAML files of documents; each document carries its ``key``."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from yokesill.policy.compiler import validate_service
from yokesill.resources.documents import AnyDocument, Service
from yokesill.resources.keys import parse_key
from yokesill.resources.validation import DocumentError, parse_document


@dataclass(frozen=True, slots=True)
class KeyedDocument:
    """A valid document with its key, as written and as parsed."""

    key: str
    value: dict[str, Any]
    document: AnyDocument


def read_documents(path: Path) -> tuple[list[KeyedDocument], list[DocumentError]]:
    """Read and validate the documents of a file; return the valid ones and the errors with locations."""
    try:
        items = [each for each in yaml.safe_load_all(path.read_text()) if each is not None]
    except (OSError, yaml.YAMLError) as error:
        return [], [DocumentError(str(path), " ".join(str(error).split()))]
    documents: list[KeyedDocument] = []
    errors: list[DocumentError] = []
    for index, item in enumerate(items):
        result = _read_one(item)
        if isinstance(result, KeyedDocument):
            documents.append(result)
        else:
            errors.extend(
                DocumentError(f"document {index + 1}: {each.place}", each.message) for each in result
            )
    return documents, errors


def _read_one(item: Any) -> KeyedDocument | list[DocumentError]:
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        return [DocumentError("key", "every document needs a key, such as namespaces/lima/services/hours")]
    value = {name: each for name, each in item.items() if name != "key"}
    key = parse_key(item["key"])
    if key is None:
        return [DocumentError("key", f"{item['key']!r} is not a key")]
    parsed = parse_document(key, value)
    if isinstance(parsed, list):
        return parsed
    errors = validate_service(parsed) if isinstance(parsed, Service) else []
    return errors or KeyedDocument(key.text, value, parsed)
