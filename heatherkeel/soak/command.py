"""Plays seeds one after the other, and says what they have shown."""

from __future__ import annotations

import os
import signal
import sys
import tempfile
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import trio

from .faults import FAULTS
from .plan import make_plan
from .report import write_result
from .run import RunResult, Sizes, SoakRun, find_kinds
from .supervisor import OWN_PROGRAM, SoakError, find_soak_error

MIN_INSTANCES: Final = 2
INSTANCE_SHARE: Final = 0.3
MAX_PROCESSES: Final = 300
PROCESS_BYTES: Final = 60 * 1024 * 1024
"""What a process takes of the memory, in bytes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SoakOptions:
    """What the command line asks for."""

    seeds: range
    duration_s: float
    faults_per_s: float
    processes: int
    only: list[str]
    keep: Path | None
    program: list[str] | None
    root: Path | None

    def sizes(self) -> Sizes:
        """Return how the processes are divided; one is the platform."""
        instances = max(MIN_INSTANCES, round(INSTANCE_SHARE * self.processes))
        return Sizes(instances=instances, workers=self.processes - instances - 1)

    def find_fault(self) -> str | None:
        """Return what is wrong with the options, if anything is."""
        unknown = [name for name in self.only if name not in FAULTS]
        if unknown:
            return f"unknown fault {unknown[0]!r}; one of: {', '.join(sorted(FAULTS))}"
        most = min(MAX_PROCESSES, count_affordable())
        if self.processes > most:
            return f"{self.processes} processes are more than the limits bear: {most}"
        if self.root is not None and not self.root.is_dir():
            return f"no such folder: {self.root}"
        return None


def count_affordable() -> int:
    """Return how many processes take half of the machine's memory."""
    memory_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return memory_bytes // 2 // PROCESS_BYTES


def play_seeds(options: SoakOptions) -> bool:
    """Play the seeds; returns whether no promise was broken."""
    fault = options.find_fault()
    if fault is not None:
        raise SoakError(fault)
    is_sound = True
    for seed in options.seeds:
        with ExitStack() as stack:
            folder = _make_folder(options, seed, stack)
            try:
                result = trio.run(_async_play_interruptible, options, seed, folder)
            except BaseExceptionGroup as group:
                err = find_soak_error(group)
                if err is None:
                    raise
                raise err from group
            if result is None:
                sys.stdout.write(f"seed {seed}: interrupted\n")
                return False
            write_result(result, folder)
        is_sound = is_sound and not result.broken()
    return is_sound


def _make_folder(options: SoakOptions, seed: int, stack: ExitStack) -> Path:
    if options.keep is None:
        return Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="heatherkeel-soak-")))
    folder = options.keep.resolve() / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    for file in folder.iterdir():
        file.unlink()
    return folder


async def _async_play_interruptible(
    options: SoakOptions, seed: int, folder: Path
) -> RunResult | None:
    """Play one seed; a signal ends it and the processes; returns None then."""
    plan = make_plan(
        seed,
        duration_s=options.duration_s,
        faults_per_s=options.faults_per_s,
        kinds=find_kinds(options.only),
    )
    result = None
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:

            async def async_cancel() -> None:
                # Later signals change nothing: the processes are being ended already.
                async for _ in signals:
                    playing.cancel()

            nursery.start_soon(async_cancel)
            with trio.CancelScope() as playing:
                run = SoakRun(
                    plan=plan,
                    folder=folder,
                    sizes=options.sizes(),
                    program=options.program or list(OWN_PROGRAM),
                    root=options.root,
                )
                result = await run.async_play()
            nursery.cancel_scope.cancel()
    return result
