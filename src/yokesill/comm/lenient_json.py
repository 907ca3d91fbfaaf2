"""Decodes JSON in which single values can't be represented, so that they cost only the entry they stand in.

A list of the registry holds entries of many writers. One of them may hold a number of thousands of digits,
text that is no UTF-8, or values nested deeper than the decoder recurses; the others must still be read.
"""

import json
import re
from typing import Any

# Deeper values become ``null``. Documents of the registry are nested some five levels deep.
MAX_DEPTH = 60
# Longer numbers become ``null``: ``int`` refuses more than 4,300 digits.
MAX_DIGITS = 300
_STRING_OR_BRACKET = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


def decode_json(data: bytes) -> Any:
    """Return the decoded value.

    Raises
    ------
    ValueError
        The bytes are not JSON.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        text = data.decode("utf-8", errors="replace")
        return json.loads(_without_deep_values(text), parse_int=_parse_integer)


def _parse_integer(digits: str) -> int | None:
    return int(digits) if len(digits) <= MAX_DIGITS else None


def _without_deep_values(text: str) -> str:
    """Replace each value that is nested deeper than ``MAX_DEPTH`` by ``null``."""
    kept: list[str] = []
    depth = kept_until = 0
    for found in _STRING_OR_BRACKET.finditer(text):
        token = found[0]
        if token in ("[", "{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(text[kept_until : found.start()])
        elif token in ("]", "}"):
            if depth == MAX_DEPTH + 1:
                kept.append("null")
                kept_until = found.end()
            depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError("a nested value without end")
    kept.append(text[kept_until:])
    return "".join(kept)
