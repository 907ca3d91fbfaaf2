"""Decides when a request is suspected of crashing servers, quarantined, or cleared.

Inputs: servers lost while running a request, servers that answered it, whether it ran alone there (a trial),
and the findings of other nodes. A crash takes down all requests on its server, so a single loss is weak
evidence against any of them. A request that was running on several lost servers is suspected and from then on
tried on one server at a time. An answer in a trial clears it; losses in trials quarantine it.
``docs/design/quarantine.md`` has the measurements.
"""

import enum
import heapq
from typing import NamedTuple

# Fewer losses can't be distinguished from faults of the servers. An innocent request was running on fewer of
# the lost servers, or is answered by others.
LOSSES_TO_SUSPECT = 3
# A single trial may share its server with the request that does crash servers. That is unlikely for two
# trials in a row, and for one trial after ``LOSSES_FOR_SINGLE_TRIAL`` losses without an answer.
TRIALS_TO_QUARANTINE, LOSSES_FOR_SINGLE_TRIAL = 2, 2 * LOSSES_TO_SUSPECT
# How long evidence is kept: a request that crashes one server in ten minutes costs less than the memory.
EVIDENCE_TTL_S = 600.0
# How long a quarantine lasts that is not recorded in the registry; a recorded one lasts as long.
UNRECORDED_QUARANTINE_TTL_S = 3600.0
# A record takes 1.1 KB (bench/quarantine_cost.py), all of them 4.7 MB. Above the limit the oldest are
# evicted, in batches so that sorting is rare.
MAX_RECORDS, EVICTION_BATCH = 4096, 512


class QuarantineStatus(enum.IntEnum):
    """How a request may run: without restriction, on one server at a time, or not at all."""

    CLEAR = 0
    SUSPECTED = 1
    QUARANTINED = 2


class Loss(NamedTuple):
    """A server that was lost while running a request; ``trial`` if the request ran there alone."""

    instance: str
    service: str
    trial: bool = False


class _Record:
    """Evidence against one request: lost servers by service, and the servers lost in trials.

    ``shared`` is set once other nodes have evidence or a finding about it, too.
    """

    __slots__ = ("lost", "shared", "status", "trials", "updated_at_s")

    def __init__(self, now: float) -> None:
        self.updated_at_s = now
        self.status = QuarantineStatus.CLEAR
        self.lost: dict[str, set[str]] = {}
        self.trials: set[str] = set()
        self.shared = False

    def update_status(self) -> None:
        """Raise the status if there is enough evidence."""
        lost = sum(map(len, self.lost.values()))
        if self.status is QuarantineStatus.CLEAR and lost >= LOSSES_TO_SUSPECT:
            self.status = QuarantineStatus.SUSPECTED
        needed = 1 if lost >= LOSSES_FOR_SINGLE_TRIAL else TRIALS_TO_QUARANTINE
        if self.status is QuarantineStatus.SUSPECTED and len(self.trials) >= needed:
            self.status = QuarantineStatus.QUARANTINED


class CrashDetector:
    """One node's evidence and findings about requests that crash servers, by fingerprint.

    Times are in seconds of the node's clock.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._recorded: frozenset[str] = frozenset()

    def __len__(self) -> int:
        """Return the number of requests with evidence or a quarantine."""
        return len(self._records) + len(self._recorded)

    @property
    def quarantined(self) -> frozenset[str]:
        """Fingerprints of all quarantined requests."""
        unrecorded = (
            fingerprint
            for fingerprint, record in self._records.items()
            if record.status is QuarantineStatus.QUARANTINED
        )
        return self._recorded.union(unrecorded)

    @property
    def recorded(self) -> frozenset[str]:
        """Fingerprints of the quarantined requests that the registry records."""
        return self._recorded

    def status(self, fingerprint: str, now: float) -> QuarantineStatus:
        """Return a request's current status."""
        if fingerprint in self._recorded:
            return QuarantineStatus.QUARANTINED
        record = self._unexpired_record(fingerprint, now)
        return QuarantineStatus.CLEAR if record is None else record.status

    def suspected_services(self, fingerprint: str) -> frozenset[str]:
        """Return the services that lost servers to a request and have not answered it since."""
        record = self._records.get(fingerprint)
        return frozenset(record.lost) if record is not None else frozenset()

    # --- evidence ---

    def record_loss(self, fingerprint: str, loss: Loss, now: float) -> QuarantineStatus | None:
        """Record that a server was lost while running a request; return the new status if it changed."""
        if fingerprint in self._recorded:
            return None
        record = self._unexpired_record(fingerprint, now)
        if record is None:
            record = self._records[fingerprint] = _Record(now)
            self._evict_oldest()
        record.updated_at_s = now
        record.lost.setdefault(loss.service, set()).add(loss.instance)
        before = record.status
        if loss.trial and before is QuarantineStatus.SUSPECTED:
            record.trials.add(loss.instance)
        record.update_status()
        return record.status if record.status is not before else None

    def mark_shared(self, fingerprint: str) -> None:
        """Record that other nodes have evidence about a request."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.shared = True

    def is_shared(self, fingerprint: str) -> bool:
        """Whether other nodes have evidence about a request."""
        record = self._records.get(fingerprint)
        return record is not None and record.shared

    def record_answer(self, fingerprint: str, service: str, trial: bool) -> bool:
        """Record that a server answered a request; return whether that removed evidence.

        An answer in a trial removes all evidence. Any other answer removes the evidence of its own service
        and of each service that lost a single server, since that loss was then the server's own fault.
        Evidence of services that lost several servers stays: a request may crash the servers of one shard and
        be answered by those of all others.
        """
        record = self._records.get(fingerprint)
        if record is None or record.status is QuarantineStatus.QUARANTINED:
            return False
        if trial:
            del self._records[fingerprint]
            return True
        before = len(record.lost)
        record.lost = {
            name: instances
            for name, instances in record.lost.items()
            if name != service and len(instances) > 1
        }
        if not record.lost:
            del self._records[fingerprint]
        return len(record.lost) < before

    # --- findings of other nodes and the registry ---

    def receive_status(self, fingerprint: str, status: QuarantineStatus, now: float) -> bool:
        """Apply another node's finding, which never lowers the status; return whether it raised it."""
        if status <= self.status(fingerprint, now):
            return False
        record = self._records.setdefault(fingerprint, _Record(now))
        record.updated_at_s = now
        record.status = status
        record.shared = True
        self._evict_oldest()
        return True

    def set_recorded(self, fingerprints: frozenset[str]) -> None:
        """Replace the set of requests recorded in the registry; those no longer recorded are cleared."""
        for fingerprint in self._recorded | fingerprints:
            self._records.pop(fingerprint, None)
        self._recorded = fingerprints

    def _unexpired_record(self, fingerprint: str, now: float) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        ttl_s = (
            UNRECORDED_QUARANTINE_TTL_S if record.status is QuarantineStatus.QUARANTINED else EVIDENCE_TTL_S
        )
        if now - record.updated_at_s <= ttl_s:
            return record
        del self._records[fingerprint]
        return None

    def _evict_oldest(self) -> None:
        """Evict the oldest records when there are too many, quarantined ones last."""
        if len(self._records) <= MAX_RECORDS:
            return

        def eviction_key(fingerprint: str) -> tuple[QuarantineStatus, float]:
            record = self._records[fingerprint]
            return record.status, record.updated_at_s

        for fingerprint in heapq.nsmallest(EVICTION_BATCH, self._records, key=eviction_key):
            del self._records[fingerprint]
