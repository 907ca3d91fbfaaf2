"""Fingerprints that identify repeated requests across callers and nodes."""

import hashlib

from yokesill.gateway.messages import GatewayRequest

# 96 bits make it infeasible to construct a request with the fingerprint of another one. The fingerprint is
# part of the registry's records and of messages between nodes.
FINGERPRINT_BYTES = 12


def fingerprint(request: GatewayRequest) -> str:
    """Return a request's fingerprint, which is equal for all requests that a server would process alike.

    The caller's request id and the headers are not included, since they differ between tries. Callers are not
    distinguished: a request that crashes a server for one caller does so for another, and one caller may use
    several addresses.

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
