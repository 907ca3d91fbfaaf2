"""Faults that can be injected into a stand-in."""

from pydantic import BaseModel, ConfigDict, Field


class ServerFaults(BaseModel):
    """Faults of one back-end stand-in; the defaults are a healthy server."""

    model_config = ConfigDict(extra="forbid")

    straggle_probability: float = Field(default=0.0, ge=0, le=1)
    straggle_factor: float = Field(default=10.0, ge=1)
    slow_factor: float = Field(default=1.0, gt=0)
    shed_probability: float = Field(default=0.0, ge=0, le=1)
    lose_reply_probability: float = Field(default=0.0, ge=0, le=1)
    load_lie: float = Field(default=1.0, ge=0)
    frozen: bool = False
    dead: bool = False
    leaving: bool = False
    # Seeded defects that the checkers must detect.
    answer_other_version: bool = False
    answer_other_attempt: bool = False
    answer_truncated: bool = False
    double_entries: bool = False
    ignore_drain: bool = False


class StoreFaults(BaseModel):
    """Faults of the store's stand-in; the defaults are a healthy store."""

    model_config = ConfigDict(extra="forbid")

    down: bool = False
    delay_ms: float = Field(default=0.0, ge=0)
    lose_answers: int = Field(default=0, ge=0)
    lose_requests: int = Field(default=0, ge=0)
    late_writes_ms: float = Field(default=0.0, ge=0)
    stale_reads: bool = False
    break_watches: bool = False
