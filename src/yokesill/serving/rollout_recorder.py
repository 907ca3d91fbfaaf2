"""Writes the records of roll-outs to the registry and tracks whether this node is able to."""

from collections.abc import Callable

import anyio
import anyio.abc

from yokesill.logs import Logger
from yokesill.registry.feeds import RolloutRecords
from yokesill.rollouts.decider import RolloutDecider
from yokesill.rollouts.orders import RolloutOrder
from yokesill.verdict import Failure, Reason, Verdict

# Time for which a node leaves decisions to others after it failed to write a record: four of its reports.
WRITE_FAILURE_BACKOFF_S = 2.0


class RolloutRecorder:
    """Writes a decider's records, each in a separate task.

    Parameters
    ----------
    decider
        Gets the outcome of each write.
    records
        The registry's records.
    reaches_registry
        Returns whether the registry answers this node, according to its last calls.
    wake
        Called after each write.
    log
        Logs each failed write.
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
        self._backoff_until_s = 0.0

    def can_record(self, now: float) -> bool:
        """Whether the registry answers this node and none of its writes failed recently."""
        return self._reaches_registry() and now >= self._backoff_until_s

    def start(self, order: RolloutOrder, tasks: anyio.abc.TaskGroup) -> None:
        """Start a task that writes a record."""
        tasks.start_soon(self._record, order)

    async def _record(self, order: RolloutOrder) -> None:
        try:
            outcome = await self._records.record(order)
        except BaseException as error:
            # The decider writes no other record of this order until it gets the outcome of this write.
            failure = Failure(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, repr(error))
            self._decider.write_ended(order, failure, anyio.current_time())
            raise
        now = anyio.current_time()
        if isinstance(outcome, Failure):
            self._backoff_until_s = now + WRITE_FAILURE_BACKOFF_S
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
