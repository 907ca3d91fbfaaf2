"""Pins every form that others rely on: other nodes, stored records, callers, servers, operators.

Nodes of two versions run side by side, and records outlive both. The tables (``*.yaml``) hold literal
bytes and names; this test and the tables stay as they are when names in the sources change. Only
``bindings``, which says what reads and writes each form today, follows the sources.
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
BYTES = "b:"
REFUSALS = (ValueError, TypeError, cbor2.CBORDecodeError)


def table(name: str) -> dict[str, Any]:
    read: dict[str, Any] = yaml.load((HERE / name).read_text(), getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    return read


TOLD, FORMS, FILES = table("messages.yaml"), table("forms.yaml")["forms"], table("files.yaml")


def entries(forms: dict[str, list[Any]]) -> list[Any]:
    return [
        pytest.param(name, each, id=f"{name}-{number}")
        for name, items in forms.items()
        for number, each in enumerate(items)
    ]


def plain(value: Any) -> Any:
    """Return a value as lists, tables, numbers and texts: fields by position, enums by their value."""
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, bytes):
        return BYTES + value.decode("latin-1")
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, each.name)) for each in dataclasses.fields(value) if each.init]
    if hasattr(type(value), "model_fields"):
        return [plain(getattr(value, name)) for name in type(value).model_fields]
    if isinstance(value, dict):
        return {str(plain(key)): plain(each) for key, each in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(plain(each) for each in value)
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    assert value is None or isinstance(value, bool | int | float | str), type(value)
    return value


def given(value: Any) -> Any:
    """Return a table's value with its marked texts as bytes."""
    if isinstance(value, str) and value.startswith(BYTES):
        return value.removeprefix(BYTES).encode("latin-1")
    if isinstance(value, list):
        return [given(each) for each in value]
    return {key: given(each) for key, each in value.items()} if isinstance(value, dict) else value


def exact(value: Any) -> str:
    """Return a text that differs where values do, also between ``1``, ``1.0`` and ``true``."""
    return json.dumps(value, indent=1, sort_keys=True)


@pytest.mark.parametrize(("name", "pinned"), entries(TOLD["messages"]))
def test_a_message_means_what_it_did_and_is_written_so(name: str, pinned: Any) -> None:
    data = bytes.fromhex(pinned["bytes"])
    message = MESSAGES[name].decode(data)
    assert message
    assert exact(plain(message)) == exact(pinned["means"])
    assert MESSAGES[name].encode(message).hex() == data.hex()


@pytest.mark.parametrize(("name", "data"), entries(TOLD["rejected"]))
def test_what_is_no_message_is_refused(name: str, data: str) -> None:
    with pytest.raises(REFUSALS):
        MESSAGES[name].decode(bytes.fromhex(data))


@pytest.mark.parametrize("name", sorted(TOLD["messages"]))
@pytest.mark.parametrize("data", [b"", b"\xff", b"\x1b", b"no message"])
def test_what_is_not_even_cbor_is_refused(name: str, data: bytes) -> None:
    with pytest.raises(REFUSALS):
        MESSAGES[name].decode(data)


@pytest.mark.parametrize(("name", "pinned"), entries(FORMS))
def test_a_form_is_as_it_was(name: str, pinned: Any) -> None:
    assert exact(plain(CALLS[name](*given(pinned["given"])))) == exact(pinned["gives"])


def test_the_tables_pin_all_that_is_bound() -> None:
    assert (set(MESSAGES), set(CALLS)) == (set(TOLD["messages"]), set(FORMS))
    assert set(TOLD["rejected"]) == set(MESSAGES)


@pytest.mark.parametrize("name", sorted(FILES["whole"]))
def test_a_file_reads_as_it_did(name: str) -> None:
    assert (ROOT / name).read_text() == FILES["whole"][name]


@pytest.mark.parametrize(("name", "line"), entries(FILES["kept_lines"]))
def test_a_line_of_a_file_is_kept(name: str, line: str) -> None:
    assert line in (ROOT / name).read_text().splitlines()


@pytest.mark.parametrize(("name", "pinned"), entries(FILES["commands"]))
def test_a_program_takes_its_arguments_and_its_environment(name: str, pinned: Any, tmp_path: Path) -> None:
    settings = tmp_path / "settings.toml"
    settings.write_text(pinned.get("settings", ""))
    words = {"PATH": os.environ["PATH"], **pinned.get("environment", {})}
    environment = {key: value.replace("{settings}", str(settings)) for key, value in words.items()}
    command = [sys.executable, str(ROOT / name), *pinned["arguments"]]
    ended = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=60, check=False)
    assert ended.returncode == pinned["code"]
    for word in pinned["says"]:
        assert word.replace("{settings}", str(settings)) in ended.stderr
