"""The variables that the conditions of a policy may use."""

import enum
from dataclasses import asdict, dataclass
from typing import Any


class Stage(enum.StrEnum):
    """The decision point at which the rules are evaluated."""

    ADMISSION = "admission"
    SOFT = "soft"
    HARD = "hard"


@dataclass(frozen=True, slots=True)
class Facts:
    """Properties of the request and live values.

    ``request_class``, ``namespace``, ``keyed`` (whether the query goes to one shard only), ``size`` (bytes of
    the query), ``deadline_ms``, ``priority`` and ``repeatable`` are properties of the request.
    ``queue_delay_ms``, ``shed_rate`` (share of recent attempts that back ends shed), ``covered`` (fraction),
    ``elapsed_ms`` and ``stage`` change while it is served.
    """

    request_class: str = "default"
    namespace: str = "default"
    keyed: bool = False
    size: int = 0
    deadline_ms: float = 1000.0
    priority: int = 5
    repeatable: bool = True
    queue_delay_ms: float = 0.0
    shed_rate: float = 0.0
    covered: float = 0.0
    elapsed_ms: float = 0.0
    stage: Stage = Stage.ADMISSION

    def to_cel(self) -> dict[str, Any]:
        """Return the facts as variables for CEL."""
        values = asdict(self)
        values["stage"] = self.stage.value
        return values


FACT_NAMES = frozenset(Facts.__dataclass_fields__)
