"""Reads the entries of a list one by one: a malformed one becomes a problem and costs no other."""

from collections.abc import Callable, Iterable
from typing import TypeVar

from yokesill.registry.feeds import Problem
from yokesill.serving.object_fields import READ_ERRORS, ObjectError

Raw = TypeVar("Raw")
Entry = TypeVar("Entry")


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
