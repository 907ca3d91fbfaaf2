"""All of a node's HTTP in one application: callers, operators, peers, probes and metrics."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from yokesill.admin.changes import ChangeController
from yokesill.admin.objects import ObjectController
from yokesill.admin.status import StatusController
from yokesill.frontend.figures import update_gauges
from yokesill.frontend.http import JsonError, json_error_handler, read_body
from yokesill.frontend.queries import QueryController
from yokesill.node import Node
from yokesill.replication.messages import MAX_BODY_BYTES
from yokesill.verdict import Failure, Verdict


def create_app(node: Node) -> Starlette:
    """Return the application that serves ``node``."""
    queries = QueryController(node)
    objects = ObjectController(node)
    status = StatusController(node)
    changes = ChangeController(node)
    probes = ProbeController(node)
    peers = PeerController(node)
    return Starlette(
        routes=[
            Route("/v1/namespaces/{namespace}/services/{service}/query", queries.post, methods=["POST"]),
            Route("/internal/v1/{kind}", peers.post, methods=["POST"]),
            Route("/healthz", probes.healthy),
            Route("/readyz", probes.ready),
            Route("/metrics", probes.metrics),
            Route("/v1/status", status.get),
            Route("/v1/stop", status.stop, methods=["POST"]),
            Route("/v1/changes/{change_id}", changes.get),
            Route("/v1/namespaces", objects.list),
            Route("/v1/history/{key:path}", objects.history),
            Route("/v1/{key:path}", objects.get, methods=["GET"]),
            Route("/v1/{key:path}", objects.put, methods=["PUT"]),
            Route("/v1/{key:path}", objects.delete, methods=["DELETE"]),
        ],
        exception_handlers={JsonError: json_error_handler, 500: json_error_handler},
    )


class ProbeController:
    """Health, readiness and metrics, without a token."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def healthy(self, _request: Request) -> Response:
        """The process answers."""
        return PlainTextResponse("ok\n")

    async def ready(self, _request: Request) -> Response:
        """Whether callers should be sent here."""
        ready = self._node.ready
        return PlainTextResponse(f"{self._node.lifecycle.state}\n", 200 if ready else 503)

    async def metrics(self, _request: Request) -> Response:
        """The node's figures."""
        update_gauges(self._node)
        return Response(self._node.metrics.render(), media_type="text/plain; version=0.0.4")


class PeerController:
    """Requests of other nodes: sealed frames in and out."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def post(self, request: Request) -> Response:
        """Hand a frame to the transport and return its answer."""
        body = await read_body(request, MAX_BODY_BYTES)
        answer = await self._node.transport.deliver_request(request.path_params["kind"], body)
        if isinstance(answer, bytes):
            return Response(answer, media_type="application/cbor")
        if isinstance(answer, Failure) and answer.verdict is not Verdict.NOT_RUN:
            return JSONResponse({"detail": answer.detail}, 500)
        return JSONResponse({"detail": answer.detail if answer else "not ready"}, 503)
