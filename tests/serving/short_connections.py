"""A caller in a process of its own: one request on each of many connections, until it is told to end.

Run with a port of this machine. It prints a JSON object with the number of connections that ended in each way
when its standard input ends.
"""

import contextlib
import json
import select
import socket
import sys
from collections import Counter

GET = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
# A closing listener may leave a connection's first packet unanswered; it would be sent again after 1 s.
CONNECT_TIMEOUT_S, ANSWER_TIMEOUT_S = 0.01, 5.0


def main() -> None:
    """Connect until standard input ends."""
    port = int(sys.argv[1])
    ends: Counter[str] = Counter()
    while not select.select([sys.stdin], [], [], 0)[0]:
        ends[one_request(port)] += 1
    print(json.dumps(ends))


def one_request(port: int) -> str:
    """Connect and send a request; return how the connection ended."""
    with contextlib.closing(socket.socket()) as connection:
        connection.settimeout(CONNECT_TIMEOUT_S)
        try:
            connection.connect(("127.0.0.1", port))
        except ConnectionRefusedError:
            return "refused"
        except TimeoutError:
            return "not set up"
        except ConnectionResetError:
            # Set up, and reset before the call looked at the outcome.
            return "reset"
        connection.settimeout(ANSWER_TIMEOUT_S)
        try:
            connection.sendall(GET)
            return "answered" if connection.recv(1) else "closed"
        except TimeoutError:
            return "not answered"
        except OSError:
            return "reset"


if __name__ == "__main__":
    main()
