"""Authenticates frames between nodes with a keyed MAC in front of the body.

The first key seals and any key opens, so that keys can be rotated without downtime: append the new key
on every node, then move it to the front on every node, then remove the old one.
"""

import hashlib
import hmac
from collections.abc import Sequence

MAC_BYTES = 16


class Sealer:
    """Seals and opens frames with shared keys; ``rejected`` counts frames that are not authentic."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise ValueError("no keys given: at least one key is required")
        self._keys = tuple(keys)
        self.rejected = 0

    def seal(self, body: bytes) -> bytes:
        """Return ``body`` with its MAC in front."""
        return _mac(self._keys[0], body) + body

    def open(self, frame: bytes) -> bytes | None:
        """Return the body of an authentic frame; count any other frame and return ``None``."""
        mac, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
        if any(hmac.compare_digest(mac, _mac(key, body)) for key in self._keys):
            return body
        self.rejected += 1
        return None


def _mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=MAC_BYTES).digest()
