"""Gathers lasting tasks on few workers, so that the other machines can go where work is."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from .const import GATHER_INTERVAL_MS
from .events import Effects
from .jobs import stop_run
from .lasting import count_away
from .models import Run, RunState, Step, Worker
from .open_steps import Urgency
from .placement import most_lasting_here
from .state import PartitionState, Pool

_LOGGER = logging.getLogger(__name__)


@dataclass(kw_only=True, slots=True)
class _Room:
    """What a worker could take over; processor in thousandths of a core."""

    worker: Worker
    cpu: int
    memory_mb: int
    gpu: int
    runs: dict[Step, int]
    """How many runs of each step are there, or would come."""


def gather_lasting(state: PartitionState, effects: Effects) -> None:
    """Take the lasting tasks off one worker of each pool, if others have room for all of them.

    Tasks that came while their pool was full stand one by one where something ended just then, and
    a machine with a lasting task can't be sent away. On a fleet of 276 machines eight jobs of 24
    tasks, which fit on 32, kept 75 to 98 from the pool in its turn. Of each step one task is away
    at a time, for about a second, and only while all others are at work.
    """
    if not state.can_start or state.now_ms - state.gathered_ms < GATHER_INTERVAL_MS:
        return
    state.gathered_ms = state.now_ms
    for pool in state.pools.values():
        if not pool.open_steps.sorted[Urgency.LASTING]:
            _gather(state, pool, effects)


def _gather(state: PartitionState, pool: Pool, effects: Effects) -> None:
    holders = [
        worker
        for worker in pool.workers.values()
        if worker.takes_work(state.now_ms) and _list_lasting(worker)
    ]
    holders.sort(key=lambda worker: (not worker.is_vacated, len(_list_lasting(worker)), worker.id))
    for worker in holders:
        worker.is_vacated = False
    if not holders:
        return
    source, *others = holders
    if not _can_move(source) or not _fit_elsewhere(_list_lasting(source), others):
        return
    source.is_vacated = True
    for run in _list_lasting(source):
        if count_away(state, run.task.step, but=run.task) == 0:
            _LOGGER.info(
                "lasting task gathered with others",
                extra={"event": "gathered", "task": run.task.name, "worker": source.id},
            )
            stop_run(state, run, effects)


def _list_lasting(worker: Worker) -> list[Run]:
    return [run for run in worker.runs.values() if run.task.step.request.lasts]


def _can_move(worker: Worker) -> bool:
    """Say whether all lasting tasks of a worker are at work, and each may be stopped by itself."""
    return all(
        run.state is RunState.RUNNING and run.is_at_work and not run.task.step.request.is_gang
        for run in _list_lasting(worker)
        if run.state is not RunState.STOPPING
    )


def _fit_elsewhere(runs: list[Run], others: Iterable[Worker]) -> bool:
    """Say whether other workers with lasting tasks have room for all of these."""
    rooms = [_measure_room(worker) for worker in others]
    # The fullest first, as they are placed.
    rooms.sort(key=lambda room: (room.cpu, room.worker.id))
    for run in runs:
        room = next((room for room in rooms if _takes(room, run.task.step)), None)
        if room is None:
            return False
        request = run.task.step.request
        room.cpu -= 0 if request.fills else request.cpu
        room.memory_mb -= request.memory_mb
        room.gpu -= request.gpu
        room.runs[run.task.step] = room.runs.get(run.task.step, 0) + 1
    return True


def _measure_room(worker: Worker) -> _Room:
    capacity = worker.entry.capacity
    runs: dict[Step, int] = {}
    for run in worker.runs.values():
        runs[run.task.step] = runs.get(run.task.step, 0) + 1
    return _Room(
        worker=worker,
        cpu=worker.free_cpu(),
        memory_mb=capacity.memory_mb - worker.used_memory_mb,
        gpu=capacity.gpu - worker.used_gpu,
        runs=runs,
    )


def _takes(room: _Room, step: Step) -> bool:
    request = step.request
    here = room.runs.get(step, 0)
    return (
        (request.fills or request.cpu <= room.cpu)
        and request.memory_mb <= room.memory_mb
        and request.gpu <= room.gpu
        and (not request.label or request.label in room.worker.entry.labels)
        and here < most_lasting_here(step)
        and (not request.max_per_worker or here < request.max_per_worker)
    )
