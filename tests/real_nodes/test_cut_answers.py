"""A server's answer that ends early never looks whole to the caller."""

import pytest
from node_process import Node, Request, Server, Surroundings, message


def head_of(server: Server, request: Request, extra: dict[str, str]) -> bytes:
    """Return the bytes of an answer's head."""
    whole = message("HTTP/1.1 200 OK", server.head(request) | extra, b"0123456789abcdef")
    return whole[: whole.index(b"\r\n\r\n") + 4]


@pytest.mark.parametrize("extra", [{}, {"connection": "close"}])
def test_answer_cut_within_its_head_is_never_a_success(
    extra: dict[str, str], node: Node, around: Surroundings
) -> None:
    # Guards against: a server that stops in the middle of its answer's head and closes makes a 200 with an
    # empty or short body, as other operators saw.
    node.start().wait_until_ready()
    for missing in range(1, 140):
        for server in around.servers:
            server.special = (
                lambda request, server=server: (
                    lambda connection: connection.sendall(  # type: ignore[misc]
                        head_of(server, request, extra)[:-missing]  # noqa: B023 (called before the next turn)
                    )
                )
            )
        assert node.ask(request_id=f"r{missing}").status in (502, 503), missing
