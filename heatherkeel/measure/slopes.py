"""All slopes that need no other process: state, fold, bytes on the wire."""

from __future__ import annotations

import sys

import msgspec
from absl import flags

from .fit import Slope, format_slopes
from .fold_slopes import measure_fold
from .registry import measurement
from .state_slopes import measure_state


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_bool("json", False, "Print one JSON object.", flag_values=values)


@measurement("slopes", help="State bytes and fold times by size, with fits.", define=_define)
def run_slopes(values: flags.FlagValues) -> int:
    """Measure and print all slopes."""
    slopes: list[Slope] = [*measure_state(), *measure_fold()]
    if values.json:
        sys.stdout.write(msgspec.json.encode(slopes).decode() + "\n")
    else:
        sys.stdout.write(format_slopes(slopes) + "\n")
    return 0
