"""Why a load run is refused before its first request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class BadPlan:
    """A flag whose value can't be run; `flag` names it."""

    flag: str
    detail: str

    def __str__(self) -> str:
        """Return one line for the operator."""
        return f"--{self.flag}: {self.detail}"
