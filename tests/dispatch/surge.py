"""Simulation of a pool with one partition that receives a surge of jobs."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from random import Random

from heatherkeel.dispatch.building import remaining_work
from heatherkeel.dispatch.events import StartTask, WorkerAnswered
from heatherkeel.dispatch.models import Job, Run, RunState
from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.workers import EndedTask, Listing

from .partition import Partition

WORKER_CPU = 64_000
TICK_MS = 100
MEAN_WORK_S = 17.5
"""Mean work of a job from `draw_steps`, in core-seconds."""


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """Numbers of jobs that arrived, and that ended in time, late, or too late to be useful."""

    arrived: int
    in_time: int
    late: int
    unserved: int
    largest_served: float
    """Fraction of the largest tenth of jobs, by work, that ended in time or late."""

    def fraction_in_time(self) -> float:
        """Return the fraction of jobs that met their objective."""
        return self.in_time / self.arrived

    def fraction_unserved(self) -> float:
        """Return the fraction of jobs that ended too late to be useful."""
        return self.unserved / self.arrived


def draw_steps(random: Random) -> list[StepRequest]:
    """Draw a short job: up to three steps of a few tasks of some cores and half a second."""
    steps = []
    for number in range(random.choice([1, 1, 2, 2, 3]) if random.random() < 0.8 else 1):
        steps.append(
            StepRequest(
                count=max(1, min(24, round(random.lognormvariate(1.6, 0.6)))),
                cpu=max(500, min(11_000, round(random.lognormvariate(8.05, 0.45)))),
                memory_mb=100,
                estimated_ms=max(100, min(1600, round(random.lognormvariate(6.3, 0.5)))),
                depends_on=(number - 1,) if number else (),
            )
        )
    return steps


class Surge:
    """Simulates jobs that arrive at a multiple of a pool's capacity."""

    def __init__(self, *, workers: int, seed: int) -> None:
        self.random = Random(seed)
        self.partition = Partition(workers=workers, cpu=WORKER_CPU)
        self.capacity_cores = workers * WORKER_CPU / 1000
        self.events: list[tuple[int, int, Run | None]] = []
        self.order = itertools.count()
        self.ended: dict[str, list[EndedTask]] = {}
        self.jobs: list[Job] = []
        self.start_ms = 0

    def run(
        self, *, load: float, for_s: float, then_load: float = 0.0, then_s: float = 0.0
    ) -> Outcome:
        """Submit jobs at `load` times the capacity, then at `then_load`, until all have ended."""
        partition = self.partition
        self.start_ms = partition.now_ms
        self._draw_arrivals(load, from_s=0.0, until_s=for_s)
        if then_load:
            self._draw_arrivals(then_load, from_s=for_s, until_s=for_s + then_s)
        last_tick_ms = partition.now_ms
        while self.events:
            now_ms, _, run = heapq.heappop(self.events)
            while last_tick_ms + TICK_MS < now_ms:
                last_tick_ms += TICK_MS
                partition.now_ms = last_tick_ms
                partition.tick(0)
                self._execute_effects()
            partition.now_ms = now_ms
            if run is None:
                self._submit()
            else:
                self._end(run)
            self._execute_effects()
        return self._count_outcomes()

    def _draw_arrivals(self, load: float, *, from_s: float, until_s: float) -> None:
        gap_ms = 1000 * MEAN_WORK_S / (load * self.capacity_cores)
        at_ms = self.start_ms + 1000 * from_s
        until_ms = self.start_ms + 1000 * until_s
        while (at_ms := at_ms + self.random.expovariate(1 / gap_ms)) < until_ms:
            heapq.heappush(self.events, (round(at_ms), next(self.order), None))

    def _submit(self) -> None:
        job_id = f"{len(self.jobs):016x}"
        self.partition.submit(*self._draw_steps(), job_id=job_id)
        self.jobs.append(self.partition.job(job_id))

    def _draw_steps(self) -> list[StepRequest]:
        return draw_steps(self.random)

    def _execute_effects(self) -> None:
        """Begin the started runs; durations within a step vary by a fifth."""
        effects, self.partition.effects = self.partition.effects, []
        for effect in effects:
            if not isinstance(effect, StartTask):
                continue
            run = effect.run
            run.state = RunState.RUNNING
            run.answered_ms = None
            took_ms = round(self._mean_ms(run) * self.random.lognormvariate(0, 0.2))
            ends_ms = self.partition.now_ms + took_ms
            heapq.heappush(self.events, (ends_ms, next(self.order), run))

    def _mean_ms(self, run: Run) -> float:
        """Return the mean duration of a run's step, in milliseconds."""
        return run.task.step.request.estimated_ms

    def _end(self, run: Run) -> None:
        ended = self.ended.setdefault(run.worker_id, [])
        ended.append(
            EndedTask(
                number=len(ended) + 1,
                task=run.task.name,
                attempt=run.attempt,
                outcome="done",
                saved="",
            )
        )
        now_ms = self.partition.now_ms
        listing = Listing(clock_ms=now_ms, running=[], ended=ended[-1:])
        self.partition.apply(
            WorkerAnswered(
                **self.partition.event_times(),
                worker_id=run.worker_id,
                sent_ms=now_ms,
                listing=listing,
            )
        )

    def _count_outcomes(self) -> Outcome:
        arrived = len(self.jobs)
        in_time = sum(relative_duration(job) <= 1 for job in self.jobs)
        served = sum(relative_duration(job) <= 3 for job in self.jobs)
        largest = sorted(self.jobs, key=lambda job: remaining_work(job.request.steps)[0])[
            -arrived // 10 :
        ]
        return Outcome(
            arrived=arrived,
            in_time=in_time,
            late=served - in_time,
            unserved=arrived - served,
            largest_served=sum(relative_duration(job) <= 3 for job in largest) / len(largest),
        )


def relative_duration(job: Job) -> float:
    """Return a job's duration as a multiple of its objective."""
    assert job.ended_ms is not None, "a job has not ended"
    return (job.ended_ms - job.accepted_ms) / (job.due_ms - job.accepted_ms)
