"""`heatherkeel instance`: run one process on the users' platform."""

from __future__ import annotations

import gc
import os
import sys

from absl import flags

from .const import EXIT_OK, EXIT_USAGE
from .registry import command


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "settings",
        None,
        "The platform's settings file; else what the platform's variable names.",
        flag_values=values,
    )


@command(
    "instance",
    help="Run one process on the users' platform until it is told to stop.",
    usage="[--settings=FILE]",
    define=_define,
)
def run_instance(values: flags.FlagValues, args: list[str]) -> int:
    """Run one process; opens no port on faulty settings."""
    from result import Err

    from heatherkeel.platform.const import SETTINGS_VARIABLE
    from heatherkeel.platform.settings import load_instance_settings

    file = values.settings or os.environ.get(SETTINGS_VARIABLE, "")
    if not file:
        print(f"heatherkeel instance: --settings or {SETTINGS_VARIABLE} is needed", file=sys.stderr)
        return EXIT_USAGE
    loaded = load_instance_settings(file)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        return EXIT_USAGE

    # What is imported stays until the end. Looked through for garbage again and again, it would
    # make a start take a tenth longer, and each later collection some milliseconds.
    gc.disable()
    import trio

    from heatherkeel.helpers.logs import set_up_logs
    from heatherkeel.instance.process import async_run_instance

    gc.freeze()
    gc.enable()
    settings = loaded.ok_value
    set_up_logs(instance=settings.instance, zone=settings.zone, descriptor=sys.stdout.fileno())
    trio.run(async_run_instance, settings, file)
    return EXIT_OK
