"""`heatherkeel standin`: run a stand-in of the platform or of a target."""

from __future__ import annotations

import trio
from absl import flags

from heatherkeel.helpers.logs import set_up_logs

from .registry import command


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string("bind", "127.0.0.1:0", "Address to listen on.", flag_values=values)
    flags.DEFINE_string("instance", "standin", "Id of the target.", flag_values=values)
    flags.DEFINE_integer("slots", 8, "Slots of the target.", flag_values=values)


@command("standin", help="Run a stand-in.", usage="platform|target [flags]", define=_define)
def run_standin(values: flags.FlagValues, args: list[str]) -> int:
    """Run one stand-in until it is told to stop."""
    from heatherkeel.standins.platform import PlatformStandin
    from heatherkeel.standins.process import async_run_standin
    from heatherkeel.standins.target import TargetStandin

    set_up_logs(instance=values.instance, zone="")
    if args == ["platform"]:
        trio.run(lambda: async_run_standin(PlatformStandin(), bind=values.bind))
        return 0
    target = TargetStandin(instance=values.instance, slots=values.slots)
    trio.run(lambda: async_run_standin(target, bind=values.bind))
    return 0
