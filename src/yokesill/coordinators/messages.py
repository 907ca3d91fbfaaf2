"""The two CBOR messages of a forwarded wide request: the request and the coordinator's final answer.

Nodes of different releases exchange them during a rolling restart, so ``tests/forms`` pins their encoding.
"""

from typing import Any, NamedTuple

import cbor2

from yokesill.callers.answers import HttpAnswer, is_writable
from yokesill.callers.headers import end_to_end_headers
from yokesill.gateway.messages import GatewayRequest

# Version of the encoding, the first item of both messages; a node rejects any other.
FORMAT = 1


class ForwardedRequest(NamedTuple):
    """A caller's request as received by another node.

    ``waited_s`` is the time since it arrived there, in seconds. ``version`` is that of the configuration in
    force there: a coordinator must not answer by an older one.
    """

    version: int
    waited_s: float
    request: GatewayRequest


class GatheredAnswer(NamedTuple):
    """A coordinator's final answer and the time from receiving the request to this answer, in seconds."""

    answer: HttpAnswer
    gathering_s: float


def encode_forwarded(forwarded: ForwardedRequest) -> bytes:
    """Encode a forwarded request."""
    request = forwarded.request
    request_fields = [
        request.method,
        request.host,
        request.path,
        request.target,
        request.headers,
        request.body,
    ]
    times = [forwarded.waited_s, request.caller_timeout_s, request.fresh_connection]
    return cbor2.dumps([FORMAT, forwarded.version, request.request_id, *request_fields, *times])


def decode_forwarded(data: bytes, key: str, now: float) -> ForwardedRequest:
    """Decode a forwarded request; its key at this node is ``key``.

    Raises
    ------
    ValueError
        The message is malformed.
    """
    try:
        message_format, version, request_id, *request_fields, waited_s, timeout_s, fresh = cbor2.loads(data)
        method, host, path, target, headers, body = request_fields
        if message_format != FORMAT or type(version) is not int or not 0 <= waited_s <= timeout_s:
            raise ValueError(
                f"format {message_format!r}, version {version!r}, waited {waited_s!r} of {timeout_s!r}"
            )
        request = GatewayRequest(
            key=key,
            request_id=request_id,
            method=method,
            host=host,
            path=path,
            target=target,
            headers=_decode_headers(headers),
            body=body,
            arrived_at_s=now - waited_s,
            caller_timeout_s=timeout_s,
            fresh_connection=bool(fresh),
        )
    except (TypeError, ValueError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"a malformed request: {error!r}") from error
    return ForwardedRequest(version, waited_s, request)


def encode_answer(request_id: str, gathered: GatheredAnswer) -> bytes:
    """Encode a final answer."""
    answer = gathered.answer
    parts = [answer.status, answer.headers, answer.body, answer.outcome]
    return cbor2.dumps([FORMAT, request_id, gathered.gathering_s, *parts])


def decode_answer(data: bytes, request_id: str) -> GatheredAnswer:
    """Decode the final answer to the request ``request_id``.

    Raises
    ------
    ValueError
        The message is malformed or answers another request.
    """
    try:
        message_format, answered_id, gathering_s, status, headers, body, outcome = cbor2.loads(data)
        if message_format != FORMAT or answered_id != request_id:
            raise ValueError(
                f"format {message_format!r} for request {answered_id!r}, expected {FORMAT} for {request_id!r}"
            )
        if type(status) is not int or not isinstance(body, bytes) or not isinstance(outcome, str):
            raise ValueError(
                f"status {status!r}, body of type {type(body).__name__} and outcome {outcome!r}, "
                "expected an integer, bytes and a string"
            )
        decoded = _decode_headers(headers)
        # The length and the fate of the caller's connection are this node's to say.
        if not is_writable(status, decoded) or decoded != end_to_end_headers(decoded):
            raise ValueError(f"status {status} with headers {decoded!r:.200}, which no caller can be sent")
        return GatheredAnswer(HttpAnswer(status, decoded, body, outcome), float(gathering_s))
    except (TypeError, ValueError, cbor2.CBORDecodeError) as error:
        raise ValueError(f"malformed answer: {error!r}") from error


def _decode_headers(headers: Any) -> tuple[tuple[bytes, bytes], ...]:
    pairs = tuple((name, value) for name, value in headers)
    if not all(isinstance(each, bytes) for pair in pairs for each in pair):
        raise ValueError("headers are pairs of bytes")
    return pairs
