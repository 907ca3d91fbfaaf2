"""When a request is suspected of crashing servers, quarantined, or released.

Inputs: servers lost under a request, servers that answered it, whether it ran alone there (a trial), and what
other nodes found. A crash takes all requests of its server with it, so one loss says little of any of them. A
request that several servers were lost under is suspected: it is tried at one server at a time. An answer in a
trial clears it; servers lost in trials quarantine it. ``docs/design/quarantine.md`` has what was measured.
"""

import enum
import heapq
from typing import NamedTuple

# With fewer losses a request can't be told from a server's own fault; an innocent request beside it was at
# fewer of those servers, or is answered by others.
LOST_TO_SUSPECT = 3
# One trial may share its server with the very request that crashes servers; two in a row hardly do, nor does
# one after so many losses that no server answered the request.
TRIALS_TO_QUARANTINE, LOST_BESIDE_ONE_TRIAL = 2, 2 * LOST_TO_SUSPECT
# Evidence is kept for so long: a request that crashes a server once in ten minutes costs less than the
# memory.
EVIDENCE_S = 600.0
# A quarantine that nobody recorded in the registry ends after so long, as a recorded one does.
UNRECORDED_S = 3600.0
# 1.1 KB each (bench/quarantine_cost.py), 4.7 MB in all. Beyond, the oldest are dropped, so many at a time
# that sorting them is rare.
MAX_RECORDS, FORGOTTEN_AT_ONCE = 4096, 512


class QuarantineStatus(enum.IntEnum):
    """What holds for a request: it runs as any other, at one server at a time, or not at all."""

    CLEAR = 0
    SUSPECTED = 1
    QUARANTINED = 2


class Loss(NamedTuple):
    """A server that was lost under a request; ``trial`` if the request ran there alone."""

    instance: str
    service: str
    trial: bool = False


class _Record:
    """What is known of one request: servers lost under it, by service, and those of trials.

    ``shared`` if other nodes know something of it, too.
    """

    __slots__ = ("at_s", "lost", "shared", "status", "trials")

    def __init__(self, now: float) -> None:
        self.at_s = now
        self.status = QuarantineStatus.CLEAR
        self.lost: dict[str, set[str]] = {}
        self.trials: set[str] = set()
        self.shared = False

    def update_status(self) -> None:
        """Raise the status if the evidence is enough."""
        lost = sum(map(len, self.lost.values()))
        if self.status is QuarantineStatus.CLEAR and lost >= LOST_TO_SUSPECT:
            self.status = QuarantineStatus.SUSPECTED
        needed = 1 if lost >= LOST_BESIDE_ONE_TRIAL else TRIALS_TO_QUARANTINE
        if self.status is QuarantineStatus.SUSPECTED and len(self.trials) >= needed:
            self.status = QuarantineStatus.QUARANTINED


class CrashDetector:
    """What one node knows of requests that servers were lost under, by their fingerprints.

    Times are in seconds of the node's clock.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._recorded: frozenset[str] = frozenset()

    def __len__(self) -> int:
        """Of how many requests something is known."""
        return len(self._records) + len(self._recorded)

    @property
    def quarantined(self) -> frozenset[str]:
        """All quarantined requests."""
        unrecorded = (each for each, of in self._records.items() if of.status is QuarantineStatus.QUARANTINED)
        return self._recorded.union(unrecorded)

    @property
    def recorded(self) -> frozenset[str]:
        """Those of them that the registry records."""
        return self._recorded

    def status(self, fingerprint: str, now: float) -> QuarantineStatus:
        """Return what holds for a request now."""
        if fingerprint in self._recorded:
            return QuarantineStatus.QUARANTINED
        record = self._current(fingerprint, now)
        return QuarantineStatus.CLEAR if record is None else record.status

    def suspected_services(self, fingerprint: str) -> frozenset[str]:
        """Return the services that lost servers under a request and did not answer it since."""
        record = self._records.get(fingerprint)
        return frozenset(record.lost) if record is not None else frozenset()

    # --- evidence ---

    def record_loss(self, fingerprint: str, loss: Loss, now: float) -> QuarantineStatus | None:
        """Note that a server was lost under a request; return its status if that has changed."""
        if fingerprint in self._recorded:
            return None
        record = self._current(fingerprint, now)
        if record is None:
            record = self._records[fingerprint] = _Record(now)
            self._forget_old()
        record.at_s = now
        record.lost.setdefault(loss.service, set()).add(loss.instance)
        before = record.status
        if loss.trial and before is QuarantineStatus.SUSPECTED:
            record.trials.add(loss.instance)
        record.update_status()
        return record.status if record.status is not before else None

    def mark_shared(self, fingerprint: str) -> None:
        """Note that other nodes know of a request."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.shared = True

    def is_shared(self, fingerprint: str) -> bool:
        """Whether other nodes know of a request."""
        record = self._records.get(fingerprint)
        return record is not None and record.shared

    def record_answer(self, fingerprint: str, service: str, trial: bool) -> bool:
        """Note that a server answered a request; return whether that clears it of something.

        An answer in a trial clears it of all. Any other one clears it of its own service and of those
        that lost one server, by that server's own fault then; not of those that lost several: a request may
        crash the servers of one shard and be answered by those of all others.
        """
        record = self._records.get(fingerprint)
        if record is None or record.status is QuarantineStatus.QUARANTINED:
            return False
        if trial:
            del self._records[fingerprint]
            return True
        before = len(record.lost)
        record.lost = {name: of for name, of in record.lost.items() if name != service and len(of) > 1}
        if not record.lost:
            del self._records[fingerprint]
        return len(record.lost) < before

    # --- what others found ---

    def receive_status(self, fingerprint: str, status: QuarantineStatus, now: float) -> bool:
        """Apply another node's finding; return whether it raises the status. It never lowers it."""
        if status <= self.status(fingerprint, now):
            return False
        record = self._records.setdefault(fingerprint, _Record(now))
        record.at_s = now
        record.status = status
        record.shared = True
        self._forget_old()
        return True

    def set_recorded(self, fingerprints: frozenset[str]) -> None:
        """Set which requests the registry records; one that is not recorded any more is cleared."""
        for fingerprint in self._recorded | fingerprints:
            self._records.pop(fingerprint, None)
        self._recorded = fingerprints

    def _current(self, fingerprint: str, now: float) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        kept_s = UNRECORDED_S if record.status is QuarantineStatus.QUARANTINED else EVIDENCE_S
        if now - record.at_s <= kept_s:
            return record
        del self._records[fingerprint]
        return None

    def _forget_old(self) -> None:
        """Keep the number of records bounded: the oldest go, quarantined ones last."""
        if len(self._records) <= MAX_RECORDS:
            return

        def worth(fingerprint: str) -> tuple[QuarantineStatus, float]:
            record = self._records[fingerprint]
            return record.status, record.at_s

        for fingerprint in heapq.nsmallest(FORGOTTEN_AT_ONCE, self._records, key=worth):
            del self._records[fingerprint]
