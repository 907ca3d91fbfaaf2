"""Simulates callers' outcomes while shards lose most of their capacity: many nodes, shared servers.

Several gateway routers share servers with slots, a bounded queue and no load reports. For some seconds
two of three servers of some shards (or all of them) become slow or unresponsive. The load is a share of
the remaining capacity, and each caller retries once after a refusal. Runs in virtual time, is
reproducible from its seed and takes seconds. The servers follow the emulator's model (slots, queue,
rejection when full, slow, unresponsive), implemented as events, since thousands of queries are simulated.

    python bench/overload.py --seeds 1,2,3
    python bench/overload.py --off paces,leaves_out
"""

import argparse
import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from results_file import write_results

from yokesill.gateway import events as ev
from yokesill.gateway.documents import (
    Configuration,
    Gather,
    Route,
    ServerRecord,
    ServiceLimits,
    Split,
    WeightedService,
)
from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.gateway.messages import Attempt, GatewayRequest, Load, ServerReply
from yokesill.gateway.options import GatewayOptions
from yokesill.gateway.router import GatewayRouter
from yokesill.verdict import Failure, Reason, Verdict

NODES, SHARDS, SERVERS_PER_SHARD, SLOTS, QUEUE, CONNECTIONS = 9, 10, 3, 3, 18, 31
ONE_WAY_DELAY_S, MAX_CONNECTION_WAIT_S = 0.001, 0.5
SERVICE_TIME_SIGMA = 0.35
BUDGET = BudgetLimits(ratio=0.2, allowance=58.0, window_s=10.0)
FAULT_START_S, FAULT_DURATION_S, RECOVERY_S = 5.0, 5.0, 5.0


class CallerClass(NamedTuple):
    """One class of callers; ``work_s`` is the service time of one part on a healthy server."""

    name: str
    route: Route
    share: float
    work_s: float


def _wide(name: str, coverage: float, target: float, timeout: float, priority: int) -> Route:
    services = tuple(f"s{number}" for number in range(SHARDS))
    destination = Gather(services, 10, coverage)
    return Route(name, name, "/", True, timeout, target, 2, priority, destination)


CLASSES = (
    CallerClass("search", _wide("search", 0.89, 0.233, 3.0, 1), 0.6, 0.030),
    CallerClass("check", _wide("check", 0.75, 0.131, 2.0, 2), 0.2, 0.010),
    CallerClass(
        "single",
        Route("single", "single", "/", True, 12.0, 0.818, 2, 2, Split((WeightedService("desk", 1.0),))),
        0.2,
        0.160,
    ),
)


class Scenario(NamedTuple):
    """The affected shards and servers per shard, their fault, and the rate of callers.

    ``unresponsive`` of the affected servers of a shard do not reply at all; the others are slow. ``NODES`` of
    the ``node_count`` nodes have callers. With ``reports_load``, the servers report their load.
    """

    name: str
    shards: int
    servers: int
    slow_factor: float
    callers_per_second: float
    unresponsive: int = 0
    node_count: int = NODES
    reports_load: bool = False


SCENARIOS = (
    Scenario("calm", 0, 0, 1.0, 112.0),
    Scenario("two of three slow, 0.7", 4, 2, 8.0, 112.0),
    Scenario("two of three dark, 0.7", 4, 2, 8.0, 125.0, unresponsive=2),
    Scenario("two of three slow, 1.2", 4, 2, 8.0, 190.0),
    Scenario("two shards all slow, 0.7", 2, 3, 8.0, 80.0),
    Scenario("two shards all slow, 1.2", 2, 3, 8.0, 130.0),
    Scenario("two shards all slow, 0.7, of 195 nodes", 2, 3, 8.0, 80.0, node_count=195),
    Scenario(
        "two shards all slow, 0.7, of 195 nodes, told", 2, 3, 8.0, 80.0, node_count=195, reports_load=True
    ),
    Scenario(
        "two shards all slow, 1.2, of 195 nodes, told", 2, 3, 8.0, 130.0, node_count=195, reports_load=True
    ),
    Scenario("two shards all slow or dark", 2, 3, 8.0, 112.0, unresponsive=1),
)


class VirtualTimeLoop:
    """Event loop in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Call ``what`` at ``when`` (seconds)."""
        heapq.heappush(self._heap, (max(when, self.now), next(self._numbers), what))

    def run(self) -> None:
        """Run all events in order of time."""
        while self._heap:
            self.now, _, what = heapq.heappop(self._heap)
            what()


@dataclass(slots=True)
class Arrival:
    """An attempt at a server; ``done`` is called with whether it ran."""

    work_s: float
    done: Callable[[bool], None]
    cancelled: bool = False


@dataclass(slots=True)
class Server:
    """Slots, a queue and the current slow-down; an infinite factor means unresponsive."""

    world: VirtualTimeLoop
    slow_factor: float = 1.0
    running: int = 0
    busy_s: float = 0.0
    queue: deque[Arrival] = field(default_factory=deque)
    unread: list[Arrival] = field(default_factory=list)

    def arrive(self, arrival: Arrival) -> None:
        """Run an attempt, queue it, or reject it if the queue is full."""
        if self.slow_factor == float("inf"):
            self.unread.append(arrival)
        elif self.running < SLOTS:
            self._start(arrival)
        elif len(self.queue) < QUEUE:
            self.queue.append(arrival)
        else:
            arrival.done(False)

    def _start(self, arrival: Arrival) -> None:
        self.running += 1
        work_s = arrival.work_s * self.slow_factor
        self.busy_s += work_s
        self.world.at(self.world.now + work_s, lambda: self._end(arrival))

    def _end(self, arrival: Arrival) -> None:
        self.running -= 1
        if not arrival.cancelled:
            arrival.done(True)
        while self.queue and self.running < SLOTS:
            waiting = self.queue.popleft()
            if not waiting.cancelled:
                self._start(waiting)

    def set_slow(self, factor: float) -> None:
        """Change the slow-down; a server that was unresponsive first reads the attempts sent meanwhile."""
        self.slow_factor = factor
        unread, self.unread = self.unread, []
        for arrival in unread:
            if not arrival.cancelled:
                self.arrive(arrival)


@dataclass(slots=True)
class Link:
    """Connections of one node to one server; an attempt that finds all in use waits for one."""

    busy: int = 0
    waiting: deque[Callable[[], bool]] = field(default_factory=deque)


class Node:
    """One router and its connections to the servers."""

    def __init__(self, play: "Play", name: str, options: GatewayOptions) -> None:
        self._play = play
        self._world = play.world
        self._router = GatewayRouter(replace(options, node=name), play.random, -100.0)
        self._links: dict[str, Link] = {}
        self._cancel: dict[int, Callable[[], None]] = {}
        self._finals: dict[str, Callable[[ev.FinalAnswer], None]] = {}

    def feed(self, event: ev.Event) -> None:
        """Pass an event to the router and execute its actions."""
        for action in self._router.on_event(event, self._world.now):
            match action:
                case ev.SendAttempt(attempt):
                    self._send(attempt)
                case ev.SetTimer(key, kind, at):
                    fired = ev.TimerFired(key, kind)
                    self._world.at(at, lambda fired=fired: self.feed(fired))  # type: ignore[misc]
                case ev.CancelAttempt(number):
                    self._cancel.pop(number, lambda: None)()
                case ev.PassOn(key) | ev.Gathered(key) | ev.Refuse(key):
                    self._finals.pop(key)(action)
                case ev.LogEvent():
                    self._play.counts[action.name] += 1

    def ask(self, request: GatewayRequest, done: Callable[[ev.FinalAnswer], None]) -> None:
        """Send a caller's request to the router."""
        self._finals[request.key] = done
        self.feed(ev.RequestArrived(request))

    def _send(self, attempt: Attempt) -> None:
        link = self._links.setdefault(attempt.server.instance, Link())
        if link.busy < attempt.connection_limit:
            link.busy += 1
            self._exchange(attempt, link)
            return
        waits = True

        def turn() -> bool:
            nonlocal waits
            if waits:
                waits = False
                self._exchange(attempt, link)
                return True
            return False

        def give_up() -> None:
            nonlocal waits
            if waits:
                waits = False
                failure = Failure(Reason.OVERLOADED, Verdict.NOT_RUN)
                self.feed(ev.AttemptFailed(attempt.number, failure))

        link.waiting.append(turn)
        self._world.at(min(self._world.now + MAX_CONNECTION_WAIT_S, attempt.deadline_at_s), give_up)

    def _exchange(self, attempt: Attempt, link: Link) -> None:
        play, sent_at = self._play, self._world.now
        over = False

        def end(event: ev.Event | None) -> None:
            nonlocal over
            if over:
                return
            over = True
            self._cancel.pop(attempt.number, None)
            if not any(waiter() for waiter in _drain(link.waiting)):
                link.busy -= 1
            if event is not None:
                self.feed(event)

        def done(ran: bool) -> None:
            if ran:
                reply = ServerReply(200, (), b"", b"s", play.load_of(attempt))
                answer = ev.AttemptAnswered(attempt.number, reply, sent_at_s=sent_at)
                self._world.at(self._world.now + ONE_WAY_DELAY_S, lambda: end(answer))
            else:
                play.counts["rejected"] += 1
                shed = ev.AttemptFailed(attempt.number, Failure(Reason.SHED, Verdict.NOT_RUN))
                self._world.at(self._world.now + ONE_WAY_DELAY_S, lambda: end(shed))

        arrival = Arrival(play.draw_work(attempt), done)

        def cancel() -> None:
            arrival.cancelled = True
            end(None)

        def expire() -> None:
            if not over:
                arrival.cancelled = True
                late = Failure(Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN)
                end(ev.AttemptFailed(attempt.number, late))

        self._cancel[attempt.number] = cancel
        play.count_arrival(attempt)
        server = play.servers[attempt.server.instance]
        self._world.at(self._world.now + ONE_WAY_DELAY_S, lambda: server.arrive(arrival))
        self._world.at(attempt.deadline_at_s, expire)


def _drain(waiting: deque[Callable[[], bool]]) -> "itertools.chain[Callable[[], bool]]":
    def pop():  # type: ignore[no-untyped-def]
        while waiting:
            yield waiting.popleft()

    return itertools.chain(pop())


class Play:
    """One run of a scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int, options: GatewayOptions) -> None:
        self.world = VirtualTimeLoop()
        self.random = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.outcomes: dict[str, Counter[str]] = {each.name: Counter() for each in CLASSES}
        self.servers: dict[str, Server] = {}
        self._scenario = scenario
        self._seen: Counter[tuple[str, str]] = Counter()
        self._extra: Counter[str] = Counter()
        self._keys = itertools.count(1)
        records = [
            ServerRecord(f"s{shard}-{number}", f"s{shard}", "10.0.0.1", 80 + number, "z", SLOTS)
            for shard in range(SHARDS)
            for number in range(SERVERS_PER_SHARD)
        ] + [ServerRecord(f"desk-{number}", "desk", "10.0.0.1", 80 + number, "z", 2) for number in range(15)]
        for record in records:
            self.servers[record.instance] = Server(self.world)
        routes = tuple(each.route for each in CLASSES)
        services = {name: ServiceLimits(CONNECTIONS) for route in routes for name in route.services}
        self.nodes = [Node(self, f"n{number}", options) for number in range(NODES)]
        for node in self.nodes:
            node.feed(ev.NodeCountUpdated(scenario.node_count))
            node.feed(ev.ConfigurationReceived(Configuration(1, routes, services)))
            for record in records:
                node.feed(ev.ServerListed(record))

    def draw_work(self, attempt: Attempt) -> float:
        """Draw the service time of an attempt on a healthy server, in seconds."""
        name = attempt.request.host
        work_s = next(each.work_s for each in CLASSES if each.name == name)
        return work_s * self.random.lognormvariate(-(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA)

    def load_of(self, attempt: Attempt) -> Load | None:
        """Return the load that the attempt's server reports, if it reports any."""
        server = self.servers[attempt.server.instance]
        return Load(server.running, len(server.queue), SLOTS) if self._scenario.reports_load else None

    def count_arrival(self, attempt: Attempt) -> None:
        """Count extra attempts: those after a request's first attempt at a service."""
        key = (attempt.request.key, attempt.server.service)
        self._extra["extra"] += key in self._seen
        self._seen[key] += 1

    def run(self) -> dict[str, float]:
        """Run the scenario; return its figures."""
        scenario = self._scenario
        affected = [f"s{shard}-{n}" for shard in range(scenario.shards) for n in range(scenario.servers)]
        for instance in affected:
            server = self.servers[instance]
            unresponsive = int(instance.rpartition("-")[2]) < scenario.unresponsive
            factor = float("inf") if unresponsive else scenario.slow_factor
            self.world.at(FAULT_START_S, lambda server=server, factor=factor: server.set_slow(factor))
            over = FAULT_START_S + FAULT_DURATION_S
            self.world.at(over, lambda server=server: server.set_slow(1.0))
        affected = [
            instance for instance in affected if int(instance.rpartition("-")[2]) >= scenario.unresponsive
        ]
        busy: dict[str, float] = {}
        self.world.at(FAULT_START_S, lambda: busy.update(self._busy(affected, -1.0)))
        self.world.at(
            FAULT_START_S + FAULT_DURATION_S,
            lambda: busy.update(hit=sum(self._busy(affected).values()) + sum(busy.values())),
        )
        at = 0.0
        while at < FAULT_START_S + FAULT_DURATION_S + RECOVERY_S:
            at += self.random.expovariate(scenario.callers_per_second)
            kind = self.random.choices(CLASSES, [each.share for each in CLASSES])[0]
            self.world.at(at, lambda kind=kind: self._call(kind, self.world.now, 1))
        self.world.run()
        return self._figures(busy.get("hit", 0.0) / max(1, len(affected) * SLOTS * FAULT_DURATION_S))

    def _busy(self, affected: list[str], sign: float = 1.0) -> dict[str, float]:
        return {instance: sign * self.servers[instance].busy_s for instance in affected}

    def _call(self, kind: CallerClass, first_at: float, tries_left: int) -> None:
        now = self.world.now
        remaining_s = kind.route.timeout_s - (now - first_at)
        key = f"k{next(self._keys)}"
        request = GatewayRequest(key, key, b"GET", kind.name, "/", b"/", (), b"", now, remaining_s, False)

        def done(final: ev.FinalAnswer) -> None:
            took = self.world.now - first_at
            if not isinstance(final, ev.Refuse):
                summary = final.summary
                outcome = "in time" if took <= kind.route.objective_s else "late"
                self._count(kind, first_at, outcome, (summary.covered / summary.asked) ** 2)
                return
            again_at = self.world.now + final.failure.retry_after_ms / 1000
            if tries_left and again_at - first_at < kind.route.timeout_s:
                self.world.at(again_at, lambda: self._call(kind, first_at, tries_left - 1))
            else:
                self._count(kind, first_at, "never", 0.0)

        self.random.choice(self.nodes).ask(request, done)

    def _count(self, kind: CallerClass, first_at: float, outcome: str, credit: float) -> None:
        if FAULT_START_S <= first_at < FAULT_START_S + FAULT_DURATION_S:
            self.outcomes[kind.name][outcome] += 1
            self.outcomes[kind.name]["credit"] += credit if outcome == "in time" else 0.1 * credit  # type: ignore[assignment]

    def _figures(self, hit_load: float) -> dict[str, float]:
        figures: dict[str, float] = {}
        for name, counted in self.outcomes.items():
            total = sum(counted[each] for each in ("in time", "late", "never")) or 1
            for each in ("in time", "late", "never", "credit"):
                figures[f"{name} {each}"] = round(counted[each] / total, 3)
        figures["rejected"] = self.counts["rejected"]
        figures["extra"] = self._extra["extra"]
        figures["refused by budget"] = self.counts["budget_spent"]
        figures["hit load"] = round(hit_load, 2)
        return figures


def options_without(names: list[str]) -> GatewayOptions:
    """Return options with some mechanisms switched off; an unknown name ends the program."""
    try:
        return GatewayOptions(zone="z", budget=BUDGET).without(names)
    except ValueError as error:
        raise SystemExit(f"--off: {error}") from None


def main() -> None:
    """Run the selected scenarios with each seed and print the means."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--off", default="", help="mechanisms to switch off, comma-separated")
    parser.add_argument("--only", default="", help="only scenarios whose name contains this")
    parser.add_argument("--write", default="", help="write bench/results/NAME.json")
    given = parser.parse_args()
    options = options_without([name for name in given.off.split(",") if name])
    results = {}
    for scenario in SCENARIOS:
        if given.only not in scenario.name:
            continue
        runs = [Play(scenario, int(seed), options).run() for seed in given.seeds.split(",")]
        mean = {name: round(sum(run[name] for run in runs) / len(runs), 3) for name in runs[0]}
        results[scenario.name] = mean
        print(f"{scenario.name}")
        for each in CLASSES:
            outcomes = ("in time", "late", "never", "credit")
            print(
                f"  {each.name:8}"
                + "".join(f"  {name} {mean[f'{each.name} {name}']:.3f}" for name in outcomes)
            )
        rest = ("rejected", "extra", "refused by budget", "hit load")
        print("  " + "  ".join(f"{name} {mean[name]}" for name in rest))
    if given.write:
        write_results(given.write, {"seeds": given.seeds, "off": given.off, "scenarios": results})


if __name__ == "__main__":
    main()
