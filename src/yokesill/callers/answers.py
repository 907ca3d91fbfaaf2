"""Converts a request's final answer into an HTTP status, headers and body.

This is the only module that maps refusals to statuses: 503 guarantees that no server ran the request, 502 and
504 mean that one may have. The mapping relies on the verdict that the gateway sets in each failure.

To callers four statuses are promises that the request has not run. A server that says so with the proper
header never gets here as an answer; one that does here has run the request, whatever its status.
"""

from typing import NamedTuple

from yokesill.callers.headers import are_writable, end_to_end_headers
from yokesill.comm.http_status import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    NOT_FOUND,
    NOT_RUN_STATUSES,
    OK,
    UNAVAILABLE,
    is_final_status,
)
from yokesill.gateway.events import FinalAnswer, Gathered, PassOn, Refuse
from yokesill.gateway.messages import Headers
from yokesill.gateway.requests import refusal
from yokesill.serving.header_names import HeaderNames
from yokesill.verdict import Reason, Verdict


class HttpAnswer(NamedTuple):
    """An HTTP response to a caller; ``outcome`` is its label in logs and metrics."""

    status: int
    headers: Headers
    body: bytes
    outcome: str


def is_writable(status: int, headers: Headers) -> bool:
    """Whether an answer with this status and these headers is one of HTTP/1.1."""
    return is_final_status(status) and are_writable(headers)


def deliverable(final: FinalAnswer) -> FinalAnswer:
    """Return the final answer, or a refusal in place of a server's answer that must not reach a caller.

    That is, one that would promise "not run", and one that can't be written.
    """
    if not isinstance(final, PassOn):
        return final
    reply = final.reply
    if reply.status in NOT_RUN_STATUSES:
        return Refuse(final.key, refusal.status_withheld(reply.status), final.summary)
    if not is_writable(reply.status, reply.headers):
        return Refuse(final.key, refusal.unwritable_answer(reply.status), final.summary)
    return final


def to_http(final: FinalAnswer, request_id: str, names: HeaderNames) -> HttpAnswer:
    """Return the HTTP response for a final answer."""
    match final:
        case PassOn(_, reply):
            outcome = "answered" if reply.succeeded else "server_failure"
            return HttpAnswer(reply.status, end_to_end_headers(reply.headers), reply.body, outcome)
        case Gathered():
            return _gathered(final, request_id, names)
        case Refuse():
            return refused(final, request_id, names)


def _gathered(final: Gathered, request_id: str, names: HeaderNames) -> HttpAnswer:
    headers: Headers = (
        (names.request_id, request_id.encode("latin-1")),
        (b"content-type", b"application/octet-stream"),
        (names.parts, b", ".join(final.signatures)),
        (names.missing, str(final.missing).encode()),
    )
    return HttpAnswer(OK, headers, final.records, "partial" if final.missing else "answered")


def refused(final: Refuse, request_id: str, names: HeaderNames) -> HttpAnswer:
    """Return a refusal: a status that guarantees no more than the verdict, and when to retry."""
    failure = final.failure
    headers: Headers = (
        (names.request_id, request_id.encode("latin-1")),
        (b"content-type", b"text/plain; charset=utf-8"),
    )
    status = _status_of(failure.reason, failure.verdict)
    if failure.retry_after_ms:
        headers = (*headers, (b"retry-after", f"{failure.retry_after_ms / 1000:.3f}".encode()))
    body = f"{failure.reason.value} ({failure.verdict.label}): {failure.detail}\n".encode()
    return HttpAnswer(status, headers, body, failure.reason.value)


def _status_of(reason: Reason, verdict: Verdict) -> int:
    if reason is Reason.UNKNOWN_SERVICE:
        return NOT_FOUND
    if verdict is Verdict.NOT_RUN:
        return UNAVAILABLE
    return GATEWAY_TIMEOUT if reason is Reason.TIMED_OUT else BAD_GATEWAY
