"""A simulated pool of one share: jobs come at a pace, tasks take time, the reducer decides."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from random import Random

from heatherkeel.dispatch.building import work_ahead
from heatherkeel.dispatch.events import StartTask, WorkerAnswered
from heatherkeel.dispatch.models import Job, Run, RunState
from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.workers import EndedTask, Listing

from .partition import Partition

WORKER_CPU = 64_000
TICK_MS = 100
MEAN_WORK_S = 17.5
"""Core-seconds of a job drawn below, on average of 2,000."""


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """How many jobs came, were done in time, late, or too late to be worth anything."""

    came: int
    in_time: int
    late: int
    worthless: int
    largest_served: float
    """Share of the largest tenth, by work, that was done in time or late."""

    def share_in_time(self) -> float:
        """Return the share done by the objective."""
        return self.in_time / self.came

    def share_unserved(self) -> float:
        """Return the share that came too late to be worth anything."""
        return self.worthless / self.came


def draw_steps(random: Random) -> list[StepRequest]:
    """Draw a short job: one or two steps of some six tasks of a few cores and half a second."""
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
    """Jobs that come for some seconds at a multiple of what a pool's room can do."""

    def __init__(self, *, workers: int, seed: int) -> None:
        self.random = Random(seed)
        self.partition = Partition(workers=workers, cpu=WORKER_CPU)
        self.room_cores = workers * WORKER_CPU / 1000
        self.events: list[tuple[int, int, Run | None]] = []
        self.order = itertools.count()
        self.ended: dict[str, list[EndedTask]] = {}
        self.jobs: list[Job] = []
        self.began_ms = 0

    def run(
        self, *, load: float, for_s: float, then_load: float = 0.0, then_s: float = 0.0
    ) -> Outcome:
        """Let jobs come at `load` times the room, then at another, and wait until all are done."""
        partition = self.partition
        self.began_ms = partition.now_ms
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
                self._carry_out()
            partition.now_ms = now_ms
            if run is None:
                self._submit()
            else:
                self._end(run)
            self._carry_out()
        return self._judge()

    def _draw_arrivals(self, load: float, *, from_s: float, until_s: float) -> None:
        gap_ms = 1000 * MEAN_WORK_S / (load * self.room_cores)
        at_ms = self.began_ms + 1000 * from_s
        until_ms = self.began_ms + 1000 * until_s
        while (at_ms := at_ms + self.random.expovariate(1 / gap_ms)) < until_ms:
            heapq.heappush(self.events, (round(at_ms), next(self.order), None))

    def _submit(self) -> None:
        job_id = f"{len(self.jobs):016x}"
        self.partition.submit(*draw_steps(self.random), job_id=job_id)
        self.jobs.append(self.partition.job(job_id))

    def _carry_out(self) -> None:
        """Begin what was started; a task takes what was declared, give or take a fifth."""
        effects, self.partition.effects = self.partition.effects, []
        for effect in effects:
            if not isinstance(effect, StartTask):
                continue
            run = effect.run
            run.state = RunState.RUNNING
            run.answered_ms = None
            declared_ms = run.task.step.request.estimated_ms
            took_ms = round(declared_ms * self.random.lognormvariate(0, 0.2))
            ends_ms = self.partition.now_ms + took_ms
            heapq.heappush(self.events, (ends_ms, next(self.order), run))

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

    def _judge(self) -> Outcome:
        came = len(self.jobs)
        in_time = sum(count_objectives(job) <= 1 for job in self.jobs)
        served = sum(count_objectives(job) <= 3 for job in self.jobs)
        largest = sorted(self.jobs, key=lambda job: work_ahead(job.request.steps)[0])[-came // 10 :]
        return Outcome(
            came=came,
            in_time=in_time,
            late=served - in_time,
            worthless=came - served,
            largest_served=sum(count_objectives(job) <= 3 for job in largest) / len(largest),
        )


def count_objectives(job: Job) -> float:
    """Return how long a job took, in units of its objective."""
    assert job.ended_ms is not None, "every job is done in the end"
    return (job.ended_ms - job.accepted_ms) / (job.due_ms - job.accepted_ms)
