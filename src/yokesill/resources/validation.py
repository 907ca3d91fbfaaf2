"""Validates documents, reporting every error at once, each with its place."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from pydantic import TypeAdapter, ValidationError

from yokesill.resources.documents import AnyDocument, Namespace, ReplicaSet, Service, Token
from yokesill.resources.keys import ObjectKey

_ADAPTERS: dict[str, TypeAdapter[Any]] = {
    "namespace": TypeAdapter(Namespace),
    "token": TypeAdapter(Token),
    "service": TypeAdapter(Service),
    "replicaset": TypeAdapter(ReplicaSet),
}


@dataclass(frozen=True, slots=True)
class DocumentError:
    """One error in a document; ``place`` is a dotted path into it."""

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


def parse_document(key: ObjectKey, value: Any) -> AnyDocument | list[DocumentError]:
    """Validate ``value`` against the schema of the kind that is stored at ``key``.

    Returns the document, or every error found. The expressions of policies are not checked here but by
    ``policy.compiler``.
    """
    try:
        document: AnyDocument = _ADAPTERS[key.kind].validate_python(value)
    except ValidationError as error:
        errors = error.errors()
        return [_describe(each) for each in errors if not _is_consequence(each, errors)]
    return document


def _describe(error: Any) -> DocumentError:
    place = ".".join(str(part) for part in error["loc"] if not _is_union_tag(part))
    return DocumentError(place or "(document)", str(error["msg"]).removeprefix("Value error, "))


def _is_consequence(error: Any, errors: Sequence[Any]) -> bool:
    """Whether a list counts as too short only because some of its items are invalid.

    Those items have errors of their own.
    """
    place = error["loc"]
    within = (each for each in errors if each["loc"][: len(place)] == place and len(each["loc"]) > len(place))
    return error["type"] == "too_short" and any(within)


def _is_union_tag(part: object) -> bool:
    return part in ("Serve", "Refuse")
