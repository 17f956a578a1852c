"""What the demo saw."""

from __future__ import annotations

from dataclasses import dataclass, field

from heatherkeel.load.tally import Tally


@dataclass(kw_only=True)
class TargetTotals:
    """What all targets counted together."""

    rebooted: int = 0
    cut: int = 0
    """Requests in progress that a stop ended."""
    doubled: int = 0
    """Non-idempotent requests that ran more than once."""


@dataclass(kw_only=True)
class Story:
    """What each scene found; times in seconds, None for a scene that did not end."""

    edit_in_force_s: float | None = None
    wave_s: float | None = None
    killed: str = ""
    retried: int = 0
    totals: TargetTotals = field(default_factory=TargetTotals)
    broken: list[str] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class Played:
    """A demo that ran to its end: what the scenes found, and all replies to callers."""

    story: Story
    tally: Tally
