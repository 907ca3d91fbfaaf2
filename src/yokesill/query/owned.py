"""Requests with an idempotency key: forwarded to the key's owner, reserved at its backup, run once.

The owner and backup follow from the members' ranks, which both sides of a network partition compute alike;
their records are kept by ``idempotency``. If the owner can't be reached, the verdict of the refusal says
whether the request may have run there. The protocol is modelled in ``spec/keys.pml``.
"""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import cbor2

from yokesill.comm.base import Transport
from yokesill.comm.sealing import Sealer
from yokesill.membership.table import MemberTable
from yokesill.query.calls import (
    QueryCall,
    decode_call,
    decode_final,
    decode_message,
    encode_call,
    encode_final,
)
from yokesill.query.idempotency import IdempotencyTable, Record, RecordKey
from yokesill.routing.events import Answer, Refuse
from yokesill.supervision import Supervisor
from yokesill.verdict import Failure, Reason, Verdict

OWNED_QUERY, RESERVE, SETTLE = "owned-query", "reserve", "settle"
# The time a backup may take to reserve or settle a key: many round trips, but short compared to the deadline
# of a request.
RESERVE_TIMEOUT_S = 0.5
# The time that the forwarding node waits beyond the request's deadline. The owner refuses within it, with a
# more precise verdict than a timeout would give. Must exceed ``JOIN_MARGIN_S``.
FORWARD_MARGIN_S = 1.0
# The time that a repeat waits beyond its deadline for the first request, which may take RESERVE_TIMEOUT_S
# longer.
JOIN_MARGIN_S = 0.6
# Retry-After of a refused keyed request; changes of the members are detected within seconds.
RETRY_AFTER_MS = 1000

Execute = Callable[[QueryCall, str], Awaitable[Answer | Refuse]]


class OwnedQueries:
    """Runs keyed requests at most once; ``execute`` runs a new request."""

    def __init__(
        self,
        table: MemberTable,
        transport: Transport,
        sealer: Sealer,
        execute: Execute,
        supervisor: Supervisor | None = None,
    ) -> None:
        self.records = IdempotencyTable()
        self._members = table
        self._transport = transport
        self._sealer = sealer
        self._execute = execute
        self._supervisor = supervisor or Supervisor()
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Run keyed requests until cancelled; a request continues when its caller disconnects."""
        async with anyio.create_task_group() as self._tasks:
            await anyio.sleep_forever()

    async def handle(self, call: QueryCall, query_id: str) -> Answer | Refuse:
        """Answer a caller's keyed request, here or at the owner of its key."""
        owner, backup = self._owners(call)
        if owner != self._members.own.address:
            return await self._forward(call, query_id, owner)
        return await self._run_as_owner(call, query_id, backup)

    async def answer(self, kind: str, body: bytes) -> bytes | None:
        """Answer a peer's authenticated request; ``None`` for a kind that is not handled here."""
        if kind == OWNED_QUERY:
            query_id, encoded = decode_message(body)
            return encode_final(await self._run_for_peer(decode_call(encoded), query_id))
        if kind == RESERVE:
            return self._handle_reserve(body)
        if kind == SETTLE:
            self._handle_settle(body)
            return b"\x80"
        return None

    # --- at the caller's node ---

    async def _forward(self, call: QueryCall, query_id: str, owner: str) -> Answer | Refuse:
        body = cbor2.dumps([query_id, encode_call(call)])
        timeout = call.deadline_ms / 1000 + FORWARD_MARGIN_S
        reply = await self._transport.request(owner, OWNED_QUERY, self._sealer.seal(body), timeout)
        if isinstance(reply, Failure):
            detail = f"owner {owner} of the key: {reply.detail}"
            return _refusal(query_id, Reason.OWNER_UNREACHABLE, reply.verdict, detail)
        opened = self._sealer.open(reply)
        if opened is None:
            return _refusal(query_id, Reason.OWNER_UNREACHABLE, Verdict.MAY_HAVE_RUN, "a forged answer")
        return decode_final(opened)

    def _owners(self, call: QueryCall) -> tuple[str, str | None]:
        """Return the key's owner and backup.

        Both sides of a network partition get the same pair, so they can't both run the request.
        """
        ranked = self._members.rank("/".join(_record_key(call)), self._members.serving())
        addresses = [each.address for each in ranked]
        if not addresses:
            return self._members.own.address, None
        return addresses[0], addresses[1] if len(addresses) > 1 else None

    # --- at the owner ---

    async def _run_for_peer(self, call: QueryCall, query_id: str) -> Answer | Refuse:
        """Run a request that a peer forwarded; its view of the members may differ from this node's.

        Either of the key's two members may run the request, if it reserves the key at the other one.
        """
        own, pair = self._members.own.address, self._owners(call)
        if own not in pair:
            detail = f"{own} does not own the key: the members changed"
            return _refusal(query_id, Reason.OWNER_UNREACHABLE, Verdict.NOT_RUN, detail)
        other = pair[1] if own == pair[0] else pair[0]
        return await self._run_as_owner(call, query_id, other)

    async def _run_as_owner(self, call: QueryCall, query_id: str, backup: str | None) -> Answer | Refuse:
        key, fingerprint = _record_key(call), call.fingerprint()
        now = anyio.current_time()
        record = self.records.get(key, now)
        if record is not None:
            return await self._join(call, record, query_id)
        record = self.records.create(key, fingerprint, query_id, now)
        if record is None:
            return _refusal(query_id, Reason.OVERLOADED, Verdict.NOT_RUN, "too many idempotency keys")
        if self._tasks is None:
            raise RuntimeError("the task group of keyed queries is not running")
        # Not in the caller's task: the caller may disconnect and repeat the request, and sent attempts can't
        # be undone.
        arguments = (call, query_id, key, record, backup)
        self._tasks.start_soon(self._supervisor.run_once, "keyed_queries", self._run_new, *arguments)
        return await self._join(call, record, query_id)

    async def _run_new(
        self, call: QueryCall, query_id: str, key: RecordKey, record: Record, backup: str | None
    ) -> None:
        """Reserve the key of a new request, run it and keep its outcome for repeats."""
        final = await self._reserve_at(backup, key, record.fingerprint, query_id)
        if final is None:
            final = await self._execute(call, query_id)
        record.settle(final)
        releases_key = _releases_key(call, final)
        if releases_key:
            self.records.release(key, query_id)
        if backup is not None:
            outcome = None if releases_key else encode_final(final)
            body = cbor2.dumps([list(key), query_id, outcome])
            await self._transport.request(backup, SETTLE, self._sealer.seal(body), RESERVE_TIMEOUT_S)

    async def _join(self, call: QueryCall, record: Record, query_id: str) -> Answer | Refuse:
        """Return the first request's outcome to a repeat."""
        if record.fingerprint != call.fingerprint():
            detail = "the idempotency key was used for another request"
            return _refusal(query_id, Reason.KEY_REUSED, Verdict.NOT_RUN, detail)
        with anyio.move_on_after(call.deadline_ms / 1000 + JOIN_MARGIN_S):
            await record.done.wait()
        if record.final is not None:
            return record.final
        return _refusal(query_id, Reason.DUPLICATE_IN_DOUBT, Verdict.MAY_HAVE_RUN, "the first is not settled")

    async def _reserve_at(
        self, backup: str | None, key: RecordKey, fingerprint: bytes, nonce: str
    ) -> Answer | Refuse | None:
        """Reserve the key at its backup; return the final answer, or ``None`` if the request may run."""
        if backup is None:
            return None
        body = cbor2.dumps([list(key), fingerprint, nonce])
        reply = await self._transport.request(backup, RESERVE, self._sealer.seal(body), RESERVE_TIMEOUT_S)
        opened = None if isinstance(reply, Failure) else self._sealer.open(reply)
        if opened is None:
            detail = f"backup {backup} of the key does not answer"
            return _refusal(nonce, Reason.OWNER_UNREACHABLE, Verdict.NOT_RUN, detail)
        state, encoded = decode_message(opened)
        if state == "done":
            return decode_final(encoded)
        if state == "reused":
            return _refusal(nonce, Reason.KEY_REUSED, Verdict.NOT_RUN, "used for another request")
        if state == "running":
            detail = "an earlier request with the key is not settled"
            return _refusal(nonce, Reason.DUPLICATE_IN_DOUBT, Verdict.MAY_HAVE_RUN, detail)
        return None

    # --- at the backup ---

    def _handle_reserve(self, body: bytes) -> bytes:
        key, fingerprint, nonce = decode_message(body)
        record_key: RecordKey = (key[0], key[1], key[2])
        now = anyio.current_time()
        record = self.records.get(record_key, now)
        if record is None or record.nonce == nonce:
            created = self.records.create(record_key, fingerprint, nonce, now)
            return cbor2.dumps(["new" if created is not None else "running", b""])
        if record.fingerprint != fingerprint:
            return cbor2.dumps(["reused", b""])
        if record.final is not None:
            return cbor2.dumps(["done", encode_final(record.final)])
        return cbor2.dumps(["running", b""])

    def _handle_settle(self, body: bytes) -> None:
        key, nonce, encoded = decode_message(body)
        record_key: RecordKey = (key[0], key[1], key[2])
        record = self.records.get(record_key, anyio.current_time())
        if record is None or record.nonce != nonce:
            return
        if encoded is None:
            self.records.release(record_key, nonce)
        else:
            record.settle(decode_final(encoded))


def _record_key(call: QueryCall) -> RecordKey:
    return (call.service.namespace, call.service.service, call.idempotency_key or "")


def _releases_key(call: QueryCall, final: Answer | Refuse) -> bool:
    """Whether the key is released: the request has not run, is repeatable, or has its record elsewhere."""
    if not isinstance(final, Refuse):
        return False
    failure = final.failure
    if failure.verdict is Verdict.NOT_RUN or call.repeatable:
        return True
    return failure.reason is Reason.DUPLICATE_IN_DOUBT


def _refusal(query_id: str, reason: Reason, verdict: Verdict, detail: str) -> Refuse:
    return Refuse(query_id, Failure(reason, verdict, detail, RETRY_AFTER_MS))
