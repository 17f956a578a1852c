"""Errors found in a settings file."""

from __future__ import annotations

from dataclasses import dataclass

from heatherkeel.helpers.faults import Fault


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsFaults:
    """All faults of one file, in the order in which they were found; never empty."""

    file: str
    faults: list[Fault]

    def lines(self) -> list[str]:
        """Return one line `FILE: key.path: reason` for each fault."""
        return [f"{self.file}: {fault}" for fault in self.faults]
