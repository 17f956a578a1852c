"""`heatherkeel replay`: replay a recorded trace and say which promises held."""

from __future__ import annotations

import sys

from absl import flags

from .const import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from .registry import command


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_bool(
        "schema", False, "Print the JSON Schema of one line of a trace.", flag_values=values
    )


@command(
    "replay",
    help="Replay a recorded trace and say which promises held.",
    usage="TRACE | --schema",
    define=_define,
    arguments=((),),
    optional_from=0,
)
def run_replay(values: flags.FlagValues, args: list[str]) -> int:
    """Print one JSON object; exit 1 if a promise was broken, 2 for a trace that can't be read."""
    if values.schema == bool(args):
        print("heatherkeel replay: give either a trace or --schema", file=sys.stderr)
        return EXIT_USAGE
    if values.schema:
        return _print_schema()
    return _replay(args[0])


def _print_schema() -> int:
    import msgspec

    from heatherkeel.replay.trace import replay_schema

    print(msgspec.json.format(msgspec.json.encode(replay_schema())).decode())
    return EXIT_OK


def _replay(file: str) -> int:
    from pathlib import Path

    import msgspec
    from result import Err

    from heatherkeel.replay.replayer import replay_file

    replayed = replay_file(Path(file))
    if isinstance(replayed, Err):
        error = replayed.err_value
        place = f"{file}: line {error.line}" if error.line else file
        print(f"{place}: {error.reason}", file=sys.stderr)
        return EXIT_USAGE
    report = replayed.ok_value
    print(msgspec.json.encode(report, order="sorted").decode())
    return EXIT_FAILED if report.violations else EXIT_OK
