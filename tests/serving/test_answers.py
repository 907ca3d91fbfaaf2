"""What becomes of a final answer on its way to the caller."""

import pytest

from yokesill.callers.answers import deliverable, to_http
from yokesill.gateway.events import PassOn
from yokesill.gateway.messages import Headers, RequestSummary, ServerReply
from yokesill.serving.header_names import HeaderNames
from yokesill.verdict import Verdict

SUMMARY = RequestSummary("one", 3, Verdict.RAN, 0.1)


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (0, ()),
        (199, ()),
        (600, ()),
        (200, ((b"x y", b"1"),)),
        (200, ((b"x", b"1\r\ny: 2"),)),
    ],
)
def test_answer_that_cannot_be_written_ends_as_502(status: int, headers: Headers) -> None:
    # Guards against: an answer that the HTTP library refuses to write, which left the caller without any.
    reply = ServerReply(status, headers, b"", b"sig")
    answer = to_http(deliverable(PassOn("k", reply, SUMMARY)), "r1", HeaderNames())
    assert (answer.status, answer.outcome) == (502, "malformed_reply")
    assert b"server-signature" not in dict(answer.headers)
