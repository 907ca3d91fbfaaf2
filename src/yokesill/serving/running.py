"""Runs a node from its settings file: its process and its settings follower, and handles signals.

SIGTERM and SIGINT start the planned stop, SIGHUP reloads the settings. Called by ``platform.main``.
"""

import random
import signal
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import NamedTuple

import anyio

from yokesill import logs
from yokesill.clock import run_with_boottime_clock, running_clock
from yokesill.gateway.options import GatewayOptions
from yokesill.serving.dependencies import Dependencies
from yokesill.serving.process import GatewayProcess
from yokesill.serving.reload import SettingsFollower
from yokesill.serving.settings import GatewaySettings, SettingsProblem
from yokesill.serving.settings_file import SettingsLoader
from yokesill.serving.settings_reader import OptionalFields
from yokesill.serving.settings_wait import wait_for_settings
from yokesill.serving.signals import HANDLED, SignalTimes, signals_delivered
from yokesill.serving.start_times import StartTimes
from yokesill.serving.streams import write_error
from yokesill.supervision import Supervisor, unexpected_end_logged

OK, INVALID = 0, 3


class SwitchedOff(NamedTuple):
    """The names of mechanisms that an experiment disables, separated by spaces, and what gave them."""

    variable: str
    names: str


def run_node(
    path: Path,
    parse: Callable[[str, OptionalFields], GatewaySettings | list[SettingsProblem]],
    switched_off: SwitchedOff,
    dependencies_of: Callable[[GatewaySettings], Dependencies],
    start_times: StartTimes | None = None,
) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code.

    ``parse`` reads the text of the settings at ``path``; ``start_times`` has the steps of the start until
    now.
    """
    start_times = start_times or StartTimes()
    loader = SettingsLoader(parse)
    settings = wait_for_settings(path, loader.load)
    if not isinstance(settings, GatewaySettings):
        return OK if settings is None else INVALID
    start_times.reached("settings_read")
    names = tuple(switched_off.names.split())
    try:
        GatewayOptions(settings.zone).without(names)
    except ValueError as error:
        write_error(f"{switched_off.variable}: {error}")
        return INVALID
    settings = replace(settings, switched_off=names)
    output = logs.configure(settings.log_level)
    loader.log_problems()
    dependencies = replace(dependencies_of(settings), settings_not_understood=loader.not_understood)
    process = GatewayProcess(settings, dependencies, random.Random(), output, start_times)

    def apply_settings(newer: GatewaySettings) -> None:
        loader.log_problems()
        process.apply_settings(newer)

    follower = SettingsFollower(path, settings, loader.load, apply_settings)
    with unexpected_end_logged(output):
        run_with_boottime_clock(run_until_stopped, process, follower)
    return OK


async def run_until_stopped(process: GatewayProcess, follower: SettingsFollower) -> None:
    """Run a node until it has stopped; signals stop it or reload its settings, see the module."""
    supervisor = Supervisor()
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(supervisor.keep_running, "settings", follower.run)
        task_group.start_soon(_follow_signals, process, partial(supervisor.call, "settings", follower.reload))
        await process.run()
        task_group.cancel_scope.cancel()


async def _follow_signals(process: GatewayProcess, reload: Callable[[str], None]) -> None:
    times = SignalTimes(running_clock())
    with anyio.open_signal_receiver(*HANDLED) as signals:
        times.record(signal.SIGTERM, signal.SIGINT)
        with signals_delivered():
            async for number in signals:
                if number == signal.SIGHUP:
                    reload("signal")
                else:
                    process.stop(times.first_at_s.get(number))
