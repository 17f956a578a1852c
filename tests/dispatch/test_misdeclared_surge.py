"""Simulations of overload by jobs whose declared durations are far off."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from heatherkeel.dispatch.building import critical_paths_ms
from heatherkeel.dispatch.models import Job, Run
from heatherkeel.platform.callers import StepRequest

from .surge import Surge

SEEDS = (1, 2, 3, 4)
MEDIAN_MS = 545
"""Median duration of a task from `draw_steps`."""


class MisdeclaredSurge(Surge):
    """Jobs whose callers declare each step's duration off by a log-normal factor."""

    def __init__(self, *, seed: int, off: float, learns: bool, outage: bool = False) -> None:
        super().__init__(workers=6, seed=seed)
        self.off = off
        self.outage = outage
        """Each worker is unresponsive once in a while, and then lists its ends late."""
        self.partition.state.durations.is_enabled = learns
        self.real_steps: dict[str, list[StepRequest]] = {}
        self.begun_ms: dict[Run, int] = {}

    def _draw_steps(self) -> list[StepRequest]:
        real = super()._draw_steps()
        self.real_steps[f"{len(self.jobs):016x}"] = real
        return [replace(step, estimated_ms=self._misdeclare(step.estimated_ms)) for step in real]

    def _misdeclare(self, real_ms: int) -> int:
        return max(20, round(real_ms * self.random.lognormvariate(0, self.off)))

    def _mean_ms(self, run: Run) -> float:
        self.begun_ms[run] = self.partition.now_ms
        step = run.task.step
        return self.real_steps[step.job.id][step.number].estimated_ms

    def _end(self, run: Run) -> None:
        worker = self.partition.state.workers[run.worker_id]
        run.begun_ms = self.partition.now_ms
        run.answered_ms = self.begun_ms[run]
        run.was_doubtful = self.outage and self.random.random() < 0.1
        if run.was_doubtful:
            run.answered_ms -= 30_000
        worker.clock_received_ms = self.partition.now_ms
        super()._end(run)

    def fraction_in_time(self) -> float:
        """Return the fraction of jobs that met the objective by their real durations."""
        return sum(self._is_in_time(job) for job in self.jobs) / len(self.jobs)

    def _is_in_time(self, job: Job) -> bool:
        assert job.ended_ms is not None, "a job has not ended"
        path_ms = max(critical_paths_ms(tuple(self.real_steps[job.id])))
        return job.ended_ms - job.accepted_ms <= 1.6 * path_ms + 600


def run_surge(*, seed: int, off: float, learns: bool, outage: bool = False) -> MisdeclaredSurge:
    """Simulate three times the capacity for eight seconds."""
    surge = MisdeclaredSurge(seed=seed, off=off, learns=learns, outage=outage)
    surge.run(load=3.0, for_s=8.0)
    return surge


def mean_in_time(*, off: float, learns: bool) -> float:
    """Return the fraction in time over all seeds."""
    surges = [run_surge(seed=seed, off=off, learns=learns) for seed in SEEDS]
    return sum(surge.fraction_in_time() for surge in surges) / len(surges)


def test_learned_durations_serve_more_jobs_in_time_under_overload() -> None:
    """Guards against short jobs that wait behind long ones since callers declare them wrongly."""
    assert mean_in_time(off=0.9, learns=True) >= mean_in_time(off=0.9, learns=False) + 0.03


@pytest.mark.parametrize("seed", SEEDS)
def test_ends_listed_late_under_overload_change_no_estimate(seed: int) -> None:
    """Guards against outages of workers that make all tasks look long."""
    estimates = []
    for outage in (False, True):
        surge = run_surge(seed=seed, off=0.9, learns=True, outage=outage)
        known = surge.partition.state.durations.queues["quotes"]
        estimates.append(known.total.predict_log(MEDIAN_MS))
    assert estimates[1] == pytest.approx(estimates[0], abs=0.2)


def test_well_declared_jobs_are_served_as_before() -> None:
    assert mean_in_time(off=0.2, learns=True) == pytest.approx(mean_in_time(off=0.2, learns=False))
