"""Encodes attempts as HTTP requests to servers, and interprets the replies.

Decides which replies count as this attempt's answer, and which guarantee that the request did not run. Header
names come from ``serving.header_names``. Stateless.

Servers name the request in each reply. A faulty one may send a surplus reply late, in the place of the next
one, so only a reply with the request's own id says anything about it. One exception: on a connection that has
carried no other request, a rejection without an id can mean no other one.
"""

import enum
import math
from typing import Any

from yokesill.comm.http_reply import HttpReplyReader
from yokesill.comm.http_status import BAD_REQUEST, MISDIRECTED, SERVER_ERROR
from yokesill.comm.numbers import MAX_NUMBER, parse_digits
from yokesill.gateway.messages import Attempt, GatewayRequest, Load, ServerReply
from yokesill.serving.header_names import HeaderNames
from yokesill.verdict import Failure, Reason, Verdict

# A load report has three numbers, or four with the service time in percent.
LOAD_FIELDS = 3
LOAD_FIELDS_WITH_SERVICE_TIME = 4


class _Addressee(enum.Enum):
    """Which request the id in a reply names, in words for the log."""

    THIS = "the answer names this request"
    OTHER = "the answer names another request"
    NONE = "the answer names no request"


def encode_attempt(attempt: Attempt, names: HeaderNames, remaining_s: float) -> bytes:
    """Return an attempt's bytes: the caller's request with the remaining time as its deadline.

    Parameters
    ----------
    attempt
        The request, and the incarnation of the server that it is for.
    names
        The names of the headers exchanged with servers.
    remaining_s
        The time until the attempt's deadline, in seconds; sent in whole milliseconds.
    """
    request = attempt.request
    remaining_ms = max(1, math.floor(remaining_s * 1000))
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    replaced = (names.deadline, names.expect_instance)
    lines.extend([name + b": " + value for name, value in request.headers if name not in replaced])
    lines.append(names.deadline + b": %d" % remaining_ms)
    lines.append(names.expect_instance + b": " + attempt.server.instance.encode())
    if request.body or _needs_content_length(request):
        lines.append(b"content-length: %d" % len(request.body))
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + request.body


def read_reply(
    attempt: Attempt,
    reader: HttpReplyReader,
    headers: dict[bytes, bytes],
    names: HeaderNames,
    first_exchange: bool,
) -> ServerReply | Failure:
    """Interpret a server's reply to this attempt.

    Parameters
    ----------
    attempt
        The attempt that the reply was read for.
    reader, headers
        The whole reply, and its headers by name.
    names
        The names of the headers exchanged with servers.
    first_exchange
        Whether the connection has carried no request before this one.

    Returns
    -------
    ServerReply or Failure
        ``Failure`` with ``NOT_RUN`` if the server declined this very request; with ``MAY_HAVE_RUN`` if the
        reply may belong to another request, or must not be passed on.
    """
    addressee = _addressee(attempt, reader, names)
    declined = _declined(reader.status, names.not_executed in headers)
    is_told = addressee is _Addressee.THIS or (addressee is _Addressee.NONE and first_exchange)
    if declined is not None and is_told:
        return declined
    if addressee is not _Addressee.THIS:
        return Failure(Reason.FOREIGN_REPLY, Verdict.MAY_HAVE_RUN, addressee.value)
    signature = headers.get(names.signature)
    if reader.status < SERVER_ERROR:
        if b"content-encoding" in headers:
            return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, "an answer with a content coding")
        if signature is None:
            return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, "an answer without a signature")
    if names.not_executed in headers:
        return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, "not executed, but not a failure")
    load = _parse_load(headers.get(names.load))
    return ServerReply(reader.status, tuple(reader.headers), reader.body, signature, load)


def _addressee(attempt: Attempt, reader: HttpReplyReader, names: HeaderNames) -> _Addressee:
    """Return which request the id in a reply names."""
    echoed = [value for name, value in reader.headers if name == names.request_id]
    if not echoed:
        return _Addressee.NONE
    own = echoed == [attempt.request.request_id.encode("latin-1")]
    return _Addressee.THIS if own else _Addressee.OTHER


def _declined(status: int, not_executed: bool) -> Failure | None:
    """Return what a reply says that declines a request, ``None`` for any other one."""
    if status == MISDIRECTED:
        return Failure(Reason.BACKEND_LEAVING, Verdict.NOT_RUN, "another server has its address")
    if not_executed and status >= BAD_REQUEST:
        return Failure(Reason.SHED, Verdict.NOT_RUN, f"not executed, status {status}")
    return None


def _needs_content_length(request: GatewayRequest) -> bool:
    """Whether a ``Content-Length`` is needed even for an empty body."""
    return request.method in (b"POST", b"PUT", b"PATCH")


def _parse_load(value: bytes | None) -> Load | None:
    """Parse ``RUNNING,WAITING,SLOTS``, optionally followed by the service time in percent.

    Returns ``None`` for anything else without logging it: load reports are optional, and a server with
    malformed ones would cause a log line for each reply.
    """
    if value is None:
        return None
    numbers = [parse_digits(field) for field in value.split(b",")]
    known = len(numbers) in (LOAD_FIELDS, LOAD_FIELDS_WITH_SERVICE_TIME)
    if not known or any(number is None or number == MAX_NUMBER for number in numbers):
        return None
    fields: list[Any] = numbers
    return Load(*fields)
