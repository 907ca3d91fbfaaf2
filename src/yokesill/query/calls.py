"""Messages between nodes for a caller's request and its final answer, in CBOR (pinned by tests/forms)."""

from dataclasses import dataclass
from typing import Any

import cbor2

from yokesill.resources.hashing import HashRange
from yokesill.resources.keys import ServiceName
from yokesill.routing.events import Answer, Refuse
from yokesill.routing.messages import Coverage, Snapshot
from yokesill.verdict import Failure, Reason, Verdict


@dataclass(frozen=True, slots=True)
class QueryCall:
    """A caller's request; ``deadline_ms`` is relative to its arrival."""

    service: ServiceName
    request_class: str
    payload: Any
    size: int
    key: str | None
    deadline_ms: float
    repeatable: bool
    minimum_coverage: float
    idempotency_key: str | None = None

    def fingerprint(self) -> bytes:
        """Return the bytes that must be equal in a repeat with the same idempotency key."""
        return cbor2.dumps([str(self.service), self.request_class, self.payload, self.key, self.repeatable])


def decode_message(data: bytes) -> Any:
    """Decode a message of a peer; raises ``ValueError`` when it is not valid CBOR."""
    try:
        return cbor2.loads(data)
    except (cbor2.CBORDecodeError, RecursionError) as error:
        raise ValueError(f"undecodable message: {error}") from error


def encode_call(call: QueryCall) -> bytes:
    """Encode a call."""
    return cbor2.dumps(
        [
            call.service.namespace,
            call.service.service,
            call.request_class,
            call.payload,
            call.size,
            call.key,
            call.deadline_ms,
            call.repeatable,
            call.minimum_coverage,
            call.idempotency_key,
        ]
    )


def decode_call(data: bytes) -> QueryCall:
    """Decode a call; raises ``ValueError`` or ``TypeError`` when it is malformed."""
    namespace, service, *rest = decode_message(data)
    return QueryCall(ServiceName(namespace, service), *rest)


def encode_final(final: Answer | Refuse) -> bytes:
    """Encode a final answer."""
    coverage = _coverage_to_wire(final.coverage)
    if isinstance(final, Answer):
        snapshot = [final.snapshot.epoch, final.snapshot.version]
        return cbor2.dumps(["a", final.query_id, snapshot, coverage, final.results])
    failure = final.failure
    fields = [failure.reason.value, int(failure.verdict), failure.detail, failure.retry_after_ms]
    return cbor2.dumps(["r", final.query_id, fields, coverage])


def decode_final(data: bytes) -> Answer | Refuse:
    """Decode a final answer; raises ``ValueError`` or ``TypeError`` when it is malformed."""
    tag, query_id, *rest = decode_message(data)
    if tag == "a":
        snapshot, coverage, results = rest
        covered = _coverage_from_wire(coverage)
        if covered is None:
            raise ValueError("an answer without coverage")
        return Answer(query_id, Snapshot(*snapshot), covered, results)
    (reason, verdict, detail, retry_after_ms), coverage = rest
    failure = Failure(Reason(reason), Verdict(verdict), detail, retry_after_ms)
    return Refuse(query_id, failure, _coverage_from_wire(coverage))


def _coverage_to_wire(coverage: Coverage | None) -> list[Any] | None:
    if coverage is None:
        return None
    missing = [[each.start, each.end] for each in coverage.missing]
    return [coverage.asked_width, coverage.covered_width, missing]


def _coverage_from_wire(item: Any) -> Coverage | None:
    if item is None:
        return None
    asked, covered, missing = item
    return Coverage(asked, covered, tuple(HashRange(start=low, end=high) for low, high in missing))
