"""The services that one request asks: which at once, which when there is room, which not at all."""

import math
import weakref

from yokesill.gateway.context import GatewayContext
from yokesill.gateway.documents import Gather, Route
from yokesill.gateway.events import Action, SetTimer, TimerKind
from yokesill.gateway.messages import GatewayRequest
from yokesill.gateway.requests.isolation import Isolation, SuspectRequest
from yokesill.gateway.requests.retry_after import retry_after_ms_of
from yokesill.gateway.requests.service_call import NEVER, ServiceCall
from yokesill.gateway.servers.selection import Choice

# So many usual latencies before an answer would be late another server is asked, even if the attempt is not
# late by its usual time yet: without it searches lose 0.003 of their credit and checks 0.002, most where two
# shards have only slow servers (0.025; bench/overload.py, three seeds).
LATEST_HEDGE_SHARE = 1.3
ROUNDING = 1e-9


class FanOut:
    """The calls of one request, ``required`` of which must bring a part.

    Services that have a sound server are asked at once. Where all servers are slow, a call is
    deferred: as many of those as the answer needs are asked when there is room, the others only
    where room would be left idle. ``owner`` is the request itself, which waits for that room.
    """

    def __init__(
        self,
        owner: SuspectRequest,
        request: GatewayRequest,
        route: Route,
        services: tuple[str, ...],
        context: GatewayContext,
    ) -> None:
        # Weak: two that held each other would stay, with a whole request's answers, until the interpreter
        # looks for cycles; 780 objects for each request to 90 services.
        self._owner: SuspectRequest = weakref.proxy(owner)
        self._waits = weakref.ref(owner)
        self._request = request
        self.calls = [ServiceCall(service, request, route, context) for service in services]
        self.by_number: dict[int, ServiceCall] = {}
        self.covered = 0
        # A coordinator that was asked before counted it towards the nodes' common budget.
        self._counted_before = request.asked_before
        self._route = route
        self._context = context
        self._by_service = {call.service: call for call in self.calls}
        self.isolation = Isolation()
        self._unsettled = len(self.calls)
        self._deferred = 0
        self._gathers = isinstance(route.destination, Gather)
        share = route.destination.minimum_coverage if isinstance(route.destination, Gather) else 1.0
        self.required = max(1, math.ceil(share * len(self.calls) - ROUNDING))

    # --- what is known of them ---

    @property
    def coverage_met(self) -> bool:
        """Whether as many parts are in as the answer needs."""
        return self.covered >= self.required

    @property
    def pending(self) -> int:
        """How many calls were asked and may still bring a part."""
        return self._unsettled - self._deferred

    @property
    def coverage_unreachable(self) -> bool:
        """Whether too few parts can still come."""
        return self.covered + self._unsettled < self.required

    def awaits_slot(self, service: str) -> bool:
        """Whether a service should be asked as soon as one of its slow servers has room."""
        call = self._by_service[service]
        return bool(call.deferred) and self._wanted() > 0

    def _wanted(self) -> int:
        """Return how many of the deferred calls the answer still needs."""
        if not self._context.options.leaves_out:
            return self._deferred
        expected = sum(call.open and not call.deferred and not call.late for call in self.calls)
        return self.required - self.covered - expected

    # --- asking ---

    def begin(self, now: float, actions: list[Action]) -> None:
        """Ask every service that has a sound server, and of the others what is needed.

        Nobody is asked if too few can be: the request is then refused as one that surely has not run.
        """
        delay = self.hedge_delay(now)
        if self._context.rollouts.effective:
            self._choose_canaries(now)
        looks = [(call, call.select(now)) for call in self.calls]
        if sum(call.can_send_first(choice, now) for call, choice in looks) < self.required:
            self._ask_nobody(looks, now, actions)
            return
        if not self._counted_before:
            # What is sent nowhere may still come to another node, which counts it.
            for call in self.calls:
                self._context.budget(call.service).count_request(now)
        if self._heed_suspicion(now):
            self.isolation.held = self._owner.suspects_first(self.calls)
            self._try_next(now, actions)
            return
        for call, choice in looks:
            self._begin_call(call, choice, delay, now, actions)
        self.fill(now, actions)

    def _begin_call(
        self, call: ServiceCall, choice: Choice | None, delay: float, now: float, actions: list[Action]
    ) -> None:
        if choice is None or choice.sound:
            call.begin(choice, self._owner.deadline_at_s, delay, now, actions)
            self._took(call)
        else:
            self._defer(call, "first", now)

    # --- while servers are feared to end by this request ---

    def _heed_suspicion(self, now: float) -> bool:
        """Whether calls are held at this moment; what waits for room is held with them."""
        needed = self.isolation.update(self._owner.suspected(now))
        if needed and self._deferred:
            self.isolation.hold_waiting(self.calls)
            self._deferred = 0
        return needed

    def ended(self, number: int, now: float, actions: list[Action], answered: bool, lost: str) -> None:
        """Take how an attempt ended (see ``Isolation.ended``): a trial may begin, or what is held may go."""
        was_needed = self.isolation.needed
        self.isolation.ended(number, answered, lost)
        if not was_needed:
            return
        if self._heed_suspicion(now):
            self._try_next(now, actions)
            return
        for call in self.isolation.release():
            if call.sent:
                self.retry(call, now, actions)
            else:
                self._begin_call(call, call.select(now), self.hedge_delay(now), now, actions)
        self.fill(now, actions)

    def _try_next(self, now: float, actions: list[Action]) -> None:
        while (call := self.isolation.next(bool(self.by_number))) is not None:
            attempt = call.probe(self._owner.deadline_at_s, NEVER, now, actions)
            self.isolation.trial = None if attempt is None else attempt.number
            self._took(call)

    def _choose_canaries(self, now: float) -> None:
        """Let as many calls be canaries as the answer can do without: a bad version then spoils none."""
        most = max(1, len(self.calls) - self.required)
        rollouts = self._context.rollouts
        for service in rollouts.canaries(self._request, self._route, self._by_service, most, now):
            self._by_service[service].canary = True

    def _ask_nobody(
        self, looks: list[tuple[ServiceCall, Choice | None]], now: float, actions: list[Action]
    ) -> None:
        for call, choice in looks:
            if call.can_send_first(choice, now):
                call.skip()
            else:
                call.begin(None, self._owner.deadline_at_s, NEVER, now, actions)
            self.count(call)

    def retry_after_ms_of(self, now: float) -> int:
        """Return after how long the caller may come back, in milliseconds; the request has not run."""
        times = (call.available_at_s(now) for call in self.calls)
        return retry_after_ms_of(
            times, self.required, now, self._owner.deadline_at_s, self._context.random_source
        )

    def fill(self, now: float, actions: list[Action]) -> None:
        """Ask deferred services that are needed and have room; the owner waits for the rest."""
        if not self._deferred or self._heed_suspicion(now):
            return
        looks = [(call, call.select(now)) for call in self.calls if call.deferred]
        looks.sort(key=lambda each: NEVER if each[1] is None else each[1].expected_s)
        for call, choice in looks:
            if choice is None or self._may_go(choice, now):
                self._go(call, choice, now, actions)
        if self._wanted() <= 0:
            return
        for call, choice in looks:
            if call.deferred and choice is not None:
                self._wait(call, choice, now, actions)

    def _may_go(self, choice: Choice, now: float) -> bool:
        """Whether a slow server may be asked now.

        It has room and is needed, or would be idle. Or its room comes too late for this request, which
        nothing is gained by holding: a node's share of the pace is a guess where few of many nodes ask.
        Measured in bench/overload.py with 9 of 195 nodes asking: never served 0.178 -> 0.
        """
        has_room = self._context.has_room(choice, now)
        if self._wanted() > 0:
            return has_room or choice.too_late(self._owner.deadline_at_s, now)
        return has_room and choice.idle(now)

    def _wait(self, call: ServiceCall, choice: Choice, now: float, actions: list[Action]) -> None:
        waiting = self._context.waiting
        owner = self._waits()
        if owner is not None:
            waiting.enter(call.service, owner, choice.expected_s)
        if waiting.look_again(call.service, choice.room_at_s):
            actions.append(SetTimer(call.service, TimerKind.PACING, choice.room_at_s))

    def dispatch_deferred(self, service: str, now: float, actions: list[Action]) -> float | None:
        """Ask a service that has room; return ``None``, or from when on it has room (seconds)."""
        call = self._by_service[service]
        choice = call.select(now)
        if choice is not None and not self._context.has_room(choice, now):
            return choice.room_at_s
        self._go(call, choice, now, actions)
        return None

    def _go(
        self,
        call: ServiceCall,
        choice: Choice | None,
        now: float,
        actions: list[Action],
    ) -> None:
        self._deferred -= 1
        call.dispatch_deferred(choice, self._owner.deadline_at_s, self.hedge_delay(now), now, actions)
        self._took(call)

    def _defer(self, call: ServiceCall, cause: str, now: float) -> None:
        call.defer(cause, now)
        self._deferred += 1

    # --- hedges and retries ---

    def hedge_delay(self, now: float) -> float:
        """Return after how long an attempt counts as late, in seconds.

        That is some typical latencies, but early enough for another server to answer in time.
        """
        options = self._context.options
        factor = options.gather_hedge_factor if self._gathers else options.single_hedge_factor
        typical = self._context.typical(self._route).median
        latest = self._owner.objective_at_s - now - LATEST_HEDGE_SHARE * typical
        delay = typical * factor
        if typical < latest < delay:
            delay = latest
        return max(delay, options.minimum_hedge_delay_s)

    def late_calls(self, now: float) -> list[ServiceCall]:
        """Return the calls whose attempts are late."""
        return [call for call in self.calls if call.open and call.hedge_at <= now]

    def next_hedge_at(self) -> float:
        """Return when the next attempt is late."""
        return min((call.hedge_at for call in self.calls if call.open), default=NEVER)

    def hedge(self, late: list[ServiceCall], now: float, actions: list[Action]) -> None:
        """Ask other servers of the services whose attempts are late."""
        if self._heed_suspicion(now):
            for call in late:
                call.hedge_at = NEVER
            return
        delay = self.hedge_delay(now)
        for call in late:
            call.hedge(self._owner.deadline_at_s, delay, now, actions)
            self._took(call)
        self.fill(now, actions)

    def retry(self, call: ServiceCall, now: float, actions: list[Action]) -> None:
        """Ask a service again after an attempt that brought no success."""
        if self._heed_suspicion(now) and call.open and not call.live_numbers and call.repeatable(now):
            call.hedge_at = NEVER
            self.isolation.held.append(call)
            self._try_next(now, actions)
            return
        was_deferred = bool(call.deferred)
        call.retry(self._owner.deadline_at_s, self.hedge_delay(now), now, actions)
        self._deferred += bool(call.deferred) - was_deferred
        self._took(call)
        self.fill(now, actions)

    # --- counting ---

    def _took(self, call: ServiceCall) -> None:
        """Note a call's new attempts, and count it once it can bring nothing more."""
        for number in call.live_numbers:
            self.by_number[number] = call
        self.count(call)

    def count(self, call: ServiceCall) -> None:
        """Count a call once it can bring nothing more; a wide request can't look at all each time."""
        if not call.open and not call.settled:
            call.settled = True
            self._unsettled -= 1
            self._deferred -= bool(call.deferred)
            call.deferred = ""
            self.covered += call.reply is not None
