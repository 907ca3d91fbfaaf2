"""Answers of the stand-in servers, derived from the request id so that a checker can compute them again."""

import hashlib

RECORD_BYTES, RECORDS = 16, 8


def records_of(service: str, request_id: str) -> list[bytes]:
    """Return a shard's records for a request, unsorted; every replica of the shard returns the same ones."""
    seed = f"{service}/{request_id}".encode()
    return [hashlib.blake2b(seed, digest_size=RECORD_BYTES, salt=bytes([n])).digest() for n in range(RECORDS)]


def top_records(services: list[str], request_id: str, top_k: int) -> bytes:
    """Return the body of a wide answer: the ``top_k`` greatest records of ``services``, greatest first."""
    found = [record for service in services for record in records_of(service, request_id)]
    return b"".join(sorted(found, reverse=True)[:top_k])


def single_body(signature: str) -> bytes:
    """Return the body of an answer from a single server."""
    return (signature + "\n").encode() * 20
