"""Serves a back-end stand-in over HTTP as a plain ASGI application: ``/query``, ``/health``, ``/control``."""

import json
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import asdict
from typing import Any

import anyio
from pydantic import ValidationError

from yokesill.emulator.faults import ServerFaults
from yokesill.emulator.server_model import HTTP_BAD_REQUEST, HTTP_OK, ModelReply, ServerModel

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class ServerApp:
    """Serves one ``ServerModel``; a caller that closes its connection cancels its attempt."""

    def __init__(self, model: ServerModel, connection_cost: float = 0.001) -> None:
        self._model = model
        self._connection_cost = connection_cost
        self._seen: set[tuple[str, int]] = set()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        body = await _read(receive)
        await self._delay_new_connection(scope)
        reply: ModelReply | None = None

        async def watch_caller() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            task_group.cancel_scope.cancel()

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(watch_caller)
            reply = await self._serve(scope["path"], body)
            task_group.cancel_scope.cancel()
        if reply is None:
            return
        if reply.lost:
            # The reply is truncated: the caller sees a broken connection although the attempt ran.
            await _start(send, HTTP_OK, 1_000_000)
            raise ConnectionAbortedError("reply lost: injected fault lose_reply_probability")
        await _respond(send, reply)

    async def _serve(self, path: str, body: bytes) -> ModelReply:
        if path == "/query":
            return await self._model.execute(json.loads(body))
        if path == "/health":
            return await self._model.health()
        if path == "/control":
            return self._control(body)
        return ModelReply(HTTP_OK, {"executions": [asdict(each) for each in self._model.executions]})

    def _control(self, body: bytes) -> ModelReply:
        """Set faults, holdings or the incarnation."""
        order = json.loads(body)
        try:
            if "holdings" in order:
                self._model.holdings = {(epoch, version) for epoch, version in order["holdings"]}
            if "restart" in order:
                self._model.restart(order["restart"])
            if "faults" in order:
                self._model.set_faults(ServerFaults.model_validate(order["faults"]))
        except (ValidationError, ValueError, TypeError) as error:
            return ModelReply(HTTP_BAD_REQUEST, {"detail": str(error)})
        return ModelReply(HTTP_OK, {"ok": True})

    async def _delay_new_connection(self, scope: Scope) -> None:
        client = tuple(scope.get("client") or ("", 0))
        if client not in self._seen:
            self._seen.add((str(client[0]), int(client[1])))
            await anyio.sleep(self._connection_cost)


async def _read(receive: Receive) -> bytes:
    chunks: list[bytes] = []
    while True:
        message = await receive()
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def _respond(send: Send, reply: ModelReply) -> None:
    content = json.dumps(reply.body).encode()
    await _start(send, reply.status, len(content))
    await send({"type": "http.response.body", "body": content})


async def _start(send: Send, status: int, length: int) -> None:
    headers = [(b"content-type", b"application/json"), (b"content-length", str(length).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
