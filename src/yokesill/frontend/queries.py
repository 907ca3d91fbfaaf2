"""The query resource: ``POST /v1/namespaces/{ns}/services/{svc}/query``."""

import math
from typing import Any

import anyio
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from yokesill.frontend.http import JsonError, read_json, require_grant
from yokesill.node import Node
from yokesill.query.calls import QueryCall
from yokesill.query.driver import FinalAnswer
from yokesill.resources.documents import Role
from yokesill.resources.keys import ServiceName
from yokesill.resources.validation import DocumentError
from yokesill.routing.events import Answer, Refuse
from yokesill.routing.messages import Coverage
from yokesill.verdict import Reason, Verdict

MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 200
STATUS_OF_REASON = {
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_CLASS: 404,
    Reason.KEY_REUSED: 422,
    Reason.OVERLOADED: 429,
    Reason.SHED: 429,
    Reason.POLICY_REFUSED: 429,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.TIMED_OUT: 504,
}
DEFAULT_STATUS = 503


class QueryBody(BaseModel):
    """The JSON body of a query request."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    request_class: str = Field(alias="class", max_length=64)
    query: Any = None
    key: str | None = Field(default=None, max_length=1024)
    deadline_ms: float = Field(gt=0)
    repeatable: bool = True
    minimum_coverage: float = Field(default=0.0, ge=0, le=1)


class QueryController:
    """Answers callers' queries."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def post(self, request: Request) -> Response:
        """Authorise, read, run and answer one query."""
        service = ServiceName(request.path_params["namespace"], request.path_params["service"])
        require_grant(self._node.access, request, service.namespace, Role.CALLER)
        call = await self._read_call(request, service)
        final = await self._run(request, call)
        if final is None:
            return Response(status_code=499)
        response = answer_response(final) if isinstance(final, Answer) else refusal_response(final)
        if not self._node.ready:
            response.headers["Connection"] = "close"
        return response

    async def _read_call(self, request: Request, service: ServiceName) -> QueryCall:
        limits = self._node.settings.limits
        value, size = await read_json(request, limits.body_bytes)
        try:
            body = QueryBody.model_validate(value)
        except ValidationError as error:
            errors = [
                DocumentError(".".join(map(str, each["loc"])) or "(body)", each["msg"])
                for each in error.errors()
            ]
            raise JsonError(400, "invalid_request", "the body has errors", errors) from error
        idempotency_key = request.headers.get("idempotency-key")
        if idempotency_key is not None and not 0 < len(idempotency_key) <= MAXIMUM_IDEMPOTENCY_KEY_LENGTH:
            detail = f"Idempotency-Key must have 1 to {MAXIMUM_IDEMPOTENCY_KEY_LENGTH} characters"
            raise JsonError(400, "invalid_request", detail)
        return QueryCall(
            service=service,
            request_class=body.request_class,
            payload=body.query,
            size=size,
            key=body.key,
            deadline_ms=min(body.deadline_ms, limits.deadline_ms),
            repeatable=body.repeatable,
            minimum_coverage=body.minimum_coverage,
            idempotency_key=idempotency_key,
        )

    async def _run(self, request: Request, call: QueryCall) -> FinalAnswer | None:
        """Run the query; cancel it and return ``None`` when the caller disconnects."""
        final: FinalAnswer | None = None

        async def watch_caller() -> None:
            while (await request.receive())["type"] != "http.disconnect":
                pass
            task_group.cancel_scope.cancel()

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(watch_caller)
            final = await self._node.query(call)
            task_group.cancel_scope.cancel()
        return final


def answer_response(answer: Answer) -> JSONResponse:
    """Return the HTTP response of an answer."""
    return JSONResponse(
        {
            "request_id": answer.query_id,
            "verdict": Verdict.RAN.label,
            "snapshot": {"epoch": answer.snapshot.epoch, "version": answer.snapshot.version},
            "coverage": _coverage(answer.coverage),
            "results": answer.results,
        }
    )


def refusal_response(refuse: Refuse) -> JSONResponse:
    """Return the HTTP response of a refusal, with its Retry-After."""
    failure = refuse.failure
    body: dict[str, Any] = {
        "request_id": refuse.query_id,
        "verdict": failure.verdict.label,
        "reason": failure.reason.value,
        "detail": failure.detail,
        "retry_after_ms": failure.retry_after_ms,
    }
    if refuse.coverage is not None:
        body["coverage"] = _coverage(refuse.coverage)
    status = STATUS_OF_REASON.get(failure.reason, DEFAULT_STATUS)
    headers = {"Retry-After": str(math.ceil(failure.retry_after_ms / 1000))}
    return JSONResponse(body, status, headers)


def _coverage(coverage: Coverage) -> dict[str, Any]:
    return {
        "fraction": coverage.fraction,
        "covered": coverage.covered_width,
        "missing": [[each.start, each.end] for each in coverage.missing],
    }
