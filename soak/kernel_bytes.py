"""Measures what the kernel holds for a process: the bytes of its sockets that are unread or unsent."""

import os
from collections.abc import Iterable
from pathlib import Path

SOCKET_TABLES = (Path("/proc/net/tcp"), Path("/proc/net/udp"))
# A listener's queue counts connections, not bytes.
LISTENING = "0A"
STATE_FIELD, QUEUES_FIELD, INODE_FIELD = 3, 4, 9


def socket_bytes(lines: Iterable[str]) -> dict[str, int]:
    """Return the unread and unsent bytes of each socket, by its inode, from the lines of a socket table."""
    found: dict[str, int] = {}
    for line in lines:
        fields = line.split()
        if len(fields) <= INODE_FIELD or fields[STATE_FIELD] == LISTENING or ":" not in fields[QUEUES_FIELD]:
            continue
        unsent, unread = fields[QUEUES_FIELD].split(":")
        if held := int(unsent, 16) + int(unread, 16):
            found[fields[INODE_FIELD]] = held
    return found


def all_socket_bytes() -> dict[str, int]:
    """Return the unread and unsent bytes of each socket of this machine that has any."""
    found: dict[str, int] = {}
    for table in SOCKET_TABLES:
        found |= socket_bytes(table.read_text().splitlines()[1:])
    return found


def descriptors_of(pid: int) -> list[str]:
    """Return what each descriptor of a process refers to; none if it has ended."""
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return []
    found = []
    for name in names:
        try:
            found.append(os.readlink(f"{folder}/{name}"))
        except OSError:
            continue
    return found


def held_bytes(descriptors: Iterable[str], sockets: dict[str, int]) -> int:
    """Return the bytes that the kernel holds for the sockets among the descriptors."""
    return sum(
        sockets.get(each.removeprefix("socket:[").rstrip("]"), 0)
        for each in descriptors
        if each.startswith("socket:[")
    )
