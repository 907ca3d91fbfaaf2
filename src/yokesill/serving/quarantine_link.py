"""Connects a node's router to other nodes and to the registry's record of requests that crash servers."""

import random
from collections.abc import Callable

import anyio

from yokesill.gateway import events as ev
from yokesill.gateway.crash_tracker import CrashTracker
from yokesill.logs import get_logger
from yokesill.peers.dissemination import Datagram
from yokesill.quarantine.detector import QuarantineStatus
from yokesill.quarantine.exchange import QuarantineExchange
from yokesill.quarantine.messages import (
    QUARANTINE_KINDS,
    AnswerReport,
    Answers,
    Losses,
    LossReport,
    QuarantineFinding,
    QuarantineFindings,
)
from yokesill.registry.feeds import QuarantineRecords
from yokesill.serving.driver import CrashFinding
from yokesill.verdict import Failure

# Between two tries to write a record that failed, spread by a half each way: nodes have told each other by
# then, so only a restart of all of them in this time would lose the quarantine.
RECORD_RETRY_S = 0.5
# A quarantined request runs again after so long: its servers' software may have been repaired meanwhile. If
# not, it crashes a server of each of its shards and two more each time.
RECORD_TTL_S = 3600.0
# How often records are checked for their age; a sixtieth of the above is precise enough.
EXPIRY_CHECK_INTERVAL_S = 60.0


class QuarantineLink:
    """Tells others what the router found, the router what others found, and keeps the record.

    Parameters
    ----------
    exchange
        Knows whom to tell.
    crashes
        What the router knows.
    feed
        Gives the router an event.
    records
        The registry's record; ``None`` where there is none.
    source
        Spreads calls over time.
    wake
        Called when there is something to send.
    """

    kinds = QUARANTINE_KINDS

    def __init__(
        self,
        exchange: QuarantineExchange,
        crashes: CrashTracker,
        feed: Callable[[ev.Event], None],
        records: QuarantineRecords | None,
        source: random.Random,
        wake: Callable[[], None],
    ) -> None:
        self._exchange = exchange
        self._crashes = crashes
        self._feed = feed
        self._records = records
        self._random = source
        self._wake = wake
        self._unrecorded: dict[str, None] = {}
        # Recorded once, and perhaps lost by the registry since.
        self._recorded_again: dict[str, None] = {}
        self._recorded_at_s: dict[str, float] = {}
        self._record_due = anyio.Event()
        self._log = get_logger("quarantine")

    # --- datagrams ---

    @property
    def pending(self) -> bool:
        """Whether there is something to send."""
        return self._exchange.pending

    @property
    def urgent(self) -> bool:
        """Whether it can't wait for more to go with it."""
        return self._exchange.urgent

    def flush(self) -> list[Datagram]:
        """Return what is to be sent now."""
        return self._exchange.flush()

    def on_finding(self, finding: CrashFinding) -> None:
        """Tell others what this node's router found."""
        match finding:
            case ev.LossObserved(fingerprint, loss):
                self._exchange.report_loss(LossReport(fingerprint, loss))
            case ev.AnswerObserved(fingerprint, service, trial):
                self._exchange.report_answer(AnswerReport(fingerprint, service, trial))
            case ev.QuarantineStatusDecided(fingerprint, status):
                self._exchange.announce(QuarantineFinding(fingerprint, status))
                self._record_soon(fingerprint, status)
        self._wake()

    def receive(self, data: bytes, sender: str, now: float) -> None:
        """Read a datagram; raises ``ValueError`` if it is no message or from no node."""
        match self._exchange.receive(data, sender):
            case Losses(losses):
                for fingerprint, loss in losses:
                    self._feed(ev.LossReported(fingerprint, loss))
            case Answers(answers):
                for answer in answers:
                    self._feed(ev.AnswerReported(*answer))
            case QuarantineFindings(findings):
                for fingerprint, status in findings:
                    self._feed(ev.QuarantineStatusReceived(fingerprint, status))
                    if self._exchange.owns(fingerprint):
                        self._record_soon(fingerprint, status)

    # --- the record ---

    async def run(self) -> None:
        """Keep the registry's record until cancelled."""
        if self._records is None:
            return
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._record, self._records)
            task_group.start_soon(self._lift_old, self._records)

    def record_again(self) -> None:
        """Record what the registry may have lost by coming back from an older copy: the owners do it."""
        owned = (each for each in self._crashes.detector.recorded if self._exchange.owns(each))
        self._recorded_again.update(dict.fromkeys(owned))
        self._record_due.set()

    def _record_soon(self, fingerprint: str, status: QuarantineStatus) -> None:
        if status is QuarantineStatus.QUARANTINED and fingerprint not in self._crashes.detector.recorded:
            self._unrecorded[fingerprint] = None
            self._record_due.set()

    async def _record(self, records: QuarantineRecords) -> None:
        """Record what was found, as often as that takes; what another node has recorded needs no call."""
        while True:
            await self._record_due.wait()
            self._record_due = anyio.Event()
            while pending := self._recorded_again or self._unrecorded:
                fingerprint = next(iter(pending))
                known = pending is self._unrecorded and fingerprint in self._crashes.detector.recorded
                failure = None if known else await records.record(fingerprint)
                if failure is None:
                    pending.pop(fingerprint, None)
                    continue
                self._log_failure("quarantine_not_recorded", fingerprint, failure)
                await anyio.sleep(RECORD_RETRY_S * (0.5 + self._random.random()))

    async def _lift_old(self, records: QuarantineRecords) -> None:
        """Take requests off the record that have been on it for long; each one's owners do it."""
        while True:
            await anyio.sleep(EXPIRY_CHECK_INTERVAL_S * (0.5 + self._random.random()))
            now, recorded = anyio.current_time(), self._crashes.detector.recorded
            self._recorded_at_s = {each: self._recorded_at_s.get(each, now) for each in recorded}
            for fingerprint, since_s in self._recorded_at_s.items():
                if now - since_s >= RECORD_TTL_S and self._exchange.owns(fingerprint):
                    failure = await records.lift(fingerprint)
                    if failure is not None:
                        self._log_failure("quarantine_not_lifted", fingerprint, failure)

    def _log_failure(self, event: str, fingerprint: str, failure: Failure) -> None:
        self._log.info(event, fingerprint=fingerprint, reason=failure.reason, detail=failure.detail)
