"""What the listener itself answers in place of the application, before it closes a connection."""

from yokesill.callers.closings import CloseReason

_CLOSE = b"connection: close\r\ncontent-length: 0\r\n\r\n"
REFUSALS = {
    CloseReason.HEAD_TIMEOUT: b"HTTP/1.1 408 Request Timeout\r\n" + _CLOSE,
    CloseReason.BODY_STALLED: b"HTTP/1.1 408 Request Timeout\r\n" + _CLOSE,
    CloseReason.HEAD_TOO_LARGE: b"HTTP/1.1 431 Request Header Fields Too Large\r\n" + _CLOSE,
    CloseReason.MALFORMED: b"HTTP/1.1 400 Bad Request\r\n" + _CLOSE,
    CloseReason.CONNECTIONS: b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.250\r\n" + _CLOSE,
    CloseReason.MEMORY: b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.250\r\n" + _CLOSE,
    CloseReason.STOPPING: b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.100\r\n" + _CLOSE,
}
