"""Answers of the stand-in servers, derived from the request id so that a checker can compute them again."""

import hashlib

RECORD_BYTES, RECORDS = 16, 8
# The records are numbered in a byte.
MAX_RECORDS = 255


def records_of(service: str, request_id: str, body_bytes: int = 0) -> list[bytes]:
    """Return a shard's records for a request, unsorted; every replica of the shard returns the same ones.

    There are as many as fit into ``body_bytes``, or ``RECORDS`` if it is 0.
    """
    records = min(MAX_RECORDS, body_bytes // RECORD_BYTES) or RECORDS
    seed = f"{service}/{request_id}".encode()
    return [hashlib.blake2b(seed, digest_size=RECORD_BYTES, salt=bytes([n])).digest() for n in range(records)]


def top_records(services: list[str], request_id: str, top_k: int) -> bytes:
    """Return the body of a wide answer: the ``top_k`` greatest records of ``services``, greatest first."""
    found = [record for service in services for record in records_of(service, request_id)]
    return b"".join(sorted(found, reverse=True)[:top_k])


def single_body(signature: str, body_bytes: int = 0) -> bytes:
    """Return the body of an answer from a single server, of about ``body_bytes`` unless it is 0."""
    line = (signature + "\n").encode()
    return line * (body_bytes // len(line) or 20)
