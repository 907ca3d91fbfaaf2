"""Reads the entries of a list one by one: a malformed one becomes a problem and costs no other."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from yokesill.gateway.documents import Configuration
from yokesill.gateway.events import ConfigurationReceived, Event
from yokesill.registry.feeds import Problem
from yokesill.serving.object_fields import READ_ERRORS, ObjectError

Raw = TypeVar("Raw")
Entry = TypeVar("Entry")
# Parses a configuration, with the former one; adds what it can do without and can't read to a list.
ReadConfiguration = Callable[[Any, Configuration | None, list[str]], Configuration]

# How many odd values of one configuration are told: it may have thousands of routes.
MAX_TOLD_PROBLEMS = 20


def read_each(
    raw_entries: Iterable[Raw], read: Callable[[Raw], Entry], place: Callable[[Raw], str]
) -> tuple[tuple[Entry, ...], tuple[Problem, ...]]:
    """Return the entries that ``read`` returns, and a problem for each one that it can't read.

    Parameters
    ----------
    raw_entries
        The entries as any writer may have left them.
    read
        Converts one entry; may raise any of ``READ_ERRORS``.
    place
        Names an entry in its problem.
    """
    entries: list[Entry] = []
    problems: list[Problem] = []
    for each in raw_entries:
        try:
            entries.append(read(each))
        except READ_ERRORS as error:
            message = str(error) if isinstance(error, ObjectError) else repr(error)
            problems.append(Problem(place(each), message))
    return tuple(entries), tuple(problems)


class ConfigurationReader:
    """Reads configurations; an odd optional value keeps that of the one in force, whoever sent that one.

    ``place`` names the configuration in problems.
    """

    def __init__(self, read: ReadConfiguration, place: str) -> None:
        self._read = read
        self._place = place
        self._former: Configuration | None = None

    def learn(self, event: Event) -> None:
        """Note a configuration that a node applies; as there, only a newer version takes its place."""
        if not isinstance(event, ConfigurationReceived):
            return
        if self._former is None or event.configuration.version > self._former.version:
            self._former = event.configuration

    def read(self, specs: Iterable[Any]) -> tuple[tuple[Event, ...], tuple[Problem, ...]]:
        """Return the configurations that can be read, and a problem for each value that can't."""
        passed_over: list[str] = []
        configurations, rejected = read_each(
            specs, lambda spec: self._read(spec, self._former, passed_over), lambda _spec: self._place
        )
        told = tuple(Problem(self._place, each) for each in passed_over[:MAX_TOLD_PROBLEMS])
        return tuple(ConfigurationReceived(each) for each in configurations), rejected + told
