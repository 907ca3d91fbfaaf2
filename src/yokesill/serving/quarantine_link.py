"""Connects a node's router to other nodes and to the registry's records of requests that crash servers."""

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

# Pause before a failed write of a record is retried, randomised by up to half in either direction. By then
# the nodes have informed each other, so the quarantine is only lost if all of them restart within this time.
RECORD_RETRY_S = 0.5
# Time after which a quarantined request may run again, since its servers' software may have been fixed. If it
# was not, the request crashes one server of each of its shards and two more each time.
RECORD_TTL_S = 3600.0
# Interval between checks for expired records; a sixtieth of ``RECORD_TTL_S`` is precise enough.
EXPIRY_CHECK_INTERVAL_S = 60.0


class QuarantineLink:
    """Exchanges findings between the router and other nodes, and maintains the registry's records.

    Parameters
    ----------
    exchange
        Selects the nodes that get each report or finding.
    crashes
        The router's state of quarantined and suspected requests.
    feed
        Feeds an event to the router.
    records
        The registry's records of quarantined requests; ``None`` if there are none.
    source
        Random source that spreads calls over time.
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
        # Recorded earlier, but possibly lost by the registry since.
        self._possibly_lost: dict[str, None] = {}
        self._recorded_at_s: dict[str, float] = {}
        self._record_requested = anyio.Event()
        self._log = get_logger("quarantine")

    # --- datagrams ---

    @property
    def pending(self) -> bool:
        """Whether ``flush`` would return anything."""
        return self._exchange.pending

    @property
    def urgent(self) -> bool:
        """Whether something must be sent without waiting for more to batch with it."""
        return self._exchange.urgent

    def flush(self) -> list[Datagram]:
        """Return the datagrams to send now."""
        return self._exchange.flush()

    def on_finding(self, finding: CrashFinding) -> None:
        """Send a finding of this node's router to other nodes."""
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
        """Handle a datagram; raises ``ValueError`` if it is invalid or its sender is not a node."""
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

    # --- records ---

    async def run(self) -> None:
        """Maintain the registry's records until cancelled."""
        if self._records is None:
            return
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._record, self._records)
            task_group.start_soon(self._lift_expired, self._records)

    def record_again(self) -> None:
        """Record owned requests again that the registry may have lost when restored from an older copy."""
        owned = (each for each in self._crashes.detector.recorded if self._exchange.owns(each))
        self._possibly_lost.update(dict.fromkeys(owned))
        self._record_requested.set()

    def _record_soon(self, fingerprint: str, status: QuarantineStatus) -> None:
        if status is QuarantineStatus.QUARANTINED and fingerprint not in self._crashes.detector.recorded:
            self._unrecorded[fingerprint] = None
            self._record_requested.set()

    async def _record(self, records: QuarantineRecords) -> None:
        """Record quarantined requests, with retries; skip those that another node has recorded."""
        while True:
            await self._record_requested.wait()
            self._record_requested = anyio.Event()
            while pending := self._possibly_lost or self._unrecorded:
                fingerprint = next(iter(pending))
                recorded = pending is self._unrecorded and fingerprint in self._crashes.detector.recorded
                failure = None if recorded else await records.record(fingerprint)
                if failure is None:
                    pending.pop(fingerprint, None)
                    continue
                self._log_failure("quarantine_not_recorded", fingerprint, failure)
                await anyio.sleep(RECORD_RETRY_S * (0.5 + self._random.random()))

    async def _lift_expired(self, records: QuarantineRecords) -> None:
        """Lift the quarantine of owned requests whose record is older than ``RECORD_TTL_S``."""
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
