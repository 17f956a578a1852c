"""Simulation of a pool in which some jobs have a task that crashes each worker that starts it.

Crashed workers lose their runs, and their machines return as new workers.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from heatherkeel.dispatch.const import LEASE_MS, MACHINE_LIST_INTERVAL_MS, TICK_MS, WATCH_WAIT_MS
from heatherkeel.dispatch.events import IncarnationsListed, StartTask, StopAnswered, StopTask
from heatherkeel.dispatch.models import Job, JobState, Run, RunState
from heatherkeel.platform.errors import Failure
from heatherkeel.platform.workers import EndedTask, RunningTask

from .partition import Partition, make_entry, make_step

SELF_CRASH_MS = (1500, 2500)
"""Time between two moments at which workers crash by themselves, in milliseconds."""
SELF_CRASH_FRACTION = 1 / 3
"""Fraction of the workers that then crash."""
STEP_MS = 10
"""Simulation step, and delay between a start and the crash that it causes, in milliseconds."""
RETURN_DELAY_MS = 3000
"""Downtime of a machine after a crash, in milliseconds."""
ENTRY_TTL_MS = 2500
"""Time until the entry of a crashed worker expires, in milliseconds."""
WORKER_CPU = 16_000
TASK_CPU = 1100
TASK_MS = 640


@dataclass(kw_only=True)
class PoolWorker:
    """Incarnation of a worker, with the start and end times of its runs by task and attempt."""

    runs: dict[tuple[str, int], tuple[int, float]] = field(default_factory=dict)
    ends: int = 0
    next_listing_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class PoolResults:
    """Counts of jobs and crashes in a simulation."""

    crashing: int
    crashing_failed: int
    crashes: int
    most_crashes: int
    """Most crashes caused by one task."""
    others: int
    others_failed: int
    others_in_time: int


class CrashingPool:
    """Simulates the pool with arriving jobs, then without until the jobs have ended."""

    def __init__(
        self,
        *,
        seed: int,
        workers: int = 12,
        crashing_fraction: float,
        has_self_crashes: bool = False,
    ) -> None:
        self.random = Random(seed)
        self.has_self_crashes = has_self_crashes
        self.self_crash_ms = 0
        self.crashing_fraction = crashing_fraction
        self.partition = Partition(workers=workers, cpu=WORKER_CPU, max_failures=3)
        self.start_ms = self.partition.now_ms
        self.alive = {worker_id: PoolWorker() for worker_id in self.partition.entries}
        self.dead: dict[str, int] = {}
        self.returning: list[int] = []
        self.incarnations = workers
        self.crashing: set[str] = set()
        self.jobs: list[str] = []
        self.crashing_workers: list[str] = []
        self.crashes: Counter[str] = Counter()

    def run(self, *, seconds: float, jobs_per_second: float, settle_s: float = 20.0) -> PoolResults:
        """Submit jobs for some seconds, let the pool settle and return the results."""
        partition = self.partition
        next_job_ms = 0.0
        for ms in range(0, round((seconds + settle_s) * 1000), STEP_MS):
            partition.now_ms = self.start_ms + ms
            if next_job_ms <= ms < seconds * 1000:
                self._submit()
                next_job_ms += self.random.expovariate(jobs_per_second / 1000)
            self._execute_effects()
            if self.has_self_crashes and ms < seconds * 1000:
                self._crash_by_themselves(ms)
            self._crash_workers(ms)
            self._list_runs(ms)
            self._update_dead_workers(ms)
            if ms % TICK_MS == 0:
                partition.tick(0)
            if ms % MACHINE_LIST_INTERVAL_MS == 0:
                alive = frozenset(self.alive)
                partition.apply(IncarnationsListed(**partition.event_times(), worker_ids=alive))
        return self._collect_results()

    def _submit(self) -> None:
        job_id = f"{len(self.jobs):016x}"
        self.jobs.append(job_id)
        if self.random.random() < self.crashing_fraction:
            self.crashing.add(job_id)
        count = self.random.choice([4, 6, 8])
        step = make_step(count=count, cpu=TASK_CPU, estimated_ms=TASK_MS)
        self.partition.submit(step, job_id=job_id)

    def _execute_effects(self) -> None:
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
        known = self.partition.state.workers[run.worker_id]
        lease_ms = known.clock_at(self.partition.now_ms) + LEASE_MS
        known.lease_until_ms = max(known.lease_until_ms, lease_ms)
        now_ms = self.partition.now_ms
        worker.runs[run.key()] = (now_ms, now_ms + TASK_MS * self.random.uniform(0.5, 1.5))
        self.partition.answer_start(run)
        if run.task.step.job.id in self.crashing and run.task.index == 0:
            self.crashes[run.task.name] += 1
            self.crashing_workers.append(run.worker_id)

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

    def _crash_by_themselves(self, ms: int) -> None:
        if ms < self.self_crash_ms:
            return
        self.self_crash_ms = ms + self.random.randint(*SELF_CRASH_MS)
        count = round(len(self.alive) * SELF_CRASH_FRACTION)
        self.crashing_workers += self.random.sample(sorted(self.alive), count)

    def _crash_workers(self, ms: int) -> None:
        worker_ids, self.crashing_workers = self.crashing_workers, []
        for worker_id in worker_ids:
            if self.alive.pop(worker_id, None) is not None:
                self.dead[worker_id] = ms
                self.returning.append(ms + RETURN_DELAY_MS)

    def _list_runs(self, ms: int) -> None:
        now_ms = self.partition.now_ms
        for worker_id, worker in self.alive.items():
            for key, (_, ends_ms) in list(worker.runs.items()):
                if now_ms >= ends_ms:
                    self._end(worker_id, key, "done")
            if ms >= worker.next_listing_ms:
                worker.next_listing_ms = ms + WATCH_WAIT_MS
                rows = [self._make_row(key, *times) for key, times in worker.runs.items()]
                self.partition.list_runs(worker_id, *rows)
                self.partition.now_ms = now_ms

    def _make_row(self, key: tuple[str, int], started_ms: int, ends_ms: float) -> RunningTask:
        percent = 100 * (self.partition.now_ms - started_ms) / (ends_ms - started_ms)
        return RunningTask(task=key[0], attempt=key[1], saved="", percent=percent, figure=0.0)

    def _update_dead_workers(self, ms: int) -> None:
        """Fail listings of dead workers, expire their entries and return their machines."""
        for worker_id, died_ms in self.dead.items():
            known = self.partition.state.workers.get(worker_id)
            if known is not None and not known.is_unresponsive:
                self.partition.fail_listing(worker_id)
            if ms >= died_ms + ENTRY_TTL_MS and worker_id in self.partition.entries:
                del self.partition.entries[worker_id]
                self.partition.list_workers()
        while self.returning and self.returning[0] <= ms:
            del self.returning[0]
            worker_id = f"w{self.incarnations}"
            self.incarnations += 1
            self.alive[worker_id] = PoolWorker()
            self.partition.entries[worker_id] = make_entry(cpu=WORKER_CPU)
            self.partition.list_workers()

    def _collect_results(self) -> PoolResults:
        jobs = [self.partition.job(job_id) for job_id in self.jobs]
        others = [job for job in jobs if job.id not in self.crashing]
        failed = [job for job in jobs if job.state is JobState.FAILED]
        in_time = [job for job in others if _is_in_time(job)]
        return PoolResults(
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
