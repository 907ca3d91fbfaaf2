"""Writes roll-outs' records to the registry, and knows whether this node can."""

from collections.abc import Callable

import anyio
import anyio.abc

from yokesill.logs import Logger
from yokesill.registry.feeds import RolloutRecords
from yokesill.rollouts.decider import RolloutDecider
from yokesill.rollouts.orders import RolloutOrder
from yokesill.verdict import Failure, Reason, Verdict

# A node that failed to write a record leaves deciding to others for so long: four of its reports.
UNABLE_S = 2.0


class RolloutRecorder:
    """Writes what a decider wants recorded, each in a task of its own.

    Parameters
    ----------
    decider
        Learns how each write ended.
    records
        The registry's records.
    reaches_registry
        Whether the registry answers this node, as far as it knows.
    wake
        Called after each write.
    log
        Gets a line for each write that failed.
    """

    def __init__(
        self,
        decider: RolloutDecider,
        records: RolloutRecords,
        reaches_registry: Callable[[], bool],
        wake: Callable[[], None],
        log: Logger,
    ) -> None:
        self._decider = decider
        self._records = records
        self._reaches_registry = reaches_registry
        self._wake = wake
        self._log = log
        self._unable_until_s = 0.0

    def can_record(self, now: float) -> bool:
        """Whether the registry answers this node, and no write of it failed lately."""
        return self._reaches_registry() and now >= self._unable_until_s

    def start(self, order: RolloutOrder, tasks: anyio.abc.TaskGroup) -> None:
        """Begin to write a record."""
        tasks.start_soon(self._record, order)

    async def _record(self, order: RolloutOrder) -> None:
        try:
            outcome = await self._records.record(order)
        except BaseException as error:
            # The decider writes nothing else of this order before it knows how this write ended.
            failure = Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, repr(error))
            self._decider.write_ended(order, failure, anyio.current_time())
            raise
        now = anyio.current_time()
        if isinstance(outcome, Failure):
            self._unable_until_s = now + UNABLE_S
            self._log.warning(
                "rollout_not_recorded",
                service=order.service,
                state=order.state.value,
                reason=outcome.reason.value,
                verdict=outcome.verdict.label,
                detail=outcome.detail,
            )
        self._decider.write_ended(order, outcome, now)
        self._wake()
