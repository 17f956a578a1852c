"""`heatherkeel check`: say everything that is wrong with a settings file."""

from __future__ import annotations

import sys

from absl import flags

from .const import EXIT_OK, EXIT_USAGE
from .registry import command


def define_settings(values: flags.FlagValues) -> None:
    """Define the flag that names the settings file."""
    flags.DEFINE_string("settings", None, "Settings file (TOML).", flag_values=values)


@command(
    "check",
    help="Check a settings file: one line for each fault on standard error.",
    usage="--settings=FILE",
    define=define_settings,
    required=("settings",),
)
def run_check(values: flags.FlagValues, args: list[str]) -> int:
    """Check a settings file."""
    from result import Err

    from heatherkeel.settings.loader import load_settings

    loaded = load_settings(values.settings)
    if isinstance(loaded, Err):
        print(*loaded.err_value.lines(), sep="\n", file=sys.stderr)
        return EXIT_USAGE
    return EXIT_OK
