"""Messages of peers about keyed queries that can't be decoded are refused as malformed."""

from typing import Any

import pytest
from conftest import run_cluster
from simulation.cluster import SimulatedCluster

from yokesill.query.calls import decode_call, decode_final
from yokesill.query.owned import OWNED_QUERY, RESERVE, SETTLE
from yokesill.verdict import Failure, Reason, Verdict

INVALID_CBOR = [b"", b"\xff", b"\x1c", b"\x82\x01", b"\x62\xff\xff", b"\x81" * 2000]


@pytest.mark.parametrize("decode", [decode_call, decode_final])
@pytest.mark.parametrize("data", INVALID_CBOR)
def test_decoding_invalid_cbor_raises_value_error(decode: Any, data: bytes) -> None:
    with pytest.raises(ValueError, match="undecodable message"):
        decode(data)


def test_peer_request_with_invalid_cbor_is_refused_as_malformed() -> None:
    async def body(cluster: SimulatedCluster) -> list[bytes | Failure]:
        queries = cluster.node(0).queries
        kinds = (OWNED_QUERY, RESERVE, SETTLE)
        answers = [await queries.answer_peer(kind, data) for kind in kinds for data in INVALID_CBOR]
        assert queries.in_flight == 0
        return answers

    for answer in run_cluster(body):
        assert isinstance(answer, Failure)
        assert (answer.reason, answer.verdict) == (Reason.MALFORMED_REPLY, Verdict.NOT_RUN)
