"""What a server's reply says of the request that it was read for, and of the server's load."""

from collections.abc import Iterator

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
    reply = read_reply(ATTEMPT, reader, dict(reader.headers), NAMES, first_exchange=True)
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


# What a reply says, by its status and the id in it: of each pair, the first for a plain reply, the second for
# one that says not executed. ``answer``: it is this request's; ``not_run`` and ``doubt``: it did not, or may
# have run.
VERDICTS = """
           own               none, first      none, later    other          twice          empty
      200  answer doubt      doubt doubt      doubt doubt    doubt doubt    doubt doubt    doubt doubt
      302  answer doubt      doubt doubt      doubt doubt    doubt doubt    doubt doubt    doubt doubt
      400  answer not_run    doubt not_run    doubt doubt    doubt doubt    doubt doubt    doubt doubt
      404  answer not_run    doubt not_run    doubt doubt    doubt doubt    doubt doubt    doubt doubt
      408  answer not_run    doubt not_run    doubt doubt    doubt doubt    doubt doubt    doubt doubt
      421  not_run not_run   not_run not_run  doubt doubt    doubt doubt    doubt doubt    doubt doubt
      429  answer not_run    doubt not_run    doubt doubt    doubt doubt    doubt doubt    doubt doubt
      500  answer not_run    doubt not_run    doubt doubt    doubt doubt    doubt doubt    doubt doubt
      503  answer not_run    doubt not_run    doubt doubt    doubt doubt    doubt doubt    doubt doubt
      504  answer not_run    doubt not_run    doubt doubt    doubt doubt    doubt doubt    doubt doubt
"""
# The ids of the columns, and on which exchanges of a connection a column holds.
COLUMNS = (
    ((b"r1",), (True, False)),
    ((), (True,)),
    ((), (False,)),
    ((b"other",), (True, False)),
    ((b"r1", b"r1"), (True, False)),
    ((b"",), (True, False)),
)


def verdict_cases() -> Iterator[tuple[int, tuple[bytes, ...], bool, bool, str]]:
    """Yield status, ids, whether it says not executed, whether its exchange is the first, and the verdict."""
    for line in VERDICTS.strip().splitlines()[1:]:
        status, *cells = line.split()
        for (ids, exchanges), plain, not_executed in zip(COLUMNS, cells[::2], cells[1::2], strict=True):
            for first in exchanges:
                yield int(status), ids, False, first, plain
                yield int(status), ids, True, first, not_executed


def meaning(reply: ServerReply | Failure) -> str:
    if isinstance(reply, ServerReply):
        return "answer"
    return "not_run" if reply.verdict is Verdict.NOT_RUN else "doubt"


@pytest.mark.parametrize(("status", "ids", "not_executed", "first", "verdict"), list(verdict_cases()))
def test_reply_promises_that_the_request_did_not_run_only_where_it_can_mean_no_other(
    status: int, ids: tuple[bytes, ...], not_executed: bool, first: bool, verdict: str
) -> None:
    # Guards against: a late surplus rejection, which names another request or none, counted as this one's, so
    # that a request that may run once ran twice or was answered 503 after it ran.
    fields = [NAMES.request_id + b": " + each for each in ids] + [NAMES.signature + b": sig"]
    fields += [NAMES.not_executed + b": 1"] if not_executed else []
    reader = HttpReplyReader()
    reader.feed(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n%s\r\n\r\n" % (status, b"\r\n".join(fields)))
    reply = read_reply(ATTEMPT, reader, dict(reader.headers), NAMES, first_exchange=first)
    assert meaning(reply) == verdict


@pytest.mark.parametrize(
    ("status", "fields", "reason"),
    [
        (503, (b"{id}: other", b"{not_executed}: 1"), Reason.FOREIGN_REPLY),
        (421, (b"{id}: other",), Reason.FOREIGN_REPLY),
        (503, (b"{not_executed}: 1",), Reason.FOREIGN_REPLY),
        (500, (), Reason.FOREIGN_REPLY),
        (503, (b"{id}: r1", b"{not_executed}: 1"), Reason.SHED),
        (421, (b"{id}: r1", b"{not_executed}: 1"), Reason.BACKEND_LEAVING),
        (200, (b"{id}: r1", b"{not_executed}: 1"), Reason.MALFORMED_REPLY),
        (200, (b"{id}: r1",), Reason.MALFORMED_REPLY),
    ],
)
def test_reason_of_a_reply_that_is_no_answer(status: int, fields: tuple[bytes, ...], reason: Reason) -> None:
    # Guards against: a server that rejects counted as one that fails, or the other way round.
    named = b"".join(each + b"\r\n" for each in fields)
    named = named.replace(b"{id}", NAMES.request_id).replace(b"{not_executed}", NAMES.not_executed)
    reader = HttpReplyReader()
    reader.feed(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n%s\r\n" % (status, named))
    reply = read_reply(ATTEMPT, reader, dict(reader.headers), NAMES, first_exchange=False)
    assert isinstance(reply, Failure) and reply.reason is reason
