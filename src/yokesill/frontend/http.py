"""Helpers of the HTTP controllers: bounded reading of bodies, authorisation and error replies."""

import json
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse

from yokesill.access import Access, Grant
from yokesill.resources.documents import Role
from yokesill.resources.validation import DocumentError
from yokesill.verdict import Verdict


class JsonError(Exception):
    """Ends a request with an error reply; raised only within the HTTP controllers."""

    def __init__(
        self,
        status: int,
        reason: str,
        detail: str,
        errors: list[DocumentError] | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail
        self.errors = errors or []
        self.headers = headers

    def reply(self) -> JSONResponse:
        """Return the error reply; its verdict is "not run", since nothing was done before the error."""
        body: dict[str, Any] = {
            "verdict": Verdict.NOT_RUN.label,
            "reason": self.reason,
            "detail": self.detail,
            "retry_after_ms": 0,
        }
        if self.errors:
            body["errors"] = [{"place": each.place, "message": each.message} for each in self.errors]
        return JSONResponse(body, self.status, self.headers)


async def json_error_handler(_request: Request, error: Exception) -> JSONResponse:
    """Turn a ``JsonError`` into its reply."""
    if isinstance(error, JsonError):
        return error.reply()
    return JsonError(500, "internal_error", "see the node's log").reply()


async def read_body(request: Request, limit: int) -> bytes:
    """Read a body of at most ``limit`` bytes."""
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > limit:
            raise JsonError(413, "body_too_large", f"the body is larger than {limit} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


async def read_json(request: Request, limit: int) -> tuple[Any, int]:
    """Read a JSON body; return it and its size in bytes."""
    body = await read_body(request, limit)
    try:
        return json.loads(body), len(body)
    except (ValueError, RecursionError) as error:
        raise JsonError(400, "malformed_json", f"the body is not JSON: {error}") from error


def require_grant(access: Access, request: Request, namespace: str, role: Role) -> Grant:
    """Return the grant of the request's token; raise a ``JsonError`` with 401 or 403 if it lacks ``role``."""
    grant = access.find_grant(request.headers.get("authorization"))
    if grant is None:
        headers = {"WWW-Authenticate": "Bearer"}
        raise JsonError(401, "unauthenticated", "a valid bearer token is needed", headers=headers)
    if not grant.allows(namespace, role):
        detail = f"the token is a {grant.role} of {grant.namespace}; {role} of {namespace} is needed"
        raise JsonError(403, "forbidden", detail)
    return grant
