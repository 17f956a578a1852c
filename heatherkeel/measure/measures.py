"""The three measures of the brief, for both users, beside baselines and lower bounds.

* `buffer_cost`, in instances: the fewest above what the services need with which a wave ends
  within its window and no promise is broken. Found by adding workers until it does.
* `roll_out_time_s`, in seconds: from the operator's edit to the end of the wave at today's size.
* `moves`: how often an instance was taken out of service by plan, at today's size.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec
from absl import flags

from . import users
from .bounds import Bounds, fewest_spare, find_bounds
from .registry import measurement
from .users import ARRANGEMENTS, OURS, SCENARIOS, USERS, Arrangement, Scenario, User
from .wave_run import WaveResult, WaveRun

MEASURES = ("buffer_cost", "roll_out_time_s", "moves")


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One arrangement in one scenario; None says that no such wave ended."""

    user: str
    scenario: str
    arrangement: str
    buffer_cost: int | None
    roll_out_time_s: int | None
    moves: int
    cancelled: int
    broken: int
    least_margin: int


@dataclass(frozen=True, kw_only=True, slots=True)
class MeasuresResult:
    """All rows, the bounds by user, and where the target was missed."""

    rows: list[Row]
    bounds: dict[str, Bounds]
    missed: list[str]


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_list(
        "users", [user.name for user in USERS], "Whom to measure.", flag_values=values
    )
    flags.DEFINE_bool("json", False, "Print one JSON object.", flag_values=values)
    flags.DEFINE_string("plots", "", "Folder for plots (extra `plots`).", flag_values=values)


@measurement("measures", help="Buffer cost, roll-out time and moves.", define=_define)
def run_measures(values: flags.FlagValues) -> int:
    """Measure everything; exit 1 if a promise broke or a baseline is ahead."""
    chosen = [user for user in USERS if user.name in values.users]
    rows = [
        measure(user, arrangement, scenario)
        for user in chosen
        for scenario in SCENARIOS
        for arrangement in ARRANGEMENTS
    ]
    bounds = {user.name: find_bounds(user) for user in chosen}
    missed = [fault for user in chosen for fault in find_missed(user, rows)]
    result = MeasuresResult(rows=rows, bounds=bounds, missed=missed)
    text = msgspec.json.encode(result).decode() if values.json else format_result(result)
    sys.stdout.write(text + "\n")
    if values.plots:
        from .plots import draw_measures

        draw_measures(rows, bounds, folder=Path(values.plots))
    return 1 if missed else 0


def measure(user: User, arrangement: Arrangement, scenario: Scenario) -> Row:
    """Run one arrangement in one scenario at today's size, and search its buffer."""
    result = _run(user, arrangement, scenario, workers=users.WORKERS)
    return Row(
        user=user.name,
        scenario=scenario.name,
        arrangement=arrangement.name,
        buffer_cost=_find_buffer(user, arrangement, scenario),
        roll_out_time_s=result.roll_out_time_s,
        moves=result.moves,
        cancelled=result.cancelled,
        broken=len(result.violations),
        least_margin=result.least_margin,
    )


def _run(user: User, arrangement: Arrangement, scenario: Scenario, *, workers: int) -> WaveResult:
    run = WaveRun(user=user, arrangement=arrangement, scenario=scenario, workers=workers)
    return run.run()


def _find_buffer(user: User, arrangement: Arrangement, scenario: Scenario) -> int | None:
    """Add workers, one for each pool at a time, until a wave ends with nothing broken.

    Fewer than the bound for each pool can't work, so the search starts there.
    """
    need = users.NEED_PER_SERVICE * users.SERVICES
    pools = len(users.pools_of(arrangement))
    fewest = need + pools * fewest_spare(users.need_of_pool(arrangement))
    for workers in range(fewest, users.WORKERS + 1, pools):
        result = _run(user, arrangement, scenario, workers=workers)
        took_s = result.roll_out_time_s
        if took_s is not None and took_s <= scenario.window_s and not result.violations:
            return workers - need
    return None


def find_missed(user: User, rows: list[Row]) -> list[str]:
    """Say where a promise broke, or where a baseline that breaks none is ahead.

    In the measure that the user weighs most ours has to be ahead of every other arrangement
    over all scenarios together, or at the bound that nobody can pass, and nowhere behind in any
    measure of a single one.
    """
    own = [row for row in rows if row.user == user.name]
    faults = [
        f"{row.user}, {row.scenario}, {row.arrangement}: {row.broken} promises broken"
        for row in own
        if row.broken and row.arrangement == OURS.name
    ]
    for other in ARRANGEMENTS[1:]:
        faults += _compare(user, own, other.name)
    return faults


def _compare(user: User, rows: list[Row], other: str) -> list[str]:
    pairs = [
        (ours, theirs)
        for ours in rows
        for theirs in rows
        if ours.arrangement == OURS.name
        and theirs.arrangement == other
        and ours.scenario == theirs.scenario
        and not theirs.broken
    ]
    faults = [
        f"{user.name}, {ours.scenario}: {name} is {_value(ours, name)}, "
        f"{_value(theirs, name)} for {other}"
        for ours, theirs in pairs
        for name in MEASURES
        if _value(ours, name) > _value(theirs, name)
    ]
    ours_total = sum(_value(ours, user.weighs_most) for ours, _ in pairs)
    other_total = sum(_value(theirs, user.weighs_most) for _, theirs in pairs)
    if pairs and ours_total >= other_total and ours_total > _bound(user, len(pairs)):
        faults.append(f"{user.name}: not ahead of {other} in {user.weighs_most}")
    return faults


def _bound(user: User, scenarios: int) -> float:
    return float(getattr(find_bounds(user), user.weighs_most) * scenarios)


def _value(row: Row, name: str) -> float:
    value = getattr(row, name)
    return float("inf") if value is None else float(value)


def format_result(result: MeasuresResult) -> str:
    """Return the table of all rows, with the bounds of each user above them."""
    lines: list[str] = []
    for name, bounds in result.bounds.items():
        lines.append(
            f"{name}: no policy can do with less than buffer {bounds.buffer_cost}, "
            f"roll-out {bounds.roll_out_time_s} s (ordinary day), moves {bounds.moves}"
        )
        lines.append(
            f"  {'scenario':22} {'arrangement':28} {'buffer':>7} {'roll-out s':>11} {'moves':>6} "
            f"{'put back':>9} {'broken':>7} {'least margin':>13}"
        )
        lines += [_format_row(row) for row in result.rows if row.user == name]
    lines += [f"MISSED {fault}" for fault in result.missed]
    return "\n".join(lines)


def _format_row(row: Row) -> str:
    return (
        f"  {row.scenario:22} {row.arrangement:28} {_shown(row.buffer_cost):>7} "
        f"{_shown(row.roll_out_time_s):>11} {row.moves:>6} {row.cancelled:>9} {row.broken:>7} "
        f"{row.least_margin:>13}"
    )


def _shown(value: int | None) -> str:
    return "none" if value is None else str(value)
