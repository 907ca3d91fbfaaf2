"""Start lines that begin no reply of HTTP/1.1, and those of interim replies."""

# The first twelve have a status that is no number of three digits from 100 to 599.
NO_REPLY = (
    b"HTTP/1.1 000 X",
    b"HTTP/1.1 001 X",
    b"HTTP/1.1 099 X",
    b"HTTP/1.1 600 X",
    b"HTTP/1.1 999 X",
    b"HTTP/1.1 0 X",
    b"HTTP/1.1 20 X",
    b"HTTP/1.1 2000 X",
    b"HTTP/1.1 -20 X",
    b"HTTP/1.1 2e1 X",
    b"HTTP/1.1 abc X",
    b"HTTP/1.1 ",
    # A change of protocol that nobody asked for.
    b"HTTP/1.1 101 X",
    # Replies of another major version are framed by other rules.
    b"HTTP/2.0 200 OK",
    b"HTTP/0.9 200 OK",
)
INTERIM = (b"HTTP/1.1 100 X", b"HTTP/1.1 103 X", b"HTTP/1.1 150 X", b"HTTP/1.1 199 X")
GOOD = b"HTTP/1.1 200 OK"


def with_start_line(reply: bytes, start_line: bytes) -> bytes:
    """Return a good reply with another start line."""
    assert reply.startswith(GOOD)
    return start_line + reply[len(GOOD) :]
