"""Words for what the demo saw."""

from __future__ import annotations

from heatherkeel.load.tally import Tally

from .models import Story


def format_summary(story: Story, tally: Tally) -> str:
    """Return the summary for a reader."""
    outcomes = ", ".join(f"{count} {name}" for name, count in sorted(tally.outcomes.items()))
    totals = story.totals
    lines = [
        f"requests      {len(tally.told)}: {outcomes}",
        f"              {story.retried} offered to another entry instance by the balancer",
        f"edit          in force at every entry instance after {_seconds(story.edit_in_force_s)}",
        f"wave          {totals.rebooted} targets rebooted in {_seconds(story.wave_s)}",
        f"killed        {story.killed}",
        f"targets       {totals.cut} requests cut, {totals.doubled} doubled, by their own counts",
        f"promises      {'; '.join(story.broken) if story.broken else 'none broken'}",
    ]
    return "\n".join(lines)


def _seconds(value: float | None) -> str:
    return "(did not end)" if value is None else f"{value:.2f} s"
