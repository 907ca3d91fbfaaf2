"""The key space of 32-bit hashes, and half-open ranges of it."""

import itertools

import xxhash
from pydantic import BaseModel, ConfigDict, Field, model_validator

KEY_SPACE = 1 << 32


def hash_key(key: str) -> int:
    """Return the hash of ``key`` in the key space ``[0, KEY_SPACE)``."""
    return xxhash.xxh32_intdigest(key.encode())


def rendezvous_weight(member: str, subject: str) -> int:
    """Return the 64-bit rendezvous weight of ``member`` for ``subject``; the highest weight wins."""
    return xxhash.xxh64_intdigest(f"{member}\x00{subject}".encode())


class HashRange(BaseModel):
    """A half-open range ``[start, end)`` of the key space."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    start: int = Field(ge=0, lt=KEY_SPACE)
    end: int = Field(gt=0, le=KEY_SPACE)

    @model_validator(mode="after")
    def _check_not_empty(self) -> "HashRange":
        if self.start >= self.end:
            raise ValueError(f"range start {self.start} is not below its end {self.end}")
        return self

    @property
    def width(self) -> int:
        """The number of hashes in the range."""
        return self.end - self.start

    def contains(self, key_hash: int) -> bool:
        """Whether ``key_hash`` lies in the range."""
        return self.start <= key_hash < self.end


def split_key_space(count: int) -> list[HashRange]:
    """Return ``count`` ranges of near-equal width that cover the key space."""
    bounds = [KEY_SPACE * index // count for index in range(count + 1)]
    return [HashRange(start=low, end=high) for low, high in itertools.pairwise(bounds)]
