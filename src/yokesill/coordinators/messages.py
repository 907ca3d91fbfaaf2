"""The two messages of a forwarded wide request, in CBOR: the request and the coordinator's final answer.

Nodes of different releases exchange them during a rolling restart: the forms are pinned by ``tests/forms``.
"""

from typing import Any, NamedTuple

import cbor2

from yokesill.callers.answers import HttpAnswer
from yokesill.gateway.messages import GatewayRequest

# First item of both messages; a node refuses any other.
FORMAT = 1


class ForwardedRequest(NamedTuple):
    """A caller's request as another node read it.

    ``waited_s`` is how long ago it arrived there, in seconds; ``version`` is the configuration in force
    there: a coordinator must not answer by an older one.
    """

    version: int
    waited_s: float
    request: GatewayRequest


class GatheredAnswer(NamedTuple):
    """A coordinator's final answer, and how long the coordinator had the request, in seconds."""

    answer: HttpAnswer
    gathering_s: float


def encode_forwarded(forwarded: ForwardedRequest) -> bytes:
    """Return a request's message."""
    request = forwarded.request
    what = [request.method, request.host, request.path, request.target, request.headers, request.body]
    times = [forwarded.waited_s, request.caller_timeout_s, request.fresh_connection]
    return cbor2.dumps([FORMAT, forwarded.version, request.request_id, *what, *times])


def decode_forwarded(data: bytes, key: str, now: float) -> ForwardedRequest:
    """Read a request's message; its key at this node is ``key``.

    Raises
    ------
    ValueError
        It is malformed.
    """
    try:
        form, version, request_id, *what, waited_s, timeout_s, fresh = cbor2.loads(data)
        method, host, path, target, headers, body = what
        if form != FORMAT or type(version) is not int or not 0 <= waited_s <= timeout_s:
            raise ValueError(f"format {form!r}, version {version!r}, waited {waited_s!r} of {timeout_s!r}")
        request = GatewayRequest(
            key=key,
            request_id=request_id,
            method=method,
            host=host,
            path=path,
            target=target,
            headers=_pairs(headers),
            body=body,
            arrived_at_s=now - waited_s,
            caller_timeout_s=timeout_s,
            fresh_connection=bool(fresh),
        )
    except (TypeError, ValueError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"a malformed request: {error!r}") from error
    return ForwardedRequest(version, waited_s, request)


def encode_answer(request_id: str, gathered: GatheredAnswer) -> bytes:
    """Return the message of a final answer."""
    answer = gathered.answer
    parts = [answer.status, answer.headers, answer.body, answer.outcome]
    return cbor2.dumps([FORMAT, request_id, gathered.gathering_s, *parts])


def decode_answer(data: bytes, request_id: str) -> GatheredAnswer:
    """Read the final answer to the request named.

    Raises
    ------
    ValueError
        It is malformed, or answers another request.
    """
    try:
        form, of_request, gathering_s, status, headers, body, outcome = cbor2.loads(data)
        if form != FORMAT or of_request != request_id:
            raise ValueError(f"format {form!r} of request {of_request!r}")
        if type(status) is not int or not isinstance(body, bytes) or not isinstance(outcome, str):
            raise ValueError("a status, a body and an outcome are needed")
        return GatheredAnswer(HttpAnswer(status, _pairs(headers), body, outcome), float(gathering_s))
    except (TypeError, ValueError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"a malformed answer: {error!r}") from error


def _pairs(headers: Any) -> tuple[tuple[bytes, bytes], ...]:
    pairs = tuple((name, value) for name, value in headers)
    if not all(isinstance(each, bytes) for pair in pairs for each in pair):
        raise ValueError("headers are pairs of bytes")
    return pairs
