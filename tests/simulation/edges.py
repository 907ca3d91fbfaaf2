"""In-memory clients of back ends and of the store, for real nodes in virtual time."""

import json
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from yokesill.backends.base import BackendClient
from yokesill.backends.wire import HTTP_OK, decode_health, decode_reply, encode_attempt
from yokesill.emulator.server_model import ServerModel
from yokesill.emulator.store_model import AnswerLostError, StoreDownError, StoreModel
from yokesill.resources.objects import StoredObject
from yokesill.routing.events import AttemptAnswered, AttemptFailed
from yokesill.routing.messages import Attempt, ServerReport
from yokesill.store.base import Conflict, Listing, Machine, Store
from yokesill.verdict import Failure, Reason, Verdict

HEALTH_TIMEOUT_S = 1.0
WATCH_WAIT_S = 2.0
TIMEOUT_GRACE_S = 0.05

Result = TypeVar("Result")


class MemoryBackendClient(BackendClient):
    """Calls ``ServerModel`` objects in the real wire encoding, with random delays."""

    def __init__(
        self,
        models: dict[str, ServerModel],
        zone: str,
        random_source: random.Random,
        delay: float = 0.0003,
        zone_delay: float = 0.001,
    ) -> None:
        self.cut_zones: set[str] = set()
        self._models = models
        self._zone = zone
        self._random = random_source
        self._delay = delay
        self._zone_delay = zone_delay

    async def call(self, attempt: Attempt) -> AttemptAnswered | AttemptFailed:
        """See ``BackendClient.call``."""
        model = self._reachable(attempt.address)
        if model is None:
            return _failed(attempt, Reason.CONNECT_FAILED, Verdict.NOT_RUN)
        with anyio.move_on_after(attempt.deadline_at_s - anyio.current_time() + TIMEOUT_GRACE_S):
            await anyio.sleep(self._latency(model))
            body = json.loads(encode_attempt(attempt, attempt.deadline_at_s - anyio.current_time()))
            reply = await model.execute(body)
            await anyio.sleep(self._latency(model))
            if reply.lost or self._reachable(attempt.address) is None:
                return _failed(attempt, Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
            return decode_reply(attempt, reply.status, json.dumps(reply.body).encode())
        return _failed(attempt, Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN)

    async def check(self, address: str) -> ServerReport | None:
        """See ``BackendClient.check``."""
        model = self._reachable(address)
        if model is None:
            return None
        with anyio.move_on_after(HEALTH_TIMEOUT_S):
            await anyio.sleep(self._latency(model))
            reply = await model.health()
            return decode_health(json.dumps(reply.body).encode()) if reply.status == HTTP_OK else None
        return None

    def _reachable(self, address: str) -> ServerModel | None:
        model = self._models.get(address)
        if model is None or model.faults.dead or model.profile.zone in self.cut_zones:
            return None
        return model

    def _latency(self, model: ServerModel) -> float:
        base = self._delay + (0.0 if model.profile.zone == self._zone else self._zone_delay)
        return base * (0.5 + self._random.random())


class MemoryStore(Store):
    """Client of a ``StoreModel`` that returns the same verdicts as the real client."""

    def __init__(self, model: StoreModel, timeout: float = 2.0) -> None:
        self.reachable = True
        self._model = model
        self._timeout = timeout

    async def get(self, key: str) -> StoredObject | Failure | None:
        """See ``Store.get``."""
        return await self._call(lambda: self._model.get(key))

    async def put(
        self, key: str, base_revision: int, change_id: str, value: dict[str, object] | None
    ) -> StoredObject | Conflict | Failure:
        """See ``Store.put``."""
        return await self._call(lambda: self._model.put(key, base_revision, change_id, value))

    async def history(self, key: str) -> list[StoredObject] | Failure:
        """See ``Store.history``."""
        return await self._call(lambda: self._model.history(key))

    async def list_objects(self) -> Listing | Failure:
        """See ``Store.list_objects``."""
        return await self._call(self._model.list_objects)

    async def watch(self, after_revision: int) -> list[StoredObject] | Failure:
        """See ``Store.watch``."""
        return await self._call(lambda: self._model.watch(after_revision, WATCH_WAIT_S), WATCH_WAIT_S)

    async def machines(self) -> list[Machine] | Failure:
        """See ``Store.machines``."""
        return await self._call(self._model.list_machines)

    async def _call(self, operation: Callable[[], Awaitable[Result]], extra: float = 0.0) -> Result | Failure:
        if not self.reachable:
            await anyio.sleep(self._timeout)
            return Failure(Reason.CONNECT_FAILED, Verdict.NOT_RUN, "the store cannot be reached")
        with anyio.move_on_after(self._timeout + extra):
            try:
                await anyio.sleep(0.001)
                result = await operation()
                if not self.reachable:
                    return Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "the store was lost")
                return result
            except StoreDownError:
                return Failure(Reason.BACKEND_ERROR, Verdict.NOT_RUN, "the store is down")
            except AnswerLostError:
                return Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "the answer was lost")
        return Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN, "the store did not answer")


def _failed(attempt: Attempt, reason: Reason, verdict: Verdict) -> AttemptFailed:
    return AttemptFailed(attempt.attempt_id, Failure(reason, verdict))
