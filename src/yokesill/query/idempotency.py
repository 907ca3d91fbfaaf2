"""Records of requests with an idempotency key, kept in memory by two nodes.

The two members of highest rendezvous rank for a key keep its record: the owner, which runs the request, and
the backup, where the owner reserves the key before anything is sent. If one member is lost, restarts or joins
between a request and its repeat, the other one still has the record. Two such changes within ``RETENTION_S``
lose the record (docs/PROMISES.md).
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import anyio

from yokesill.routing.events import Answer, Refuse

# How long a repeat is recognised; much longer than the longest deadline of a request.
RETENTION_S = 600.0
# Limits the memory; when the table is full, new keyed requests are refused as overloaded.
MAXIMUM_RECORDS = 100_000

RecordKey = tuple[str, str, str]


@dataclass(slots=True)
class Record:
    """The request of one key, which is running until ``final`` is set."""

    fingerprint: bytes
    created_at: float
    nonce: str
    final: Answer | Refuse | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    def settle(self, final: Answer | Refuse) -> None:
        """Set the outcome, which all later repeats get too."""
        self.final = final
        self.done.set()


class IdempotencyTable:
    """The records kept at this node, oldest first."""

    def __init__(self) -> None:
        self._records: OrderedDict[RecordKey, Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: RecordKey, now: float) -> Record | None:
        """Return the record of ``key`` unless it has expired."""
        self._expire(now)
        return self._records.get(key)

    def create(self, key: RecordKey, fingerprint: bytes, nonce: str, now: float) -> Record | None:
        """Add a record of a running request; ``None`` when the table is full of records still in use."""
        self._expire(now)
        if len(self._records) >= MAXIMUM_RECORDS:
            return None
        record = self._records[key] = Record(fingerprint, now, nonce)
        return record

    def release(self, key: RecordKey, nonce: str) -> None:
        """Remove the record that ``nonce`` created, so that a repeat may run."""
        record = self._records.get(key)
        if record is not None and record.nonce == nonce:
            del self._records[key]

    def _expire(self, now: float) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            if now - oldest.created_at < RETENTION_S or (oldest.final is None and not oldest.done.is_set()):
                return
            self._records.popitem(last=False)
