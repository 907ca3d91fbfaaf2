"""Removes hop-by-hop headers, which apply to a single connection, from forwarded messages.

Used in both directions, for requests to servers and for answers to callers. See RFC 9110, section 7.6.1.
"""

import re
from collections.abc import Iterable

from yokesill.gateway.messages import Headers

# What a field takes in its line beside its name and value: a colon, a blank, and the line's end.
FIELD_LINE_BYTES = 4
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# RFC 9110, section 5: a name is a token, and a value has no control characters but tabs.
NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
VALUE = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")


def are_writable(headers: Headers) -> bool:
    """Whether headers can stand in an answer as they are."""
    return all(NAME.fullmatch(name) and VALUE.fullmatch(value) for name, value in headers)


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers to forward; the names must be in lower case."""
    pairs = list(headers)
    connection_options = {
        token.strip().lower() for name, value in pairs if name == b"connection" for token in value.split(b",")
    }
    return tuple(pair for pair in pairs if pair[0] not in HOP_BY_HOP and pair[0] not in connection_options)
