"""`heatherkeel entry`: run one entry process."""

from __future__ import annotations

import sys

from absl import flags

from .check import define_settings
from .const import EXIT_OK, EXIT_USAGE
from .registry import command


@command(
    "entry",
    help="Run one entry process.",
    usage="--settings=FILE",
    define=define_settings,
    required=("settings",),
)
def run_entry(values: flags.FlagValues, args: list[str]) -> int:
    """Run one entry process until it is told to stop; opens no port on faulty settings."""
    from result import Err

    from heatherkeel.settings.loader import load_settings

    loaded = load_settings(values.settings)
    if isinstance(loaded, Err):
        print(*loaded.err_value.lines(), sep="\n", file=sys.stderr)
        return EXIT_USAGE

    import trio

    from heatherkeel.entry.process import async_run_entry
    from heatherkeel.helpers.logs import set_up_logs

    settings = loaded.ok_value
    set_up_logs(instance=settings.instance.id, zone=settings.instance.zone)
    trio.run(async_run_entry, settings)
    return EXIT_OK
