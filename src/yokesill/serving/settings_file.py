"""Loads a settings file, again and again, in bounded time and memory.

What stands in the file's place may be anything for a moment: a pipe, which would hold the node until somebody
writes to it, or bytes without end.
"""

import os
import stat
from collections.abc import Callable
from pathlib import Path

from yokesill.logs import get_logger
from yokesill.serving.settings import GatewaySettings, SettingsProblem
from yokesill.serving.settings_reader import OptionalFields

# Far above the settings of any node, which name its zones and a few addresses.
MAX_BYTES = 4_194_304
# How many fields that can't be read one line of log names.
MAX_NAMED_PROBLEMS = 25


class SettingsLoader:
    """Loads settings with ``parse``; an optional field that can't be read keeps what it held before."""

    def __init__(
        self, parse: Callable[[str, OptionalFields], GatewaySettings | list[SettingsProblem]]
    ) -> None:
        self._parse = parse
        self._optional = OptionalFields()

    def load(self, path: Path) -> GatewaySettings | list[SettingsProblem]:
        """Return the settings at ``path``, or all mistakes if a needed field has one."""
        optional = OptionalFields(self._optional.values)
        settings = load_settings_file(path, lambda text: self._parse(text, optional))
        if isinstance(settings, GatewaySettings):
            self._optional = optional
        return settings

    def not_understood(self) -> int:
        """Return how many optional fields of the settings that were loaded last can't be read."""
        return len(self._optional.problems)

    def log_problems(self) -> None:
        """Log the optional fields that can't be read, if there are any."""
        problems = self._optional.problems
        if problems:
            named = [str(each) for each in problems[:MAX_NAMED_PROBLEMS]]
            get_logger("settings").warning("settings_not_understood", count=len(problems), problems=named)


def load_settings_file(
    path: Path, parse: Callable[[str], GatewaySettings | list[SettingsProblem]]
) -> GatewaySettings | list[SettingsProblem]:
    """Return what ``parse`` makes of the file's text, or why it can't be read."""
    try:
        text = _read_text(path)
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return [SettingsProblem(str(path), reason, unreadable=True)]
    if not text.strip():
        return [SettingsProblem(str(path), "empty", unreadable=True)]
    return parse(text)


def _read_text(path: Path) -> str:
    """Return the text of a regular file, with or without a byte order mark.

    Raises
    ------
    OSError
        If there is no regular file of at most ``MAX_BYTES`` that can be read.
    UnicodeDecodeError
        If it isn't UTF-8.
    """
    # Without waiting for a writer, should this be a pipe.
    with open(path, "rb", opener=lambda name, flags: os.open(name, flags | os.O_NONBLOCK)) as file:
        if not stat.S_ISREG(os.fstat(file.fileno()).st_mode):
            raise OSError("not a regular file")
        content = file.read(MAX_BYTES + 1)
    if len(content) > MAX_BYTES:
        raise OSError(f"larger than {MAX_BYTES} bytes")
    return content.decode("utf-8-sig")
