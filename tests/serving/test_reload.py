"""Changed settings are applied, with or without a signal; a file with mistakes is not applied."""

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


def apply_changed_file(tmp_path: Path, text_after: str, signal: bool) -> list[GatewaySettings]:
    """Change the file to the registry's host, or to "bad" for a mistake; return the applied settings."""
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


def test_signal_reloads_the_file(tmp_path: Path) -> None:
    (applied,) = apply_changed_file(tmp_path, "elsewhere", signal=True)
    assert BASE.changes(applied) == ["registry"]


def test_changed_file_is_reloaded_without_a_signal(tmp_path: Path) -> None:
    (applied,) = apply_changed_file(tmp_path, "elsewhere", signal=False)
    assert applied.registry.host == "elsewhere"


def test_reloadable_settings_are_names_of_settings_fields() -> None:
    assert {each.name for each in fields(GatewaySettings)} >= RELOADABLE_SETTINGS


def test_file_with_mistakes_is_not_applied(tmp_path: Path) -> None:
    assert apply_changed_file(tmp_path, "bad", signal=True) == []


def test_changed_budget_applies_immediately_and_counts_earlier_attempts() -> None:
    harness = RouterHarness(single_route(attempts=5))
    key = harness.arrive("/one/x", 6.0)
    harness.fail(harness.attempts(key)[0])
    assert len(harness.attempts(key)) == 2
    harness.router.set_budget(BudgetLimits(ratio=0.0, allowance=1.4, window_s=10.0))
    key = harness.arrive("/one/x", 6.0)
    harness.fail(harness.attempts(key)[0], failure())
    assert len(harness.attempts(key)) == 1


def test_removed_grace_ends_when_live_servers_are_reregistered_and_within_the_bound() -> None:
    address = Address("127.0.0.1", 1)
    for bound_s, grace_s in ((2.0, 1.2), (3.0, 1.8), (5.0, 2.0)):
        settings = GatewaySettings("n", "z", address, address, address, leaving_bound_s=bound_s)
        assert settings.removed_grace_s == pytest.approx(grace_s)
