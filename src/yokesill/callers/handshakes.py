"""Keeps new connections away from a listening socket that is about to close.

Closing the socket resets the connections in its accept queue and those whose handshake is under way. So new
handshakes are ignored first, by a packet filter, and the others are let finish.
"""

import array
import socket
import struct
from typing import NamedTuple

# Linux's option and its structures (linux/filter.h); Python's ``socket`` doesn't name them.
SO_ATTACH_FILTER = 26
_INSTRUCTION, _PROGRAM = struct.Struct("HBBI"), struct.Struct("HP")
# A handshake takes a round trip. The peer of one that is ignored sends it again after a second.
HANDSHAKE_S = 0.002


class _Instruction(NamedTuple):
    """An instruction of a classic BPF program; jumps count from the next one."""

    code: int
    jump_if_true: int
    jump_if_false: int
    operand: int


# A listening socket's filter sees packets from their TCP header on.
_FLAGS_OFFSET, _SYN, _ACK = 13, 0x02, 0x10
_LOAD_BYTE, _AND, _JUMP_IF_EQUAL, _RETURN = 0x30, 0x54, 0x15, 0x06
_DROP, _PASS = 0, 0xFFFFFFFF
_IGNORE_FIRST_PACKETS = (
    _Instruction(_LOAD_BYTE, 0, 0, _FLAGS_OFFSET),
    _Instruction(_AND, 0, 0, _SYN | _ACK),
    _Instruction(_JUMP_IF_EQUAL, 0, 1, _SYN),
    _Instruction(_RETURN, 0, 0, _DROP),
    _Instruction(_RETURN, 0, 0, _PASS),
)


def ignore_new_handshakes(listening: socket.socket) -> bool:
    """Answer no new handshake from now on; those under way go on.

    Returns
    -------
    bool
        ``False`` if the system admits no filter: handshakes go on as before.
    """
    instructions = array.array("B", b"".join(_INSTRUCTION.pack(*each) for each in _IGNORE_FIRST_PACKETS))
    address, _ = instructions.buffer_info()
    program = _PROGRAM.pack(len(_IGNORE_FIRST_PACKETS), address)
    try:
        listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        return False
    return True
