"""Pins every external format: those of other nodes, stored records, callers, servers and operators.

Nodes of two versions run side by side, and records outlive both. The tables (``*.yaml``) hold literal
bytes and names. They and these tests do not depend on names in the sources; only ``bindings``, which maps
each format to the code that currently reads and writes it, follows the sources.
"""

import dataclasses
import enum
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import cbor2
import pytest
import yaml
from bindings import CALLS, MESSAGES

HERE = Path(__file__).resolve().parent
ROOT = HERE.parents[1]
BYTES_PREFIX = "b:"
DECODE_ERRORS = (ValueError, TypeError, cbor2.CBORDecodeError)


def load_table(name: str) -> dict[str, Any]:
    loaded: dict[str, Any] = yaml.load(
        (HERE / name).read_text(), getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    )
    return loaded


MESSAGE_TABLE, FORM_TABLE, FILE_TABLE = (
    load_table("messages.yaml"),
    load_table("forms.yaml")["forms"],
    load_table("files.yaml"),
)


def entries(forms: dict[str, list[Any]]) -> list[Any]:
    return [
        pytest.param(name, each, id=f"{name}-{number}")
        for name, items in forms.items()
        for number, each in enumerate(items)
    ]


def to_plain(value: Any) -> Any:
    """Return a value as lists, dicts, numbers and strings, with fields by position and enums by value."""
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, bytes):
        return BYTES_PREFIX + value.decode("latin-1")
    if dataclasses.is_dataclass(value):
        return [to_plain(getattr(value, each.name)) for each in dataclasses.fields(value) if each.init]
    if hasattr(type(value), "model_fields"):
        return [to_plain(getattr(value, name)) for name in type(value).model_fields]
    if isinstance(value, dict):
        return {str(to_plain(key)): to_plain(each) for key, each in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(to_plain(each) for each in value)
    if isinstance(value, list | tuple):
        return [to_plain(each) for each in value]
    assert value is None or isinstance(value, bool | int | float | str), type(value)
    return value


def parse_table_value(value: Any) -> Any:
    """Return a value of a table with its marked strings converted to bytes."""
    if isinstance(value, str) and value.startswith(BYTES_PREFIX):
        return value.removeprefix(BYTES_PREFIX).encode("latin-1")
    if isinstance(value, list):
        return [parse_table_value(each) for each in value]
    return {key: parse_table_value(each) for key, each in value.items()} if isinstance(value, dict) else value


def exact_json(value: Any) -> str:
    """Return JSON that also distinguishes equal values of different types: ``1``, ``1.0`` and ``true``."""
    return json.dumps(value, indent=1, sort_keys=True)


@pytest.mark.parametrize(("name", "pinned"), entries(MESSAGE_TABLE["messages"]))
def test_message_decodes_and_encodes_as_pinned(name: str, pinned: Any) -> None:
    data = bytes.fromhex(pinned["bytes"])
    message = MESSAGES[name].decode(data)
    assert message
    assert exact_json(to_plain(message)) == exact_json(pinned["means"])
    assert MESSAGES[name].encode(message).hex() == data.hex()


@pytest.mark.parametrize(("name", "data"), entries(MESSAGE_TABLE["rejected"]))
def test_malformed_message_is_rejected(name: str, data: str) -> None:
    with pytest.raises(DECODE_ERRORS):
        MESSAGES[name].decode(bytes.fromhex(data))


@pytest.mark.parametrize("name", sorted(MESSAGE_TABLE["messages"]))
@pytest.mark.parametrize("data", [b"", b"\xff", b"\x1b", b"no message"])
def test_invalid_cbor_is_rejected(name: str, data: bytes) -> None:
    with pytest.raises(DECODE_ERRORS):
        MESSAGES[name].decode(data)


@pytest.mark.parametrize(("name", "pinned"), entries(FORM_TABLE))
def test_form_matches_its_table(name: str, pinned: Any) -> None:
    assert exact_json(to_plain(CALLS[name](*parse_table_value(pinned["given"])))) == exact_json(
        pinned["gives"]
    )


def test_tables_cover_every_binding() -> None:
    assert (set(MESSAGES), set(CALLS)) == (set(MESSAGE_TABLE["messages"]), set(FORM_TABLE))
    assert set(MESSAGE_TABLE["rejected"]) == set(MESSAGES)


@pytest.mark.parametrize("name", sorted(FILE_TABLE["whole"]))
def test_file_content_matches_its_table(name: str) -> None:
    assert (ROOT / name).read_text() == FILE_TABLE["whole"][name]


@pytest.mark.parametrize(("name", "line"), entries(FILE_TABLE["kept_lines"]))
def test_pinned_line_is_in_its_file(name: str, line: str) -> None:
    assert line in (ROOT / name).read_text().splitlines()


@pytest.mark.parametrize(("name", "pinned"), entries(FILE_TABLE["commands"]))
def test_program_accepts_its_arguments_and_environment(name: str, pinned: Any, tmp_path: Path) -> None:
    settings = tmp_path / "settings.toml"
    settings.write_text(pinned.get("settings", ""))
    words = {"PATH": os.environ["PATH"], **pinned.get("environment", {})}
    environment = {key: value.replace("{settings}", str(settings)) for key, value in words.items()}
    command = [sys.executable, str(ROOT / name), *pinned["arguments"]]
    ended = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=60, check=False)
    assert ended.returncode == pinned["code"]
    for word in pinned["says"]:
        assert word.replace("{settings}", str(settings)) in ended.stderr
