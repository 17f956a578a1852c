"""Faults of workers and of their links."""

from __future__ import annotations

from typing import Final

import trio

from .faults import (
    AWAY_S,
    FaultRun,
    async_cut,
    async_freeze,
    async_harm,
    between,
    fault,
    pick_ways,
)
from .plan import PlannedFault
from .site import SoakWorker

START_WAIT_S: Final = 15.0
"""How long a fault waits for a task to start."""
AFTER_START_S: Final = (0.0, 0.25)
SLOW_FACTOR: Final = (2.0, 20.0)


@fault("cut-worker", weight=4, lasts_s=(0.5, 14.0))
async def async_cut_worker(run: FaultRun, fault: PlannedFault) -> bool:
    """Cut a worker off while its machine stays listed; its own reports may still arrive."""
    worker = run.pick_worker(fault)
    if worker is None:
        return False
    await _async_cut_worker(run, fault, worker)
    return True


@fault("cut-worker-at-start", weight=8, lasts_s=(4.0, 14.0))
async def async_cut_worker_at_start(run: FaultRun, fault: PlannedFault) -> bool:
    """Cut a worker off right after it has started a task."""
    return await _async_cut_at_start(run, fault, is_again=False)


@fault("cut-worker-at-restart", weight=4, lasts_s=(7.0, 14.0))
async def async_cut_worker_at_restart(run: FaultRun, fault: PlannedFault) -> bool:
    """Cut a worker off right after it has started a task that was started before."""
    return await _async_cut_at_start(run, fault, is_again=True)


async def _async_cut_at_start(run: FaultRun, fault: PlannedFault, *, is_again: bool) -> bool:
    with trio.move_on_after(START_WAIT_S) as scope:
        # One after the other, so that a series cuts off several workers.
        async with run.start_lock:
            machine = await run.site.histories.async_wait_start(is_again=is_again)
    if scope.cancelled_caught:
        return False
    await trio.sleep(between(AFTER_START_S, fault.choice))
    await _async_cut_worker(run, fault, run.site.workers[machine])
    return True


async def _async_cut_worker(run: FaultRun, fault: PlannedFault, worker: SoakWorker) -> None:
    links = worker.links() if fault.variant < 0.5 else [worker.calls]
    ways = pick_ways(2 * fault.variant % 1)
    what = f"{', '.join(link.name for link in links)}: {', '.join(sorted(ways))}"
    with run.disturb(fault, worker.machine, what):
        await async_cut(links, ways, fault.lasts_s)


@fault("freeze-worker", weight=1, lasts_s=(0.3, 9.0))
async def async_freeze_worker(run: FaultRun, fault: PlannedFault) -> bool:
    """Freeze a worker's process, and thaw it."""
    worker = run.pick_worker(fault)
    if worker is None or worker.child is None:
        return False
    with run.disturb(fault, worker.machine), run.site.histories.freezing(worker.machine):
        await async_freeze(worker.child, fault.lasts_s)
    return True


@fault("kill-worker", weight=1, lasts_s=AWAY_S)
async def async_kill_worker(run: FaultRun, fault: PlannedFault) -> bool:
    """Kill a worker, and start it again after a while."""
    worker = run.pick_worker(fault)
    if worker is None:
        return False
    worker.is_away = True
    with run.disturb(fault, worker.machine):
        await run.site.async_kill_worker(worker)
        await trio.sleep(fault.lasts_s)
        await run.site.async_start_worker(worker)
    worker.is_away = False
    return True


@fault("harm-worker", weight=2, lasts_s=(0.5, 6.0))
async def async_harm_worker(run: FaultRun, fault: PlannedFault) -> bool:
    """Delay, slow down or reset the connections between instances and a worker."""
    worker = run.pick_worker(fault)
    if worker is None:
        return False
    with run.disturb(fault, worker.machine):
        await async_harm([worker.calls], fault)
    return True


@fault("slow-worker", weight=0.5, lasts_s=(1.0, 8.0))
async def async_slow_worker(run: FaultRun, fault: PlannedFault) -> bool:
    """Let a worker's tasks take several times as long."""
    worker = run.pick_worker(fault)
    if worker is None:
        return False
    with run.disturb(fault, worker.machine):
        factor = between(SLOW_FACTOR, fault.variant)
        if not await run.site.async_tell_worker(worker, "/control/slow", {"factor": factor}):
            return False
        await trio.sleep(fault.lasts_s)
        await run.site.async_tell_worker(worker, "/control/slow", {"factor": 1.0})
    return True


@fault("lose-answers", weight=1, lasts_s=(0.0, 0.0))
async def async_lose_answers(run: FaultRun, fault: PlannedFault) -> bool:
    """Let a worker carry out a start late, or list an end twice, as its answer is lost."""
    worker = run.pick_worker(fault)
    if worker is None:
        return False
    lost = {"lose_starts": 1} if fault.variant < 0.5 else {"lose_listings": 1}
    with run.disturb(fault, worker.machine, str(lost)):
        return await run.site.async_tell_worker(worker, "/control/faults", lost)
