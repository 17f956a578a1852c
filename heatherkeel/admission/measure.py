"""Measures the backlog of a partition's pools."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from itertools import islice

from heatherkeel.dispatch.const import ESTIMATE_SLACK
from heatherkeel.dispatch.models import Step
from heatherkeel.dispatch.open_steps import Urgency, find_urgency, find_worthless_ms
from heatherkeel.dispatch.state import PartitionState, Pool
from heatherkeel.dispatch.worker import Worker

from .const import (
    GROWTH_WINDOW_MS,
    MAX_MEASURE_GAP_MS,
    MAX_STEPS_MEASURED,
    MEASURE_INTERVAL_MS,
    OVERLOAD_MS,
)
from .models import PoolBacklog, path_class, size_class, until_bucket


@dataclass(kw_only=True, slots=True)
class PoolHistory:
    """How a pool's cores and its overload have developed while they were measured."""

    cores: deque[tuple[int, float]] = field(default_factory=deque)
    """Time of each measurement in the window, and the cores at that time."""
    overloaded_since_ms: int | None = None

    def record(self, now_ms: int, *, cores: float, is_overloaded: bool) -> None:
        """Record a measurement; after a gap it isn't known what was in between."""
        if self.cores and now_ms - self.cores[-1][0] > MAX_MEASURE_GAP_MS:
            self.cores.clear()
            self.overloaded_since_ms = None
        self.cores.append((now_ms, cores))
        while now_ms - self.cores[0][0] > GROWTH_WINDOW_MS:
            self.cores.popleft()
        if not is_overloaded:
            self.overloaded_since_ms = None
        elif self.overloaded_since_ms is None:
            self.overloaded_since_ms = now_ms

    def growth(self) -> float:
        """Return the cores that were gained each second of the window; 0 if any were lost."""
        gained = self.cores[-1][1] - self.cores[0][1]
        return max(0.0, gained * 1000 / GROWTH_WINDOW_MS)

    def overload_ms(self, now_ms: int) -> int:
        """Return for how long the pool has been overloaded."""
        return 0 if self.overloaded_since_ms is None else now_ms - self.overloaded_since_ms


@dataclass(kw_only=True, slots=True)
class BacklogMeter:
    """Measures pools when asked, and keeps a measurement for a short time."""

    state: PartitionState
    measured: dict[str, PoolBacklog] = field(default_factory=dict)
    histories: dict[str, PoolHistory] = field(default_factory=dict)

    def measure(self, service: str, *, now_ms: int) -> PoolBacklog:
        """Return the backlog of a service's pool, measured a short time ago at most."""
        known = self.measured.get(service)
        if known is not None and now_ms - known.measured_ms < MEASURE_INTERVAL_MS:
            return known
        pool = self.state.pools.get(service)
        if pool is None:
            return PoolBacklog(measured_ms=now_ms)
        backlog = self.measured[service] = self._measure(pool, now_ms)
        return backlog

    def _measure(self, pool: Pool, now_ms: int) -> PoolBacklog:
        cores = sum(map(_count_cores, pool.workers.values()))
        waiting = _WaitingWork(now_ms=now_ms)
        for step in islice(pool.open_steps.unlimited(), MAX_STEPS_MEASURED):
            waiting.add(step)
        history = self.histories.setdefault(pool.service, PoolHistory())
        is_overloaded = sum(waiting.live.values()) > OVERLOAD_MS * cores
        history.record(now_ms, cores=cores, is_overloaded=is_overloaded)
        return PoolBacklog(
            measured_ms=now_ms,
            cores=cores,
            growth=history.growth(),
            running=sum(_work_left(worker, now_ms) for worker in pool.workers.values()),
            in_time=waiting.in_time,
            live=waiting.live,
            excess=waiting.excess,
            limited=_sum_limited(pool),
            lasted_ms=history.overload_ms(now_ms),
        )


@dataclass(kw_only=True, slots=True)
class _WaitingWork:
    """Adds up the work of waiting steps."""

    now_ms: int
    in_time: dict[tuple[int, int], float] = field(default_factory=dict)
    live: dict[tuple[int, int], float] = field(default_factory=dict)
    excess: dict[tuple[int, int], float] = field(default_factory=dict)

    def add(self, step: Step) -> None:
        """Add a step, unless it is worth nothing or never ends."""
        urgency = find_urgency(step, self.now_ms)
        work = _waiting_work(step)
        path_ms = step.job.due_ms - step.latest_start_ms
        worthless = (path_class(path_ms), until_bucket(find_worthless_ms(step) - self.now_ms))
        if urgency is Urgency.EXCESS:
            _increase(self.excess, worthless, work)
        elif urgency in (Urgency.IN_TIME, Urgency.OVER_PART, Urgency.LATE):
            _increase(self.live, worthless, work)
        if urgency is Urgency.IN_TIME:
            late_ms = step.latest_start_ms + ESTIMATE_SLACK * path_ms
            late = (size_class(step.work), until_bucket(late_ms - self.now_ms))
            _increase(self.in_time, late, work)


def _waiting_work(step: Step) -> float:
    """Return the work of a step's waiting tasks.

    Later steps of its job don't count: they begin only after it, and leave room meanwhile.
    """
    request = step.request
    cpu = 0 if request.fills else request.cpu
    return len(step.waiting()) * cpu * step.task_ms() / 1000


def _increase(sums: dict[tuple[int, int], float], key: tuple[int, int], work: float) -> None:
    sums[key] = sums.get(key, 0.0) + work


def _count_cores(worker: Worker) -> float:
    """Return a worker's cores for jobs that end, also if it doesn't respond at the moment."""
    if not worker.is_listed or worker.is_leaving or worker.entry.is_draining():
        return 0.0
    lasting = sum(
        run.task.step.request.cpu
        for run in worker.runs.values()
        if run.task.step.request.lasts and not run.task.step.request.fills
    )
    return max(0, worker.entry.capacity.cpu - lasting) / 1000


def _work_left(worker: Worker, now_ms: int) -> float:
    """Return the expected work left of a worker's running tasks, in core-milliseconds."""
    left = 0.0
    for run in worker.runs.values():
        request = run.task.step.request
        if not request.lasts and not request.fills:
            left_ms = run.task.step.task_ms() - max(0, now_ms - run.started_ms)
            left += max(0, left_ms) * request.cpu / 1000
    return left


def _sum_limited(pool: Pool) -> dict[str, float]:
    return {
        workspace: sum(_waiting_work(entry[-1]) for entry in islice(entries, MAX_STEPS_MEASURED))
        for workspace, entries in pool.open_steps.limited.items()
    }
