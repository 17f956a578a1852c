"""`heatherkeel explain`: one timeline of a job or request from the logs of several processes."""

from __future__ import annotations

import sys

from absl import flags

from .const import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from .registry import command


@command(
    "explain",
    help="Show what the logs of several processes say of one job or request.",
    usage="ID LOG...",
    arguments=((), ()),
    repeats_last=True,
)
def run_explain(values: flags.FlagValues, args: list[str]) -> int:
    """Print the timeline; exits with 1 if no line names the id."""
    from result import Err

    from heatherkeel.explain.reading import read_logs
    from heatherkeel.explain.timeline import choose_lines, render_timeline

    subject, *files = args
    read = read_logs(files)
    if isinstance(read, Err):
        print(f"heatherkeel explain: {read.err_value}", file=sys.stderr)
        return EXIT_USAGE
    logs = read.ok_value
    if logs.unreadable:
        print(f"{logs.unreadable} lines can't be read and are left out", file=sys.stderr)
    chosen = choose_lines(logs.lines, subject)
    if not chosen:
        print(f"no line of {len(logs.lines)} names {subject!r}", file=sys.stderr)
        return EXIT_FAILED
    for text in render_timeline(chosen):
        print(text)
    return EXIT_OK
