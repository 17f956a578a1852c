"""A simulated pool whose workers crash, by their tasks or by themselves, and come back.

Jobs come at a pace; the reducer decides; workers carry its orders out, list what they run, and take
all of it along when they crash. Some jobs have a task that crashes each worker that starts it.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from heatherkeel.dispatch.const import LEASE_MS, LIVES_INTERVAL_MS, TICK_MS, WATCH_WAIT_MS
from heatherkeel.dispatch.events import LivesListed, StartTask, StopAnswered, StopTask
from heatherkeel.dispatch.models import Job, JobState, Run, RunState
from heatherkeel.platform.errors import Failure
from heatherkeel.platform.workers import EndedTask, RunningTask

from .partition import Partition, make_entry, make_step

STEP_MS = 10
"""Time between two looks at everything, and from a start to the crash that it causes."""
BACK_MS = 3000
"""How long a machine is away after a crash."""
ENTRY_MS = 2500
"""How long the entry of a crashed worker stands."""
WORKER_CPU = 16_000
TASK_CPU = 1100
TASK_MS = 640


@dataclass(kw_only=True)
class PoolWorker:
    """One life of a worker: what it runs, by task and attempt, with when it began and will end."""

    runs: dict[tuple[str, int], tuple[int, float]] = field(default_factory=dict)
    ends: int = 0
    next_listing_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class PoolOutcome:
    """What became of the jobs."""

    crashing: int
    crashing_failed: int
    crashes: int
    most_crashes: int
    """Of one task."""
    others: int
    others_failed: int
    others_in_time: int


class CrashingPool:
    """Plays the pool for some time, and then until all that can end has ended."""

    def __init__(self, *, seed: int, workers: int = 12, crashing_share: float) -> None:
        self.random = Random(seed)
        self.crashing_share = crashing_share
        self.partition = Partition(workers=workers, cpu=WORKER_CPU, max_failures=3)
        self.began_ms = self.partition.now_ms
        self.alive = {worker_id: PoolWorker() for worker_id in self.partition.entries}
        self.dead: dict[str, int] = {}
        self.returning: list[int] = []
        self.lives = workers
        self.crashing: set[str] = set()
        self.jobs: list[str] = []
        self.doomed: list[str] = []
        self.crashes: Counter[str] = Counter()

    def play(self, *, seconds: float, jobs_a_second: float, rest_s: float = 20.0) -> PoolOutcome:
        """Let jobs come for some seconds; returns what became of them after a rest."""
        partition = self.partition
        next_job_ms = 0.0
        for ms in range(0, round((seconds + rest_s) * 1000), STEP_MS):
            partition.now_ms = self.began_ms + ms
            if next_job_ms <= ms < seconds * 1000:
                self._submit()
                next_job_ms += self.random.expovariate(jobs_a_second / 1000)
            self._carry_out()
            self._crash_doomed(ms)
            self._list(ms)
            self._notice(ms)
            if ms % TICK_MS == 0:
                partition.tick(0)
            if ms % LIVES_INTERVAL_MS == 0:
                alive = frozenset(self.alive)
                partition.apply(LivesListed(**partition.event_times(), worker_ids=alive))
        return self._sum_up()

    def _submit(self) -> None:
        job_id = f"{len(self.jobs):016x}"
        self.jobs.append(job_id)
        if self.random.random() < self.crashing_share:
            self.crashing.add(job_id)
        count = self.random.choice([4, 6, 8])
        step = make_step(count=count, cpu=TASK_CPU, estimated_ms=TASK_MS)
        self.partition.submit(step, job_id=job_id)

    def _carry_out(self) -> None:
        effects, self.partition.effects = self.partition.effects, []
        for effect in effects:
            match effect:
                case StartTask(run=run) if run in run.task.runs and run.state is RunState.PLANNED:
                    self._start(run)
                case StopTask(run=run) if run in run.task.runs and run.worker_id in self.alive:
                    self._end(run.worker_id, run.key(), "stopped")
                    stopped = StopAnswered(**self.partition.event_times(), run=run, error=None)
                    self.partition.apply(stopped)

    def _start(self, run: Run) -> None:
        run.state = RunState.SENT
        worker = self.alive.get(run.worker_id)
        if worker is None:
            self.partition.answer_start(run, Failure.UNKNOWN)
            return
        believed = self.partition.state.workers[run.worker_id]
        lease_ms = believed.clock_at(self.partition.now_ms) + LEASE_MS
        believed.lease_until_ms = max(believed.lease_until_ms, lease_ms)
        now_ms = self.partition.now_ms
        worker.runs[run.key()] = (now_ms, now_ms + TASK_MS * self.random.uniform(0.5, 1.5))
        self.partition.answer_start(run)
        if run.task.step.job.id in self.crashing and run.task.index == 0:
            self.crashes[run.task.name] += 1
            self.doomed.append(run.worker_id)

    def _end(self, worker_id: str, key: tuple[str, int], outcome: str) -> None:
        worker = self.alive[worker_id]
        if worker.runs.pop(key, None) is None:
            return
        worker.ends += 1
        worker.next_listing_ms = 0
        ended = EndedTask(
            number=worker.ends, task=key[0], attempt=key[1], outcome=outcome, saved=""
        )
        self.partition.ends.setdefault(worker_id, []).append(ended)

    def _crash_doomed(self, ms: int) -> None:
        doomed, self.doomed = self.doomed, []
        for worker_id in doomed:
            if self.alive.pop(worker_id, None) is not None:
                self.dead[worker_id] = ms
                self.returning.append(ms + BACK_MS)

    def _list(self, ms: int) -> None:
        now_ms = self.partition.now_ms
        for worker_id, worker in self.alive.items():
            for key, (_, ends_ms) in list(worker.runs.items()):
                if now_ms >= ends_ms:
                    self._end(worker_id, key, "done")
            if ms >= worker.next_listing_ms:
                worker.next_listing_ms = ms + WATCH_WAIT_MS
                rows = [self._show(key, *times) for key, times in worker.runs.items()]
                self.partition.list_runs(worker_id, *rows)
                self.partition.now_ms = now_ms

    def _show(self, key: tuple[str, int], started_ms: int, ends_ms: float) -> RunningTask:
        percent = 100 * (self.partition.now_ms - started_ms) / (ends_ms - started_ms)
        return RunningTask(task=key[0], attempt=key[1], saved="", percent=percent, figure=0.0)

    def _notice(self, ms: int) -> None:
        """Dead workers don't answer, their entries lapse, and their machines come back."""
        for worker_id, died_ms in self.dead.items():
            believed = self.partition.state.workers.get(worker_id)
            if believed is not None and not believed.is_silent:
                self.partition.fail_listing(worker_id)
            if ms >= died_ms + ENTRY_MS and worker_id in self.partition.entries:
                del self.partition.entries[worker_id]
                self.partition.list_workers()
        while self.returning and self.returning[0] <= ms:
            del self.returning[0]
            worker_id = f"w{self.lives}"
            self.lives += 1
            self.alive[worker_id] = PoolWorker()
            self.partition.entries[worker_id] = make_entry(cpu=WORKER_CPU)
            self.partition.list_workers()

    def _sum_up(self) -> PoolOutcome:
        jobs = [self.partition.job(job_id) for job_id in self.jobs]
        others = [job for job in jobs if job.id not in self.crashing]
        failed = [job for job in jobs if job.state is JobState.FAILED]
        in_time = [job for job in others if _is_in_time(job)]
        return PoolOutcome(
            crashing=len(self.crashing),
            crashing_failed=sum(1 for job in failed if job.id in self.crashing),
            crashes=sum(self.crashes.values()),
            most_crashes=max(self.crashes.values(), default=0),
            others=len(others),
            others_failed=sum(1 for job in failed if job.id not in self.crashing),
            others_in_time=len(in_time),
        )


def _is_in_time(job: Job) -> bool:
    if job.state is not JobState.COMPLETE or job.ended_ms is None:
        return False
    return job.ended_ms <= job.due_ms
