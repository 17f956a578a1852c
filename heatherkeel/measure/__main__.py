"""Finds the measurement that `script/measure` was asked for, and runs it."""

from __future__ import annotations

import sys
from typing import Final

from absl import flags

from heatherkeel import subjects  # noqa: F401

from . import (  # noqa: F401
    claims,
    configuration,
    decisions,
    dispatching,
    edits,
    hop,
    idle,
    measures,
    overload,
    placement,
    repeated_jobs,
    resident,
    slopes,
    snapshots,
    surges,
    urgent,
    workspaces,
)
from .registry import MEASUREMENTS

EXIT_USAGE: Final = 2
DEFAULT: Final = "measures"


def main(argv: list[str]) -> int:
    """Run one measurement and return its exit status."""
    if argv == ["--help"]:
        sys.stdout.write(_overview())
        return 0
    name = argv[0] if argv and not argv[0].startswith("--") else DEFAULT
    found = MEASUREMENTS.get(name)
    if found is None:
        known = ", ".join(sorted(MEASUREMENTS))
        sys.stderr.write(f"script/measure: {name!r} is none of {known}\n")
        return EXIT_USAGE
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_bool("help", False, "Show this help.", flag_values=values)
    found.define(values)
    try:
        values([found.name, *(arg for arg in argv if arg != name)])
    except flags.Error as err:
        sys.stderr.write(f"script/measure {name}: {err}\n")
        return EXIT_USAGE
    if values.help:
        sys.stdout.write(f"{found.help}\n\n{values.get_help()}\n")
        return 0
    return found.run(values)


def _overview() -> str:
    lines = [f"  {name:10} {found.help}\n" for name, found in sorted(MEASUREMENTS.items())]
    return f"usage: script/measure [NAME] [flags]; {DEFAULT} without a name\n\n{''.join(lines)}"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
