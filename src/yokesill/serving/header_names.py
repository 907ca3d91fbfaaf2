"""Names of the headers that callers, nodes and servers exchange.

The platform's adapter replaces the defaults (``platform.names``).
"""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Lower-case header names; the defaults are the product's own.

    ``deadline`` is in milliseconds. ``expect_instance`` names the only incarnation that may run the request.
    With ``not_executed`` a server guarantees that it has not run the request and will not run it.
    """

    request_id: bytes = b"request-id"
    deadline: bytes = b"request-deadline-ms"
    signature: bytes = b"server-signature"
    expect_instance: bytes = b"expect-instance"
    load: bytes = b"server-load"
    not_executed: bytes = b"not-executed"
    parts: bytes = b"part-signatures"
    missing: bytes = b"missing-parts"
