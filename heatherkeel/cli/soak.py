"""`heatherkeel soak`: run real processes under faults from outside, and check promises."""

from __future__ import annotations

import shlex
import sys
from pathlib import Path

from absl import flags

from .const import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from .registry import command


def _define(values: flags.FlagValues) -> None:
    def integer(name: str, default: int | None, help: str, least: int) -> None:
        flags.DEFINE_integer(name, default, help, lower_bound=least, flag_values=values)

    integer("seeds", 1, "How many seeds to play, from --seed on.", 1)
    integer("seed", 1, "The first seed; the same one plays the same schedule again.", 0)
    integer("processes", 12, "Processes: the platform, instances and workers.", 4)
    flags.DEFINE_float(
        "minutes",
        1.0,
        "How long faults are injected for each seed, in minutes.",
        lower_bound=0.05,
        flag_values=values,
    )
    flags.DEFINE_float(
        "faults-per-s",
        0.5,
        "How many faults or series of them begin each second, on average.",
        lower_bound=0.0,
        flag_values=values,
    )
    flags.DEFINE_list(
        "only", [], "Kinds of faults to draw from; all by default.", flag_values=values
    )
    flags.DEFINE_string("keep", None, "Folder in which everything is kept.", flag_values=values)
    flags.DEFINE_string(
        "program",
        None,
        'Program of the instances, such as "python -m heatherkeel"; this one by default.',
        flag_values=values,
    )
    flags.DEFINE_string("root", None, "Working directory of that program.", flag_values=values)


@command(
    "soak",
    help="Run real processes under faults from outside, and check promises.\n\n"
    "Exit status: 0 no promise was broken, 1 one was, 2 wrong usage or it can't be run.",
    usage="[flags]",
    define=_define,
)
def run_soak(values: flags.FlagValues, args: list[str]) -> int:
    """Play the seeds one after the other."""
    from heatherkeel.soak.command import SoakOptions, play_seeds
    from heatherkeel.soak.supervisor import SoakError

    options = SoakOptions(
        seeds=range(values.seed, values.seed + values.seeds),
        duration_s=60 * values.minutes,
        faults_per_s=float(values["faults-per-s"].value or 0),
        processes=values.processes,
        only=values.only,
        keep=Path(values.keep) if values.keep else None,
        program=shlex.split(values.program) if values.program else None,
        root=Path(values.root) if values.root else None,
    )
    try:
        is_sound = play_seeds(options)
    except SoakError as err:
        print(f"heatherkeel soak: {err}", file=sys.stderr)
        return EXIT_USAGE
    return EXIT_OK if is_sound else EXIT_FAILED
