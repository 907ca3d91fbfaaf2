"""Parsing of the load report in a server's reply."""

import pytest

from yokesill.comm.http_reply import HttpReplyReader
from yokesill.gateway.documents import ServerRecord
from yokesill.gateway.messages import Attempt, GatewayRequest, Load, ServerReply
from yokesill.serving.header_names import HeaderNames
from yokesill.upstreams.attempt_bytes import read_reply

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
