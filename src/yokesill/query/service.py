"""The entry point of all queries of a node: requests of callers, and requests of peers about keyed queries.

Requests are refused while the node is not ready or can't confirm its configuration. Others are run by the
driver or, with an idempotency key, by ``owned``. The outcome of each caller's request is counted.
"""

import itertools
from collections.abc import Callable

import anyio

from yokesill.comm.base import Transport
from yokesill.comm.sealing import Sealer
from yokesill.membership.table import MemberTable
from yokesill.metrics import Metrics
from yokesill.query.calls import QueryCall
from yokesill.query.driver import FinalAnswer, QueryDriver
from yokesill.query.owned import RETRY_AFTER_MS, OwnedQueries
from yokesill.replication.catalog import Catalog
from yokesill.resources.documents import WhenIsolated
from yokesill.resources.hashing import hash_key
from yokesill.resources.keys import ServiceName
from yokesill.routing.events import Refuse
from yokesill.routing.messages import QueryRequest
from yokesill.supervision import Supervisor
from yokesill.verdict import Failure, Reason, Verdict


class QueryService:
    """Answers all queries of a node; a planned stop waits until ``in_flight`` is zero.

    ``not_accepting`` returns why new requests are refused now, or ``None`` if they are accepted. ``isolated``
    returns whether no other node or store confirms that the configuration is fresh.
    """

    def __init__(
        self,
        catalog: Catalog,
        driver: QueryDriver,
        metrics: Metrics,
        members: MemberTable,
        transport: Transport,
        sealer: Sealer,
        not_accepting: Callable[[], str | None],
        isolated: Callable[[], bool],
        supervisor: Supervisor | None = None,
    ) -> None:
        self.in_flight = 0
        self.owned = OwnedQueries(members, transport, sealer, self._execute, supervisor)
        self._catalog = catalog
        self._driver = driver
        self._metrics = metrics
        self._not_accepting = not_accepting
        self._isolated = isolated
        self._numbers = itertools.count(1)
        self._prefix = f"{members.own.address}-{members.own.incarnation:x}"

    async def answer(self, call: QueryCall) -> FinalAnswer:
        """Answer or refuse a caller's request."""
        query_id = f"{self._prefix}-{next(self._numbers)}"
        refusal = self._not_accepting()
        if refusal is not None:
            return _refusal(query_id, Reason.NOT_READY, refusal)
        started = anyio.current_time()
        self.in_flight += 1
        try:
            if call.idempotency_key is not None:
                final = await self.owned.handle(call, query_id)
            else:
                final = await self._execute(call, query_id)
        finally:
            self.in_flight -= 1
        self._count(call, final, anyio.current_time() - started)
        return final

    async def answer_peer(self, kind: str, body: bytes) -> bytes | Failure:
        """Answer a peer's authenticated request about a keyed query."""
        refusal = self._not_accepting()
        if refusal is not None:
            return Failure(Reason.NOT_READY, Verdict.NOT_RUN, refusal)
        self.in_flight += 1
        try:
            answer = await self.owned.answer(kind, body)
        except (ValueError, TypeError) as error:
            return Failure(Reason.MALFORMED_REPLY, Verdict.NOT_RUN, str(error))
        finally:
            self.in_flight -= 1
        if answer is None:
            return Failure(Reason.MALFORMED_REPLY, Verdict.NOT_RUN, f"unknown request {kind!r}")
        return answer

    async def _execute(self, call: QueryCall, query_id: str) -> FinalAnswer:
        service = self._catalog.services.get(call.service)
        if service is not None and service.when_isolated is WhenIsolated.REFUSE and self._isolated():
            detail = "the node cannot confirm that its configuration is fresh"
            return _refusal(query_id, Reason.ISOLATED, detail)
        query = QueryRequest(
            query_id=query_id,
            service=call.service,
            request_class=call.request_class,
            payload=call.payload,
            size=call.size,
            deadline_at_s=anyio.current_time() + call.deadline_ms / 1000,
            repeatable=call.repeatable,
            key_hash=None if call.key is None else hash_key(call.key),
            minimum_coverage=call.minimum_coverage,
        )
        return await self._driver.execute(query)

    def _count(self, call: QueryCall, final: FinalAnswer, seconds: float) -> None:
        # Unknown names come from callers and must not create time series of their own.
        known = self._catalog.services.get(call.service)
        request_class = call.request_class if known and call.request_class in known.policies else "unknown"
        service = call.service if known else ServiceName("unknown", "unknown")
        end, reason = "answered", ""
        if isinstance(final, Refuse):
            end, reason = final.failure.verdict.label, final.failure.reason.value
        names = (service.namespace, service.service, request_class)
        self._metrics.queries.labels(*names, end, reason).inc()
        self._metrics.latency.labels(*names).observe(seconds)


def _refusal(query_id: str, reason: Reason, detail: str) -> Refuse:
    return Refuse(query_id, Failure(reason, Verdict.NOT_RUN, detail, RETRY_AFTER_MS))
