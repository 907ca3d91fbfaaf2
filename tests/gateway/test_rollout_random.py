"""Seeded random walks over orders, decisions, servers, faults and time check which versions get requests."""

import random

import pytest
from harness import failure, reply, single_route
from rolled_out import CANARY, COMPLETED, ORDERED, ROLLED_BACK, SWITCHING, RolloutHarness, servers_of

from yokesill.gateway import events as ev
from yokesill.gateway.messages import Attempt
from yokesill.gateway.options import GatewayOptions
from yokesill.verdict import Reason, Verdict

STEPS = 150
# How long all entries of the old version must be gone until the new version may be used instead.
REMOVED_GRACE_S = GatewayOptions(zone="z1").removed_grace_s


class RandomWalk:
    """A router and the listed entries, with a check of each attempt against the effective state."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.harness = RolloutHarness(single_route(attempts=3))
        self.records = {each.instance: each for v in ("v1", "v2") for each in servers_of("desk", v)}
        self.old_listed_at = self.harness.now
        self.listed = set(self.records)
        self.answered: set[int] = set()
        self.checked = 0
        self.versions_sent: set[str] = set()

    def step(self) -> None:
        actions = (
            self.send_request,
            self.send_request,
            self.send_request,
            self.end_attempt,
            self.end_attempt,
            self.decide,
            self.record_state,
            self.toggle_entry,
            self.wait,
        )
        self.random.choice(actions)()
        if any(self.records[name].version == "v1" for name in self.listed):
            self.old_listed_at = self.harness.now
        for attempt in self.harness.sent[self.checked :]:
            self.check(attempt)
        self.checked = len(self.harness.sent)

    def check(self, attempt: Attempt) -> None:
        version = attempt.server.version
        self.versions_sent.add(version)
        state = self.harness.router.rollouts.effective.get("desk")
        if state is ROLLED_BACK:
            assert version == "v1"
        elif state is COMPLETED:
            assert version == "v2"
        elif self.harness.now - self.old_listed_at < REMOVED_GRACE_S:
            first = self.harness.attempts(attempt.request.key)[0] is attempt
            if state is ORDERED or (state is CANARY and not first):
                assert version == "v1"
            if state is SWITCHING and {"desk-v2-1", "desk-v2-2"} <= self.listed:
                assert version == "v2"

    def send_request(self) -> None:
        self.harness.arrive("/one/x")

    def end_attempt(self) -> None:
        in_flight = [each for each in self.harness.sent if each.number not in self.answered]
        if not in_flight:
            return
        attempt = self.random.choice(in_flight)
        self.answered.add(attempt.number)
        if self.random.random() < 0.7:
            self.harness.answer(attempt, reply(status=self.random.choice((200, 200, 500))))
        else:
            shed = failure(Reason.SHED, Verdict.NOT_RUN)
            self.harness.fail(attempt, self.random.choice((failure(), shed)))

    def decide(self) -> None:
        state = self.random.choices((ORDERED, CANARY, SWITCHING, ROLLED_BACK), (2, 20, 1, 0.3))[0]
        self.harness.receive_decisions(state, self.random.choice((0.1, 1.0)))

    def record_state(self) -> None:
        """Record a later state, unless the recorded state is final."""
        recorded = self.harness.orders["desk"].state
        if not recorded.final:
            states = (CANARY, SWITCHING, COMPLETED, ROLLED_BACK)
            state = self.random.choices(states, (8, 2, 0.5, 0.3))[0]
            if state.rank > recorded.rank:
                self.harness.record_state(state)

    def toggle_entry(self) -> None:
        name = self.random.choice(sorted(self.records))
        if name in self.listed:
            self.listed.discard(name)
            self.harness.feed(ev.ServerRemoved(name))
        else:
            self.listed.add(name)
            self.harness.feed(ev.ServerListed(self.records[name]))

    def wait(self) -> None:
        self.harness.advance(self.random.choice((0.01, 0.1, 0.5)))


@pytest.mark.parametrize("seed", range(40))
def test_random_events_never_send_a_request_to_a_forbidden_version(seed: int) -> None:
    walk = RandomWalk(seed)
    for _ in range(STEPS):
        walk.step()
    assert walk.versions_sent
