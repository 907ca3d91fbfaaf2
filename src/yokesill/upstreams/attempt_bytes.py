"""The bytes sent to a server for an attempt, and what its reply means.

Decides which replies count as this attempt's answer, and which promise that nothing ran. The names of headers
come from ``serving.header_names``; nothing is owned here.
"""

import math
from typing import Any

from yokesill.comm.http_reply import HttpReplyReader
from yokesill.comm.http_status import MISDIRECTED, SERVER_ERROR
from yokesill.gateway.messages import Attempt, GatewayRequest, Load, ServerReply
from yokesill.serving.header_names import HeaderNames
from yokesill.verdict import Failure, Reason, Verdict

# A load report has three numbers, or four with the time of work.
LOAD_FIELDS = 3
LOAD_FIELDS_WITH_PACE = 4


def encode_attempt(attempt: Attempt, names: HeaderNames, left_s: float) -> bytes:
    """Return an attempt's bytes: the caller's request, with what is left of its time.

    Parameters
    ----------
    attempt
        What is sent, and to which incarnation.
    names
        The headers spoken with servers.
    left_s
        What is left of the caller's time, in seconds; sent in whole milliseconds.
    """
    request = attempt.request
    left_ms = max(1, math.floor(left_s * 1000))
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    replaced = (names.deadline, names.expect_instance)
    lines.extend([name + b": " + value for name, value in request.headers if name not in replaced])
    lines.append(names.deadline + b": %d" % left_ms)
    lines.append(names.expect_instance + b": " + attempt.server.instance.encode())
    if request.body or _has_body(request):
        lines.append(b"content-length: %d" % len(request.body))
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + request.body


def read_reply(
    attempt: Attempt, reader: HttpReplyReader, headers: dict[bytes, bytes], names: HeaderNames
) -> ServerReply | Failure:
    """Return a server's reply to this attempt.

    Returns
    -------
    ServerReply or Failure
        ``Failure`` with ``NOT_RUN`` when the server declined; with ``MAY_HAVE_RUN`` when the bytes
        are another request's answer or none that may be passed on.
    """
    if reader.status == MISDIRECTED:
        return Failure(Reason.BACKEND_LEAVING, Verdict.NOT_RUN, "another server has its address")
    if names.not_executed in headers:
        return Failure(Reason.SHED, Verdict.NOT_RUN, f"not executed, status {reader.status}")
    echoed = headers.get(names.request_id)
    if echoed is None or echoed.decode("latin-1") != attempt.request.request_id:
        return Failure(Reason.FOREIGN_REPLY, Verdict.MAY_HAVE_RUN, "the answer names another request")
    signature = headers.get(names.signature)
    if reader.status < SERVER_ERROR:
        if b"content-encoding" in headers:
            return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, "an answer with a content coding")
        if signature is None:
            return Failure(Reason.MALFORMED_REPLY, Verdict.MAY_HAVE_RUN, "an answer without a signature")
    load = _read_load(headers.get(names.load))
    return ServerReply(reader.status, tuple(reader.headers), reader.body, signature, load)


def _has_body(request: GatewayRequest) -> bool:
    """Whether an empty body must be said to be empty."""
    return request.method in (b"POST", b"PUT", b"PATCH")


def _read_load(value: bytes | None) -> Load | None:
    """Read ``RUNNING,WAITING,SLOTS`` or that with the work time in percent; ``None`` if it is neither.

    Not logged: servers need not report, and one that reports nonsense would log with each reply.
    """
    if value is None:
        return None
    fields: list[Any] = value.split(b",")
    known = len(fields) in (LOAD_FIELDS, LOAD_FIELDS_WITH_PACE)
    if not known or not all(field.strip().isdigit() for field in fields):
        return None
    return Load(*(int(field) for field in fields))
