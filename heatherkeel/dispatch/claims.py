"""What a pool's jobs can still use of its machines, by the priority of their queues."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from heatherkeel.questions.messages import Claim

from .const import LITTLE_DONE_PERCENT, MAX_ATTEMPT_TO_STOP, MAX_CLAIMS, MOVE_LEAD_MS
from .models import Run, Step
from .open_steps import Urgency, find_urgency, find_worthless_ms
from .state import PartitionState, Pool

_IN_TIME: Final = (Urgency.IN_TIME, Urgency.OVER_PART)
"""Jobs of a workspace above its part wait for those of others, but can be in time."""


@dataclass(kw_only=True, slots=True)
class _Sums:
    """Processor by what it can still be used for, in thousandths of a core."""

    in_time: int = 0
    soon: int = 0
    late: int = 0
    lasting: int = 0


def measure_claims(state: PartitionState, pool: Pool) -> list[Claim]:
    """Return a pool's claims, the most important priority first; best-effort tasks claim nothing.

    Each priority of the pool's queues is listed, also without demand.
    """
    sums = {
        queue.priority: _Sums() for queue in state.queues.values() if queue.service == pool.service
    }
    for step in pool.open_steps.unlimited():
        if not step.request.fills:
            _add_waiting(sums.setdefault(_priority(state, step), _Sums()), step, state.now_ms)
    for worker in pool.workers.values():
        for run in worker.runs.values():
            if not run.task.step.request.fills:
                claim = sums.setdefault(_priority(state, run.task.step), _Sums())
                _add_running(claim, run, state.now_ms)
    return _bound(sums)


def measure_kept(pool: Pool, now_ms: int) -> dict[str, int]:
    """Return the processor of the runs on each worker that aren't stopped to give way."""
    kept = {
        worker.id: sum(
            run.task.step.request.cpu
            for run in worker.runs.values()
            if not is_stoppable(run, now_ms)
        )
        for worker in pool.workers.values()
    }
    return {worker_id: cpu for worker_id, cpu in kept.items() if cpu}


def find_run_urgency(run: Run, now_ms: int) -> Urgency:
    """Return the urgency of what runs: in time if it began so, unless it is worthless by now."""
    step = run.task.step
    urgency = find_urgency(step, run.started_ms or now_ms)
    is_worthless = urgency is not Urgency.LASTING and now_ms >= find_worthless_ms(step)
    return Urgency.WORTHLESS if is_worthless else urgency


def is_stoppable(run: Run, now_ms: int) -> bool:
    """Return whether a run may be stopped, soon or at once, so that another pool gets its machine.

    A run that is in time is stopped only if its end would take longer than what it loses: less than
    half of it is done, or it has stored its progress. A gang would have to start again as a whole.
    No task gives way more often than `MAX_ATTEMPT_TO_STOP`.
    """
    request = run.task.step.request
    if request.lasts or request.is_gang:
        return False
    urgency = find_run_urgency(run, now_ms)
    if urgency is Urgency.WORTHLESS:
        return True
    if run.attempt > MAX_ATTEMPT_TO_STOP:
        return False
    if urgency is not Urgency.IN_TIME:
        return True
    return loses_little(run) or (request.saves and bool(run.saved))


def loses_little(run: Run) -> bool:
    """Return whether waiting for a run's end costs its machine more than stopping it."""
    return run.percent < LITTLE_DONE_PERCENT


def _priority(state: PartitionState, step: Step) -> int:
    terms = state.find_terms(step.job)
    return terms.priority if terms is not None else 0


def _add_waiting(sums: _Sums, step: Step, now_ms: int) -> None:
    cpu = step.request.cpu * len(step.waiting())
    urgency = find_urgency(step, now_ms)
    if urgency is Urgency.LASTING:
        sums.lasting += cpu
    elif urgency in _IN_TIME:
        sums.in_time += cpu
        if find_urgency(step, now_ms + MOVE_LEAD_MS) in _IN_TIME:
            sums.soon += cpu
    elif urgency is Urgency.LATE:
        sums.late += cpu


def _add_running(sums: _Sums, run: Run, now_ms: int) -> None:
    cpu = run.task.step.request.cpu
    urgency = find_run_urgency(run, now_ms)
    if urgency is Urgency.LASTING:
        sums.lasting += cpu
    elif urgency is Urgency.IN_TIME:
        sums.in_time += cpu
        sums.soon += cpu
    elif urgency is Urgency.LATE:
        sums.late += cpu


def _bound(sums: dict[int, _Sums]) -> list[Claim]:
    """Return the claims in order; those after the first few are added to the last of these."""
    priorities = sorted(sums)
    claims = []
    for first in range(min(MAX_CLAIMS, len(priorities))):
        until = first + 1 if first < MAX_CLAIMS - 1 else len(priorities)
        merged = [sums[priority] for priority in priorities[first:until]]
        claims.append(
            Claim(
                priority=priorities[first],
                in_time_cpu=sum(part.in_time for part in merged),
                soon_cpu=sum(part.soon for part in merged),
                late_cpu=sum(part.late for part in merged),
                lasting_cpu=sum(part.lasting for part in merged),
            )
        )
    return claims
