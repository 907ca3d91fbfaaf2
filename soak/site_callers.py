"""The clients of a site: the traffic of each zone, sent to its ready nodes and repeated after a failure."""

import asyncio
import itertools
import json
import random
import sys
import time
import zlib
from pathlib import Path
from typing import Any, NamedTuple

from soak.clients import Clients
from soak.layout import READY_PORT, READY_URL_PATH
from soak.sheet import read_sheet
from soak.site import RequestKind, ZoneTraffic
from soak.site_configuration import probe_path, route_path
from soak.site_layout import SiteLayout, SiteNode
from soak.standin import EventLog, HttpMessage, call, follow_commands, run_standin

PROBE_EVERY_S, PROBE_TIMEOUT_S = 1.0, 2.0
READY_EVERY_S, READY_TIMEOUT_S, MAX_READINESS_MISSES = 1.0, 0.8, 2
MAX_TRIES, RETRY_AFTER_S, SHORTEST_TRY_S = 3, 0.02, 0.02
# Of the time that is left, the share that a client waits as told before it tries again.
MAX_WAIT_SHARE = 1 / 3
# A client that gives up does so within this share of its time.
MAX_GIVE_UP_SHARE = 0.3
FINAL_STATUSES = (400, 401, 404, 413, 431)


class Abuse(NamedTuple):
    """The share of clients that try again at once, and how often they try."""

    share: float = 0.0
    tries: int = MAX_TRIES


class Shift(NamedTuple):
    """The share of a zone's traffic that another zone gets."""

    share: float
    zone: str
    to_zone: str


class SiteCallers(Clients):
    """Sends the traffic of all zones until cancelled."""

    def __init__(
        self, layout: SiteLayout, traffic: tuple[ZoneTraffic, ...], load: float, log: EventLog, seed: int
    ) -> None:
        nodes = layout.nodes()
        super().__init__(range(len(nodes)), layout.front_link, log, random.Random(seed))
        self._nodes = nodes
        self._traffic = traffic
        self._load = load
        self._kinds = {kind.name: kind for kind in layout.site.requests}
        self._version = 1
        self._factor = 1.0
        self._give_up_share = 0.0
        self._abuse = Abuse()
        self._shift: Shift | None = None
        self._misses = [MAX_READINESS_MISSES] * len(nodes)
        # A spare node gets clients once it has been ready.
        self._joined = {node.number for node in nodes if not node.spare}

    def apply_command(self, command: dict[str, Any]) -> None:
        """Set the configuration version, the factor of all traffic, and what some clients do.

        ``give_up`` is the share of requests that clients give up early, ``abuse`` that of clients which try
        again at once and ``tries`` how often; ``shift`` is the share of the traffic of the zone ``from`` that
        moves to the zone ``to``.
        """
        self._version = command.get("version", self._version)
        self._factor = command.get("factor", self._factor)
        self._give_up_share = command.get("give_up", self._give_up_share)
        match command:
            case {"abuse": share}:
                self._abuse = Abuse(share, command.get("tries", MAX_TRIES))
            case {"shift": share, "from": zone, "to": to_zone}:
                self._shift = Shift(share, zone, to_zone)

    async def run(self) -> None:
        """Send traffic until cancelled, then wait for the requests in flight."""
        try:
            await asyncio.gather(
                self._watch_readiness(), self._send_probes(), *(self._send(each) for each in self._traffic)
            )
        finally:
            await self.finish()

    async def _send(self, traffic: ZoneTraffic) -> None:
        due_s = time.monotonic()
        names, weights = list(traffic.mix), list(traffic.mix.values())
        while True:
            due_s += self.rng.expovariate(traffic.per_s * self._load * self._factor)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            kind = self._kinds[self.rng.choices(names, weights)[0]]
            client = f"{traffic.zone}/{self.rng.randrange(traffic.clients)}"
            self.run_in_background(self._ask(kind, self.entry_zone(traffic.zone), client))

    def entry_zone(self, zone: str) -> str:
        """Return the zone whose nodes get a request of a zone's clients."""
        shift = self._shift
        moved = shift is not None and shift.zone == zone and self.rng.random() < shift.share
        return shift.to_zone if shift is not None and moved else zone

    async def _ask(self, kind: RequestKind, zone: str, client: str) -> None:
        """Ask until there is an answer that stands, the tries are used up or the time is over."""
        end_s = time.monotonic() + kind.deadline_s
        abuses = self.rng.random() < self._abuse.share
        for attempt in range(self._abuse.tries if abuses else MAX_TRIES):
            left_s = end_s - time.monotonic()
            if left_s < SHORTEST_TRY_S:
                return
            node, request_id = self.choose_node(zone, client, attempt), self.new_id()
            path = route_path(kind.name) + request_id
            give_up_s = self._give_up_after_s(left_s)
            answer = await self.request(kind.name, node, path, request_id, left_s, give_up_s)
            if give_up_s is not None or (answer is not None and _stands(answer)):
                return
            if not abuses:
                await asyncio.sleep(retry_wait_s(answer, end_s - time.monotonic()))

    def _give_up_after_s(self, left_s: float) -> float | None:
        """Return when a client gives up its request, ``None`` if it waits to the end."""
        if self.rng.random() >= self._give_up_share:
            return None
        return left_s * self.rng.uniform(0.0, MAX_GIVE_UP_SHARE)

    def choose_node(self, zone: str, client: str, attempt: int) -> int:
        """Return the node of a client's connections; each further attempt goes to another one."""
        local = [node for node in self._nodes if node.zone == zone and node.number in self._joined]
        chosen = self._ready(local)
        if len(chosen) * 2 < len(local):
            chosen = local if chosen else (self._ready(list(self._nodes)) or local)
        chosen = chosen or list(self._nodes)
        return chosen[(zlib.crc32(client.encode()) + attempt) % len(chosen)].number

    def _ready(self, nodes: list[SiteNode]) -> list[SiteNode]:
        return [node for node in nodes if self._misses[node.number] < MAX_READINESS_MISSES]

    async def _send_probes(self) -> None:
        """Request, at each ready node, the newest probe route and one that the newest version dropped."""
        for turn in itertools.count():
            await asyncio.sleep(PROBE_EVERY_S)
            version = self._version - 2 * (turn % 2)
            for node in self._ready(list(self._nodes)) if version > 0 else ():
                name, path = f"probe-{version}", probe_path(version)
                self.send(name, node.number, path, PROBE_TIMEOUT_S, unique_path=True)

    async def _watch_readiness(self) -> None:
        while True:
            await asyncio.gather(*(self._ask_readiness(node) for node in self._nodes))
            await asyncio.sleep(READY_EVERY_S)

    async def _ask_readiness(self, node: SiteNode) -> None:
        status, _ = await call(node.ip, READY_PORT, "GET", READY_URL_PATH, None, READY_TIMEOUT_S)
        self.note_readiness(node.number, is_ready=status == 200)

    def note_readiness(self, node: int, is_ready: bool) -> None:
        """Take in whether a node has just called itself ready."""
        self._misses[node] = 0 if is_ready else self._misses[node] + 1
        if is_ready:
            self._joined.add(node)


def _stands(answer: HttpMessage) -> bool:
    status = int(answer.start_line[1])
    return status < 300 or status in FINAL_STATUSES


def retry_wait_s(answer: HttpMessage | None, left_s: float) -> float:
    """Return how long a client waits before it tries again: as told, within a share of the time left."""
    told = answer.headers.get("retry-after", "") if answer else ""
    try:
        told_s = float(told)
    except ValueError:
        told_s = RETRY_AFTER_S
    return max(0.0, min(told_s, left_s * MAX_WAIT_SHARE))


async def run(callers: SiteCallers) -> None:
    """Send traffic until standard input ends."""
    traffic = asyncio.create_task(callers.run())
    print("up", flush=True)
    await follow_commands(callers.apply_command)
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)


if __name__ == "__main__":
    sheet, net, log_file, caller_seed, load, zones = json.loads(sys.argv[1])
    run_standin(
        run(
            SiteCallers(
                SiteLayout(read_sheet(Path(sheet)), net),
                tuple(ZoneTraffic(*zone) for zone in zones),
                load,
                EventLog(Path(log_file)),
                caller_seed,
            )
        )
    )
