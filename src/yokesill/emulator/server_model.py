"""Model of one back-end server: slots, a queue, service times, index versions, load reports and faults."""

import itertools
import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import anyio

from yokesill.emulator.faults import ServerFaults
from yokesill.emulator.records import entries_in

HTTP_OK, HTTP_BAD_REQUEST, HTTP_CONFLICT, HTTP_UNAVAILABLE = 200, 400, 409, 503
COLD_S = 2.0
LATENCY_SIGMA = 0.35
LOAD_LAG_S = 0.05


@dataclass(frozen=True, slots=True)
class Execution:
    """An attempt that ran; ``leaving_for`` is how long the server had been leaving (seconds)."""

    attempt_id: str
    query_id: str
    address: str
    shard: str
    request_class: str
    repeatable: bool
    started_at: float
    leaving_for: float | None


@dataclass(frozen=True, slots=True)
class ModelReply:
    """A reply; if ``lost``, it must not reach the caller although the attempt ran."""

    status: int
    body: dict[str, Any]
    lost: bool = False


@dataclass(slots=True)
class ServerProfile:
    """Fixed properties of a server; times in seconds."""

    address: str
    service: str
    zone: str
    slots: int = 3
    queue_bound: int = 16
    service_time: float = 0.004
    records: int = 64
    cold_penalty: float = 2.0


@dataclass(slots=True)
class ServerModel:
    """State of a server; ``execute`` and ``health`` are the calls it serves."""

    profile: ServerProfile
    random_source: random.Random
    holdings: set[tuple[int, int]]
    incarnation: str = "1"
    faults: ServerFaults = field(default_factory=ServerFaults)
    executions: list[Execution] = field(default_factory=list)
    active: int = 0
    queued: int = 0
    started_at: float = 0.0
    leaving_since: float | None = None
    _slots: anyio.Semaphore | None = None
    _thawed: anyio.Event | None = None
    _unread: list[Mapping[str, Any]] = field(default_factory=list)
    _items: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))
    _reported: tuple[float, int, int] = (float("-inf"), 0, 0)

    def restart(self, incarnation: str) -> None:
        """Restart cold, with a new incarnation and no faults."""
        self.incarnation = incarnation
        self.faults = ServerFaults()
        self.started_at = anyio.current_time()
        self.leaving_since = None

    def set_faults(self, faults: ServerFaults) -> None:
        """Replace the faults.

        ``leaving`` starts the time of the drain. Requests that a frozen server received run when it thaws.
        """
        if faults.leaving and self.leaving_since is None:
            self.leaving_since = anyio.current_time()
        self.faults = faults
        if faults.frozen or faults.dead:
            return
        if self._thawed is not None:
            self._thawed.set()
        unread, self._unread = self._unread, []
        for request in unread:
            self._log(request)

    async def execute(self, request: Mapping[str, Any]) -> ModelReply:
        """Serve one attempt: run it, or decline it with a reason."""
        await self._wait_until_thawed(request)
        decline_reason = self._decline_reason(request)
        if decline_reason is not None:
            return self._reply(request, HTTP_UNAVAILABLE, {"reason": decline_reason})
        if (request["epoch"], request["version"]) not in self.holdings:
            return self._reply(request, HTTP_CONFLICT, {"reason": "snapshot_unavailable"})
        if self._slots is None:
            self._slots = anyio.Semaphore(self.profile.slots)
        self.queued += 1
        try:
            await self._slots.acquire()
        finally:
            self.queued -= 1
        self.active += 1
        try:
            return await self._run(request)
        finally:
            self.active -= 1
            self._slots.release()

    async def health(self) -> ModelReply:
        """Answer a health check."""
        await self._wait_while_frozen()
        return ModelReply(HTTP_OK, self._status())

    async def _run(self, request: Mapping[str, Any]) -> ModelReply:
        self._log(request)
        await anyio.sleep(self._draw_service_time())
        await self._wait_while_frozen()
        version = request["version"] + (1 if self.faults.answer_other_version else 0)
        entries = self._entries(request, version)
        if self.faults.double_entries:
            entries = entries + entries[:1]
        body = {
            "epoch": request["epoch"],
            "version": version,
            "range": request["range"],
            "entries": entries,
            "truncated": self.faults.answer_truncated,
        }
        lost = self.random_source.random() < self.faults.lose_reply_probability
        return self._reply(request, HTTP_OK, body, lost)

    def _decline_reason(self, request: Mapping[str, Any]) -> str | None:
        if self.faults.leaving and not self.faults.ignore_drain:
            return "leaving"
        shed = self.random_source.random() < self.faults.shed_probability
        queue_full = self.queued >= self.profile.queue_bound
        misses_deadline = (
            self.queued * self.profile.service_time / self.profile.slots * 1000 > request["deadline_ms"]
        )
        return "shed" if shed or queue_full or misses_deadline else None

    def _log(self, request: Mapping[str, Any]) -> None:
        now = anyio.current_time()
        self.executions.append(
            Execution(
                attempt_id=request["attempt_id"],
                query_id=request["attempt_id"].rpartition(".")[0],
                address=self.profile.address,
                shard=request["shard"],
                request_class=request["class"],
                repeatable=request["repeatable"],
                started_at=now,
                leaving_for=None if self.leaving_since is None else now - self.leaving_since,
            )
        )

    def _entries(self, request: Mapping[str, Any], version: int) -> list[dict[str, Any]]:
        if not request["repeatable"]:
            return [{"item": next(self._items), "server": self.profile.address}]
        start, end = request["range"]
        return entries_in(request["service"], self.profile.records, start, end, version)

    def _draw_service_time(self) -> float:
        faults = self.faults
        seconds = self.profile.service_time * self.random_source.lognormvariate(0, LATENCY_SIGMA)
        seconds *= faults.slow_factor
        if self.random_source.random() < faults.straggle_probability:
            seconds *= faults.straggle_factor
        if anyio.current_time() - self.started_at < COLD_S:
            seconds *= self.profile.cold_penalty
        return seconds

    async def _wait_until_thawed(self, request: Mapping[str, Any]) -> None:
        """Wait for the thaw; a frozen server does not notice a disconnect, so it runs the request later."""
        try:
            await self._wait_while_frozen()
        except BaseException:
            if self.faults.frozen:
                self._unread.append(request)
            raise

    async def _wait_while_frozen(self) -> None:
        while self.faults.frozen or self.faults.dead:
            self._thawed = anyio.Event()
            await self._thawed.wait()

    def _reply(
        self, request: Mapping[str, Any], status: int, body: dict[str, Any], lost: bool = False
    ) -> ModelReply:
        attempt_id = request["attempt_id"] + ("x" if self.faults.answer_other_attempt else "")
        return ModelReply(status, {"attempt_id": attempt_id, **self._status(), **body}, lost)

    def _status(self) -> dict[str, Any]:
        """Return the status part of each reply; the load lags and is scaled by ``load_lie``."""
        now = anyio.current_time()
        if now - self._reported[0] > LOAD_LAG_S:
            self._reported = (now, self.active, self.queued)
        _, active, queued = self._reported
        return {
            "incarnation": self.incarnation,
            "holdings": sorted(self.holdings),
            "load": {
                "slots": self.profile.slots,
                "active": int(active * self.faults.load_lie),
                "queued": int(queued * self.faults.load_lie),
            },
            "leaving": self.faults.leaving,
        }
