"""Plots of the measures, by the optional extra `plots`."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .bounds import Bounds

if TYPE_CHECKING:
    from .measures import Row

_TITLES = {
    "buffer_cost": "buffer cost (instances)",
    "roll_out_time_s": "roll-out time (s)",
    "moves": "moves",
}


def draw_measures(rows: Sequence[Row], bounds: dict[str, Bounds], *, folder: Path) -> list[Path]:
    """Draw one picture for each user: a panel for each measure, a bar for each arrangement."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    drawn = []
    for user, bound in bounds.items():
        figure, panels = pyplot.subplots(1, len(_TITLES), figsize=(18, 5), layout="constrained")
        for panel, (name, title) in zip(panels, _TITLES.items(), strict=True):
            _draw_panel(panel, [row for row in rows if row.user == user], name)
            panel.axhline(getattr(bound, name), color="black", linestyle=":", label="lower bound")
            panel.set_title(f"{user}: {title}")
        panels[0].legend(fontsize="small")
        path = folder / f"measures-{user}.png"
        figure.savefig(path, dpi=100)
        pyplot.close(figure)
        drawn.append(path)
    return drawn


def _draw_panel(panel: Any, rows: Sequence[Row], name: str) -> None:
    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    arrangements = list(dict.fromkeys(row.arrangement for row in rows))
    width = 0.8 / len(arrangements)
    for index, arrangement in enumerate(arrangements):
        values = [
            getattr(row, name) or 0
            for scenario in scenarios
            for row in rows
            if row.scenario == scenario and row.arrangement == arrangement
        ]
        places = [place + index * width for place in range(len(scenarios))]
        panel.bar(places, values, width, label=arrangement)
    panel.set_xticks(
        [place + 0.4 - width / 2 for place in range(len(scenarios))],
        scenarios,
        rotation=20,
        ha="right",
    )
