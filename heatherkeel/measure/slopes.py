"""All slopes that need no other process: state, fold, bytes on the wire."""

from __future__ import annotations

import sys

import msgspec
from absl import flags

from .fit import Slope, format_slopes
from .fold_slopes import measure_fold, measure_record_bytes
from .registry import measurement
from .state_slopes import measure_state


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_bool("json", False, "Print one JSON object.", flag_values=values)


@measurement("slopes", help="State bytes and fold times by size, with fits.", define=_define)
def run_slopes(values: flags.FlagValues) -> int:
    """Measure and print all slopes."""
    slopes: list[Slope] = [*measure_state(), *measure_fold()]
    record_bytes = measure_record_bytes()
    if values.json:
        answer = {"slopes": slopes, "record_bytes": record_bytes}
        sys.stdout.write(msgspec.json.encode(answer).decode() + "\n")
        return 0
    lines = [f"record {kind:34} {mean:>8} B" for kind, mean in record_bytes.items()]
    sys.stdout.write("\n".join([format_slopes(slopes), *lines]) + "\n")
    return 0
