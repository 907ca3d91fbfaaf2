"""What tells a request that comes again, from whomever and at whichever node."""

import hashlib

from yokesill.gateway.messages import GatewayRequest

FINGERPRINT_BYTES = 12


def fingerprint(request: GatewayRequest) -> str:
    """Return a request's fingerprint: alike for what a server would run alike.

    The caller's name for it is new with each try, and headers differ between tries. Nor does it tell
    callers apart: what ends a server for one of them ends it for another, and the same caller comes from
    other addresses.

    Returns
    -------
    str
        24 hexadecimal digits; a caller can't make up a request with the fingerprint of another one.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method, request.host.encode(), request.target, request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
