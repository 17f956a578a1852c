"""`heatherkeel machines`: what the time of machines in pools was spent on, from logs."""

from __future__ import annotations

import sys

from absl import flags

from .const import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from .registry import command


@command(
    "machines",
    help="Show what the time of machines in pools was spent on, from the logs of processes.",
    usage="LOG...",
    arguments=((),),
    repeats_last=True,
)
def run_machines(values: flags.FlagValues, args: list[str]) -> int:
    """Print the table; exits with 1 if no line is about pools."""
    from result import Err

    from heatherkeel.explain.machines import render_machine_seconds, sum_machine_seconds
    from heatherkeel.explain.reading import read_logs

    read = read_logs(args)
    if isinstance(read, Err):
        print(f"heatherkeel machines: {read.err_value}", file=sys.stderr)
        return EXIT_USAGE
    seconds = sum_machine_seconds(read.ok_value.lines)
    if not seconds:
        print(f"no line of {len(read.ok_value.lines)} is about pools", file=sys.stderr)
        return EXIT_FAILED
    for text in render_machine_seconds(seconds):
        print(text)
    return EXIT_OK
