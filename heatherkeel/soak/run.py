"""Plays one seed, and checks what callers and workers see while it runs."""

from __future__ import annotations

import math
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Final

import trio

from heatherkeel.measure.processes import Usage

from . import instance_faults, worker_faults  # noqa: F401 (they register their kinds)
from .callers import Callers, Fate
from .faults import FAULTS, FaultRun
from .plan import FaultKind, Plan
from .promises import Checked, check_promises
from .record import RunRecord
from .site import MAX_FAILURES, SoakSite
from .stall import Stall, read_stalls
from .supervisor import OWN_PROGRAM, Supervisor

FINISH_S: Final = 90.0
"""Longest time until all jobs have ended after the last fault, in seconds."""
CHECK_S: Final = 5.0
"""Pause between two checks while it runs, in seconds."""
POLL_S: Final = 0.1
STALL_FILE: Final = "stalls"


@dataclass(frozen=True, kw_only=True, slots=True)
class Sizes:
    """How many processes a run has, beside the platform."""

    instances: int = 3
    workers: int = 6


@dataclass(kw_only=True)
class RunResult:
    """What one run has shown."""

    plan: Plan
    record: RunRecord
    checked: dict[str, Checked]
    faults: FaultRun
    stalls: list[Stall]
    usage: dict[str, Usage]
    took_s: float

    def broken(self) -> list[str]:
        """Return where promises were broken."""
        return [
            f"{name}: {where}" for name, found in self.checked.items() for where in found.broken
        ]


@dataclass(kw_only=True)
class SoakRun:
    """Plays a plan on a site of its own."""

    plan: Plan
    folder: Path
    sizes: Sizes
    program: list[str] = field(default_factory=lambda: list(OWN_PROGRAM))
    root: Path | None = None
    healed_s: float = math.inf
    broken_record: RunRecord | None = None
    """What was seen when the first promise was broken."""

    async def async_play(self) -> RunResult:
        """Start the processes, inject the faults, check, and end the processes."""
        supervisor = Supervisor(folder=self.folder)
        began_s = time.monotonic()
        stall_file = self.folder / STALL_FILE
        try:
            command = [sys.executable, "-m", "heatherkeel.soak.stall", str(stall_file)]
            supervisor.spawn("stall", command)
            async with trio.open_nursery() as nursery:
                site = SoakSite(
                    folder=self.folder, supervisor=supervisor, program=self.program, root=self.root
                )
                await site.start(
                    nursery, instances=self.sizes.instances, workers=self.sizes.workers
                )
                record, faults = await self._async_play_on(site, nursery)
                usage = supervisor.measure()
                nursery.cancel_scope.cancel()
        finally:
            supervisor.close()
        return RunResult(
            plan=self.plan,
            record=record,
            checked=check_promises(record),
            faults=faults,
            stalls=read_stalls(stall_file),
            usage=usage,
            took_s=time.monotonic() - began_s,
        )

    async def _async_play_on(
        self, site: SoakSite, nursery: trio.Nursery
    ) -> tuple[RunRecord, FaultRun]:
        """Play until all jobs have ended, or a promise is broken."""
        addresses = {name: part.callers.address for name, part in site.instances.items()}
        callers = Callers(addresses=addresses)
        faults = FaultRun(site=site)
        random = Random(self.plan.seed)
        async with trio.open_nursery() as playing:
            playing.start_soon(callers.async_ask_queues, random, site.list_prefixes)
            playing.start_soon(self._async_check, site, callers, faults, playing.cancel_scope)
            async with trio.open_nursery() as acting:
                acting.start_soon(callers.async_run, self.plan.jobs, nursery)
                acting.start_soon(faults.async_run, self.plan.faults, acting)
            site.heal_all()
            self.healed_s = time.time()
            with trio.move_on_after(FINISH_S):
                await _async_finish(callers)
            playing.cancel_scope.cancel()
        record = self.broken_record or self._make_record(site, callers, faults, is_over=True)
        return record, faults

    async def _async_check(
        self, site: SoakSite, callers: Callers, faults: FaultRun, scope: trio.CancelScope
    ) -> None:
        """Check now and then, and end the run if a promise is broken."""
        while True:
            await trio.sleep(CHECK_S)
            record = self._make_record(site, callers, faults)
            if any(found.broken for found in check_promises(record).values()):
                self.broken_record = record
                scope.cancel()

    def _make_record(
        self, site: SoakSite, callers: Callers, faults: FaultRun, *, is_over: bool = False
    ) -> RunRecord:
        history, known_s = site.histories.merge(is_complete=is_over)
        return RunRecord(
            until_s=known_s,
            is_over=is_over,
            jobs=[job.until(known_s) for job in callers.jobs],
            history=history,
            disturbances=faults.disturbances,
            changes=site.changes,
            queue_answers=callers.queue_answers,
            calls=callers.calls,
            healed_s=self.healed_s,
            max_failures=MAX_FAILURES,
            instances=list(site.instances),
        )


async def _async_finish(callers: Callers) -> None:
    """Cancel what lasts, and wait until all accepted jobs have ended."""
    random = Random(0)
    for job in callers.jobs:
        if job.plan.lasts() and job.fate is Fate.ACCEPTED and not job.cancel_sent_s:
            await callers.async_cancel(job, random)
    while not all(job.is_finished() for job in callers.jobs):
        await trio.sleep(POLL_S)


def find_kinds(only: list[str]) -> dict[str, FaultKind]:
    """Return the kinds of faults to draw from."""
    return {name: FAULTS[name].kind for name in sorted(only or FAULTS)}
