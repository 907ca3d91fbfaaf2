"""Parsing of the load report in a server's reply."""

import pytest

from yokesill.comm.http_reply import HttpReplyReader
from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.messages import Attempt, GatewayRequest, Load, ServerReply
from yokesill.serving.header_names import HeaderNames
from yokesill.upstreams.attempt_bytes import read_reply
from yokesill.verdict import Failure, Reason, Verdict

NAMES = HeaderNames()
REQUEST = GatewayRequest("k", "r1", b"GET", "shop.example", "/x", b"/x", (), b"", 0.0, 1.0)
ATTEMPT = Attempt(1, REQUEST, ServerRecord("a", "s1", "10.0.0.1", 80, "z1", 2), 1, 1.0)


def load_of(report: bytes) -> Load | None:
    reader = HttpReplyReader()
    reader.feed(
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s: r1\r\n%s: sig\r\n%s: %s\r\n\r\n"
        % (NAMES.request_id, NAMES.signature, NAMES.load, report)
    )
    reply = read_reply(ATTEMPT, reader, dict(reader.headers), NAMES)
    assert isinstance(reply, ServerReply)
    return reply.load


@pytest.mark.parametrize(
    ("report", "load"),
    [
        (b"1,2,3", Load(1, 2, 3)),
        (b"1,2,3,250", Load(1, 2, 3, 250)),
        (b"1, 2, 3, 100", Load(1, 2, 3, 100)),
        (b"1,2", None),
        (b"1,2,3,4,5", None),
        (b"1,2,3,x", None),
    ],
)
def test_load_report_has_three_numbers_and_optionally_the_service_time(
    report: bytes, load: Load | None
) -> None:
    assert load_of(report) == load


@pytest.mark.parametrize(
    ("status", "headers", "reason", "verdict"),
    [
        (503, b"{id}: other\r\n{not_executed}: 1", Reason.FOREIGN_REPLY, Verdict.MAY_HAVE_RUN),
        (421, b"{id}: other", Reason.FOREIGN_REPLY, Verdict.MAY_HAVE_RUN),
        (421, b"{id}: other\r\n{not_executed}: 1", Reason.FOREIGN_REPLY, Verdict.MAY_HAVE_RUN),
        (200, b"{id}: other", Reason.FOREIGN_REPLY, Verdict.MAY_HAVE_RUN),
        (503, b"{id}: r1\r\n{not_executed}: 1", Reason.SHED, Verdict.NOT_RUN),
        (503, b"{not_executed}: 1", Reason.SHED, Verdict.NOT_RUN),
        (421, b"x: y", Reason.BACKEND_LEAVING, Verdict.NOT_RUN),
        (500, b"x: y", Reason.FOREIGN_REPLY, Verdict.MAY_HAVE_RUN),
    ],
)
def test_rejection_of_another_request_does_not_say_that_this_one_did_not_run(
    status: int, headers: bytes, reason: Reason, verdict: Verdict
) -> None:
    # Guards against: a surplus rejection, which names another request, counted as this one's, so that a
    # request that may run once ran twice or was answered 503 after it ran.
    named = headers.replace(b"{id}", NAMES.request_id).replace(b"{not_executed}", NAMES.not_executed)
    reader = HttpReplyReader()
    reader.feed(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n%s\r\n\r\n" % (status, named))
    reply = read_reply(ATTEMPT, reader, dict(reader.headers), NAMES)
    assert isinstance(reply, Failure)
    assert (reply.reason, reply.verdict) == (reason, verdict)
