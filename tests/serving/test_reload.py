"""Changed settings are taken over, with or without a signal; mistakes change nothing."""

from dataclasses import fields, replace
from pathlib import Path

import anyio
import pytest
from conftest import run_virtual
from harness import RouterHarness, failure, single_route

from yokesill.gateway.limits.budget import BudgetLimits
from yokesill.serving.reload import RELOADABLE_SETTINGS, SettingsFollower
from yokesill.serving.settings import Address, GatewaySettings, SettingsProblem

BASE = GatewaySettings("n1", "z1", Address("h", 1), Address("h", 2), Address("store", 3))


def follow(tmp_path: Path, text_after: str, signal: bool) -> list[GatewaySettings]:
    """Change the file and return what was applied; the text names the store's host, "bad" is a mistake."""
    file = tmp_path / "settings"
    file.write_text("store")
    applied: list[GatewaySettings] = []

    def load(path: Path) -> GatewaySettings | list[SettingsProblem]:
        text = path.read_text()
        if text == "bad":
            return [SettingsProblem("registry", "a mistake")]
        return replace(BASE, registry=Address(text, 3))

    async def run() -> None:
        follower = SettingsFollower(file, BASE, load, applied.append)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            await anyio.sleep(5.0)
            assert applied == []
            file.write_text(text_after)
            if signal:
                follower.reload("signal")
            await anyio.sleep(5.0)
            tasks.cancel_scope.cancel()

    run_virtual(run)
    return applied


def test_a_signal_reads_the_file_again(tmp_path: Path) -> None:
    (taken,) = follow(tmp_path, "elsewhere", signal=True)
    assert BASE.changes(taken) == ["registry"]


def test_a_file_that_changed_without_a_signal_is_noticed(tmp_path: Path) -> None:
    (taken,) = follow(tmp_path, "elsewhere", signal=False)
    assert taken.registry.host == "elsewhere"


def test_what_a_running_node_applies_are_settings_by_their_names() -> None:
    assert {each.name for each in fields(GatewaySettings)} >= RELOADABLE_SETTINGS


def test_a_file_with_mistakes_changes_nothing(tmp_path: Path) -> None:
    assert follow(tmp_path, "bad", signal=True) == []


def test_other_budget_terms_hold_at_once_and_what_was_spent_still_counts() -> None:
    harness = RouterHarness(single_route(attempts=5))
    key = harness.arrive("/one/x", 6.0)
    harness.fail(harness.attempts(key)[0])
    assert len(harness.attempts(key)) == 2
    harness.router.set_budget(BudgetLimits(ratio=0.0, allowance=1.4, window_s=10.0))
    key = harness.arrive("/one/x", 6.0)
    harness.fail(harness.attempts(key)[0], failure())
    assert len(harness.attempts(key)) == 1


def test_a_vanished_entry_is_a_last_resort_until_living_servers_are_back_but_within_the_bound() -> None:
    address = Address("127.0.0.1", 1)
    for bound_s, grace_s in ((2.0, 1.2), (3.0, 1.8), (5.0, 2.0)):
        settings = GatewaySettings("n", "z", address, address, address, leaving_bound_s=bound_s)
        assert settings.removed_grace_s == pytest.approx(grace_s)
