"""Recognises a request that comes again, from any caller and at any node."""

import hashlib

from yokesill.gateway.messages import GatewayRequest

# 96 bits: nobody can construct a request with the fingerprint of another one. Written in the registry's
# records and in messages between nodes.
FINGERPRINT_BYTES = 12


def fingerprint(request: GatewayRequest) -> str:
    """Return a request's fingerprint, the same for all requests that a server would run alike.

    Neither the caller's request id nor the headers count, since they differ between tries. Callers are not
    told apart: a request that crashes a server for one of them does so for another, and the same caller
    comes from several addresses.

    Returns
    -------
    str
        24 hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method, request.host.encode(), request.target, request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
