"""`heatherkeel standin`: run a stand-in of a platform, of a target or of a worker."""

from __future__ import annotations

import re
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Final

from absl import flags

from heatherkeel.settings.const import ADDRESS_PATTERN, BIND_PATTERN

from .const import EXIT_OK, EXIT_USAGE
from .registry import command

PLATFORM: Final = "platform"
TARGET: Final = "target"
USERS_PLATFORM: Final = "users-platform"
WORKER: Final = "worker"

_REQUIRED: Final = {WORKER: ("control", "machine", "pool", "history")}

Run = Callable[[flags.FlagValues], None]


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
    _define_users_platform(values)
    _define_worker(values)


def _define_users_platform(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "standby", "spare", "users-platform: the pool whose machines are off.", flag_values=values
    )
    flags.DEFINE_integer(
        "partitions",
        3,
        "users-platform: how many partitions a group of members divides.",
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_integer(
        "entry-ttl-ms",
        600,
        "users-platform: a worker's entry expires after so long without a heartbeat.",
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_integer(
        "away-ms",
        200,
        "users-platform: how long a machine is away when it moves or is maintained.",
        lower_bound=0,
        flag_values=values,
    )


def _define_worker(values: flags.FlagValues) -> None:
    texts = {
        "control": "the control address of its users-platform.",
        "machine": "the name of its machine.",
        "pool": "the machine's pool, if the platform doesn't know the machine.",
        "history": "the file to which it appends what it does.",
        "announce": "the address that it reports instead of its own.",
        "keep-id": "the id of each of its lives.",
    }
    for name, text in texts.items():
        flags.DEFINE_string(name, "", f"worker: {text}", flag_values=values)
    for name in ("control", "announce"):
        flags.register_validator(  # type: ignore[no-untyped-call]
            name,
            lambda address: not address or re.match(ADDRESS_PATTERN, address) is not None,
            message="expected an IP number and a port, such as 127.0.0.1:8080",
            flag_values=values,
        )
    flags.DEFINE_string(
        "id-prefix", "i-", "worker: what the ids of its lives begin with.", flag_values=values
    )
    flags.DEFINE_float(
        "drain-s",
        1.0,
        "worker: how long it drains before it leaves.",
        lower_bound=0.0,
        flag_values=values,
    )


@command(
    "standin",
    help="Run a stand-in of a platform, of a target or of a worker, for trials and tests.",
    usage="platform|target|users-platform|worker [flags]",
    define=_define,
    arguments=((PLATFORM, TARGET, USERS_PLATFORM, WORKER),),
)
def run_standin(values: flags.FlagValues, args: list[str]) -> int:
    """Run one stand-in until it is told to stop."""
    (kind,) = args
    missing = [name for name in _REQUIRED.get(kind, ()) if not values[name].value]
    if missing:
        print(f"heatherkeel standin: {kind} needs --{missing[0]}", file=sys.stderr)
        return EXIT_USAGE
    from heatherkeel.helpers.logs import set_up_logs

    set_up_logs(instance=values.instance, zone="")
    _RUNS[kind](values)
    return EXIT_OK


def _run_platform(values: flags.FlagValues) -> None:
    import trio

    from heatherkeel.standins.platform import PlatformStandin
    from heatherkeel.standins.process import async_run_platform

    trio.run(lambda: async_run_platform(PlatformStandin(), bind=values.bind))


def _run_target(values: flags.FlagValues) -> None:
    import trio

    from heatherkeel.standins.process import async_run_target
    from heatherkeel.standins.target import TargetStandin

    target = TargetStandin(instance=values.instance, slots=values.slots)
    trio.run(lambda: async_run_target(target, bind=values.bind))


def _run_users_platform(values: flags.FlagValues) -> None:
    import trio

    from heatherkeel.standins.users_platform_process import (
        UsersPlatformProcess,
        async_run_users_platform,
    )

    platform = UsersPlatformProcess(
        bind=values.bind,
        standby=values.standby,
        partitions=values.partitions,
        entry_ttl_s=_seconds(values, "entry-ttl-ms"),
        away_s=_seconds(values, "away-ms"),
    )
    trio.run(async_run_users_platform, platform)


def _run_worker(values: flags.FlagValues) -> None:
    import trio

    from heatherkeel.standins.history import HistoryFile
    from heatherkeel.standins.worker_process import WorkerOptions, WorkerProcess

    options = WorkerOptions(
        control=values.control,
        machine=values.machine,
        pool=values.pool,
        bind=values.bind,
        announce=values.announce,
        id_prefix=values["id-prefix"].value or "",
        keep_id=values["keep-id"].value or "",
        drain_s=float(values["drain-s"].value or 0),
    )
    worker = WorkerProcess(options=options, history=HistoryFile(Path(values.history)))
    trio.run(worker.async_run)


def _seconds(values: flags.FlagValues, name: str) -> float:
    """Return a flag that is given in milliseconds."""
    return int(values[name].value or 0) / 1000


_RUNS: Final[dict[str, Run]] = {
    PLATFORM: _run_platform,
    TARGET: _run_target,
    USERS_PLATFORM: _run_users_platform,
    WORKER: _run_worker,
}
