"""Authentication of frames between nodes: a keyed MAC in front of the body.

The first key seals; any key opens, so that keys can be rotated without a pause: add the new key
last everywhere, then put it first everywhere, then drop the old one.
"""

import hashlib
import hmac
from collections.abc import Sequence

MAC_BYTES = 16


class Sealer:
    """Seals and opens frames with a list of shared keys."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise ValueError("at least one key is needed")
        self._keys = tuple(keys)
        self.rejected = 0

    def seal(self, body: bytes) -> bytes:
        """Return ``body`` with its MAC in front."""
        return _mac(self._keys[0], body) + body

    def open(self, frame: bytes) -> bytes | None:
        """Return the body of an authentic frame; count and drop any other."""
        mac, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
        if any(hmac.compare_digest(mac, _mac(key, body)) for key in self._keys):
            return body
        self.rejected += 1
        return None


def _mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=MAC_BYTES).digest()
