"""HTTP status codes as plain integers, for use in CBOR messages, JSON logs and byte strings.

Shared definitions, so that other modules need no copies. ``http.HTTPStatus`` is not used because it is an
enumeration, whose members are printed and encoded differently.
"""

OK = 200
CREATED = 201
ACCEPTED = 202
BAD_REQUEST = 400
FORBIDDEN = 403
NOT_FOUND = 404
REQUEST_TIMEOUT = 408
CONFLICT = 409
GONE = 410
CONTENT_TOO_LARGE = 413
MISDIRECTED = 421
TOO_MANY_REQUESTS = 429
HEADERS_TOO_LARGE = 431
SERVER_ERROR = 500
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

# Statuses that promise a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, UNAVAILABLE})

FIRST_STATUS, LAST_STATUS = 100, 599
FIRST_FINAL_STATUS = 200


def is_status(number: int) -> bool:
    """Whether a number is a status at all; of others no reply begins (RFC 9110, section 15)."""
    return FIRST_STATUS <= number <= LAST_STATUS


def is_final_status(number: int) -> bool:
    """Whether a number is the status of an answer, not that of an interim reply."""
    return FIRST_FINAL_STATUS <= number <= LAST_STATUS
