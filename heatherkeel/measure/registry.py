"""The registry of measurements."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from absl import flags

Run = Callable[[flags.FlagValues], int]
Define = Callable[[flags.FlagValues], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class Measurement:
    """One measurement: its flags, and what runs it; it returns the exit status."""

    name: str
    help: str
    define: Define
    run: Run


MEASUREMENTS: Final[dict[str, Measurement]] = {}


def measurement(name: str, *, help: str, define: Define) -> Callable[[Run], Run]:
    """Register a measurement."""

    def register(run: Run) -> Run:
        MEASUREMENTS[name] = Measurement(name=name, help=help, define=define, run=run)
        return run

    return register
