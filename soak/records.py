"""What stand-in servers answer: made up from the request's id, so that a checker can make it up again."""

import hashlib

RECORD_BYTES, RECORDS = 16, 8


def records_of(service: str, request_id: str) -> list[bytes]:
    """Return a shard's records for a request, in no order; every server of the shard has the same."""
    seed = f"{service}/{request_id}".encode()
    return [hashlib.blake2b(seed, digest_size=RECORD_BYTES, salt=bytes([n])).digest() for n in range(RECORDS)]


def top_records(services: list[str], request_id: str, top_k: int) -> bytes:
    """Return the body of an answer that holds the parts of ``services``."""
    found = [record for service in services for record in records_of(service, request_id)]
    return b"".join(sorted(found, reverse=True)[:top_k])


def single_body(signature: str) -> bytes:
    """Return the body of an answer that comes from one server."""
    return (signature + "\n").encode() * 20
