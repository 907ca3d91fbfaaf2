"""The names of the headers between callers, nodes and servers.

The defaults are the product's own; the platform's adapter has others (``platform.names``).
"""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Lower-case header names; the defaults are the product's own.

    ``deadline`` carries milliseconds. ``expect_instance`` names the only incarnation that may run a
    request. ``not_executed`` is a server's promise that it did not and will not run it.
    """

    request_id: bytes = b"request-id"
    deadline: bytes = b"request-deadline-ms"
    signature: bytes = b"server-signature"
    expect_instance: bytes = b"expect-instance"
    load: bytes = b"server-load"
    not_executed: bytes = b"not-executed"
    parts: bytes = b"part-signatures"
    missing: bytes = b"missing-parts"
