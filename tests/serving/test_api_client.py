"""The client of the registry's and the store's interface, with replies that begin oddly."""

import anyio
import pytest
from conftest import run_virtual
from memory_servers import MemoryServer, MemoryStream, ReceivedRequest, answer_bytes
from odd_start_lines import NO_REPLY, with_start_line

from yokesill.registry.api_client import ApiClient
from yokesill.serving.settings import Address
from yokesill.verdict import Failure, Reason, Verdict

TIMEOUT_S = 5.0


@pytest.mark.parametrize("start_line", NO_REPLY)
def test_odd_start_line_fails_a_call_at_once_and_closes_the_connection(start_line: bytes) -> None:
    # Guards against: a status of 000 waited on until the call's timeout, or one of 600 taken for the reply.
    async def script(_server: MemoryServer, stream: MemoryStream, _request: ReceivedRequest) -> None:
        await stream.send(with_start_line(answer_bytes(None, b"{}"), start_line))

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            server = MemoryServer(script, tasks)
            client = ApiClient(Address("10.0.0.1", 80), server.connect)
            began = anyio.current_time()
            reply = await client.call("PUT", "/v1/config/main", TIMEOUT_S, {})
            assert isinstance(reply, Failure)
            assert (reply.reason, reply.verdict) == (Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
            assert anyio.current_time() - began < 0.1
            await anyio.sleep(0.01)
            assert (server.opened, server.closed) == (1, 1)
            tasks.cancel_scope.cancel()

    run_virtual(run)
