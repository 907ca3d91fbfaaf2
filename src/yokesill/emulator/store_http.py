"""Serves the platform's stand-in over HTTP; ``store.http_store`` documents the protocol."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import Any

from pydantic import ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from yokesill.emulator.faults import StoreFaults
from yokesill.emulator.store_model import AnswerLostError, StoreDownError, StoreModel
from yokesill.resources.objects import StoredObject
from yokesill.store.base import Conflict, Machine

Handler = Callable[[Request], Awaitable[Response]]


def create_store_app(model: StoreModel) -> Starlette:
    """Return the application that serves ``model``."""

    async def get_object(request: Request) -> Response:
        stored = await model.get(request.path_params["key"])
        return JSONResponse({}, 404) if stored is None else JSONResponse(asdict(stored))

    async def put_object(request: Request) -> Response:
        body = await request.json()
        base = int(request.query_params.get("base", "0"))
        result = await model.put(request.path_params["key"], base, body["change_id"], body["value"])
        if isinstance(result, Conflict):
            current = asdict(result.current) if result.current else None
            return JSONResponse({"current": current}, 409)
        return JSONResponse(asdict(result))

    async def list_objects(_request: Request) -> Response:
        listing = await model.list_objects()
        return JSONResponse({"revision": listing.revision, "objects": _objects(listing.objects)})

    async def history(request: Request) -> Response:
        return JSONResponse({"objects": _objects(await model.history(request.path_params["key"]))})

    async def watch(request: Request) -> Response:
        after = int(request.query_params["after"])
        wait = float(request.query_params.get("wait", "2"))
        return JSONResponse({"objects": _objects(await model.watch(after, wait))})

    async def machines(_request: Request) -> Response:
        return JSONResponse({"machines": [asdict(each) for each in await model.list_machines()]})

    async def control(request: Request) -> Response:
        return _control(model, await request.json())

    return Starlette(
        routes=[
            Route("/objects", _with_faults(list_objects)),
            Route("/objects/{key:path}", _with_faults(get_object), methods=["GET"]),
            Route("/objects/{key:path}", _with_faults(put_object), methods=["PUT"]),
            Route("/history/{key:path}", _with_faults(history)),
            Route("/watch", _with_faults(watch)),
            Route("/machines", _with_faults(machines)),
            Route("/control", control, methods=["POST"]),
        ]
    )


def _with_faults(handler: Handler) -> Handler:
    """Translate the model's faults into HTTP errors."""

    async def handle(request: Request) -> Response:
        try:
            return await handler(request)
        except StoreDownError:
            return JSONResponse({"detail": "down"}, 503)
        except AnswerLostError:
            return JSONResponse({"detail": "the answer is lost"}, 504)

    return handle


def _control(model: StoreModel, order: dict[str, Any]) -> Response:
    try:
        if "faults" in order:
            model.set_faults(StoreFaults.model_validate(order["faults"]))
        for each in order.get("machines", []):
            model.machines[each["address"]] = Machine(each["address"], each["kind"], each["leaving"])
    except (ValidationError, KeyError, TypeError) as error:
        return JSONResponse({"detail": str(error)}, 400)
    return JSONResponse({"ok": True})


def _objects(objects: list[StoredObject]) -> list[dict[str, Any]]:
    return [asdict(each) for each in objects]
