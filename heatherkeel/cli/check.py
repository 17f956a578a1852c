"""`heatherkeel check`: say everything that is wrong with a settings file."""

from __future__ import annotations

import sys

from absl import flags

from .const import EXIT_OK, EXIT_USAGE
from .registry import command


def define_settings(values: flags.FlagValues) -> None:
    """Define the flag that names the settings file."""
    flags.DEFINE_string("settings", None, "Settings file (TOML).", flag_values=values)


def _define(values: flags.FlagValues) -> None:
    define_settings(values)
    flags.DEFINE_boolean(
        "platform",
        False,
        "The file is one that the users' platform writes, for `heatherkeel instance`.",
        flag_values=values,
    )


@command(
    "check",
    help="Check a settings file: one line for each fault on standard error.",
    usage="--settings=FILE [--platform]",
    define=_define,
    required=("settings",),
)
def run_check(values: flags.FlagValues, args: list[str]) -> int:
    """Check a settings file."""
    faults = _find_platform_faults(values) if values.platform else _find_own_faults(values)
    for fault in faults:
        print(fault, file=sys.stderr)
    return EXIT_USAGE if faults else EXIT_OK


def _find_platform_faults(values: flags.FlagValues) -> list[str]:
    from heatherkeel.platform.settings import find_instance_faults

    return find_instance_faults(values.settings)


def _find_own_faults(values: flags.FlagValues) -> list[str]:
    from result import Err

    from heatherkeel.settings.loader import load_settings

    loaded = load_settings(values.settings)
    return loaded.err_value.lines() if isinstance(loaded, Err) else []
