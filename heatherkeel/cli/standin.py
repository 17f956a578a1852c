"""`heatherkeel standin`: run a stand-in of the platform or of a target."""

from __future__ import annotations

import re

from absl import flags

from heatherkeel.settings.const import BIND_PATTERN

from .const import EXIT_OK
from .registry import command

PLATFORM = "platform"
TARGET = "target"


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string("bind", "127.0.0.1:0", "Address to listen on.", flag_values=values)
    flags.register_validator(  # type: ignore[no-untyped-call]
        "bind",
        lambda bind: re.match(BIND_PATTERN, bind) is not None,
        message="expected an IP number and a port, such as 127.0.0.1:8080",
        flag_values=values,
    )
    flags.DEFINE_string("instance", "standin", "Id of the target.", flag_values=values)
    flags.DEFINE_integer(
        "slots", 8, "Slots of the target.", lower_bound=1, upper_bound=100_000, flag_values=values
    )


@command(
    "standin",
    help="Run a stand-in of the platform or of a target, for trials and tests.",
    usage="platform|target [flags]",
    define=_define,
    arguments=((PLATFORM, TARGET),),
)
def run_standin(values: flags.FlagValues, args: list[str]) -> int:
    """Run one stand-in until it is told to stop."""
    import trio

    from heatherkeel.helpers.logs import set_up_logs
    from heatherkeel.standins.platform import PlatformStandin
    from heatherkeel.standins.process import async_run_platform, async_run_target
    from heatherkeel.standins.target import TargetStandin

    set_up_logs(instance=values.instance, zone="")
    if args == [PLATFORM]:
        trio.run(lambda: async_run_platform(PlatformStandin(), bind=values.bind))
        return EXIT_OK
    target = TargetStandin(instance=values.instance, slots=values.slots)
    trio.run(lambda: async_run_target(target, bind=values.bind))
    return EXIT_OK
