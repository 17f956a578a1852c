"""Measures the decision loop of a partition's owner: microseconds an event, by size.

`script/measure dispatching` prints one line of JSON for each size. A job comes, its tasks are
started and answered, their ends are listed, and the next one takes their room, while a number of
other jobs waits in a full pool. All times are of one process on one core, without any I/O.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from time import perf_counter
from typing import Any, Final

import msgspec
from absl import flags

from heatherkeel.dispatch import subjects  # noqa: F401
from heatherkeel.dispatch.events import (
    Effect,
    JobSubmitted,
    QueuesChanged,
    StartAnswered,
    StartTask,
    WorkerAnswered,
    WorkersListed,
)
from heatherkeel.dispatch.models import Run
from heatherkeel.dispatch.reducer import reduce_event
from heatherkeel.dispatch.state import PartitionState
from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.platform.operator import Capacity, Queue, WorkerEntry
from heatherkeel.platform.workers import EndedTask, Listing, RunningTask

from .registry import measurement

SERVICE: Final = "portal"
TASKS: Final = 6
ROUNDS: Final = 400


@dataclass(frozen=True, kw_only=True, slots=True)
class Size:
    """A pool's workers, and the jobs that wait there."""

    name: str
    workers: int
    waiting: int


SIZES: Final = (
    Size(name="today", workers=6, waiting=0),
    Size(name="today, a turn", workers=12, waiting=100),
    Size(name="grown, a turn", workers=44, waiting=400),
    Size(name="design, mean pool", workers=35, waiting=500),
    Size(name="design, ten times", workers=355, waiting=5000),
)


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the result; `us` are microseconds of wall time an event."""

    size: str
    workers: int
    waiting_jobs: int
    submit_us: float
    answer_us: float
    listing_us: float


class Bench:
    """A partition that is kept full."""

    def __init__(self, size: Size) -> None:
        self.now_ms = 1000
        self.jobs = 0
        self.numbers: dict[str, int] = {}
        self.planned: list[Run] = []
        self.spent: dict[type, list[float]] = {}
        self.state = PartitionState(token=1, lease_ms=6000, status_ms=1000)
        queue = Queue(name="q", host="h", path_prefix="/", service=SERVICE, slack_factor=3.0)
        self.give(QueuesChanged(**self.at(), queues={"q": queue}))
        entry = WorkerEntry(
            service=SERVICE,
            address="",
            capacity=Capacity(cpu=64_000, memory_mb=262_144),
            labels=["a", "r1"],
        )
        entries = {f"w{number}": entry for number in range(size.workers)}
        self.give(WorkersListed(**self.at(), entries=entries))
        for worker_id in entries:
            self.list_ends(worker_id, [])
        full = size.workers * 64_000 // (TASKS * 3_500)
        for _ in range(size.waiting + (full if size.waiting else 0)):
            self.submit()

    def at(self) -> dict[str, Any]:
        """Return the times of an event."""
        return {"now_ms": self.now_ms, "wall_ms": self.now_ms}

    def give(self, event: Any) -> list[Effect]:
        """Reduce one event, and note how long it took."""
        began = perf_counter()
        effects = reduce_event(self.state, event)
        self.spent.setdefault(type(event), []).append(perf_counter() - began)
        self.planned += [effect.run for effect in effects if isinstance(effect, StartTask)]
        return effects

    def submit(self) -> None:
        """Submit a job of some tasks."""
        self.jobs += 1
        step = StepRequest(count=TASKS, cpu=3_500, memory_mb=7_000, estimated_ms=640)
        self.give(
            JobSubmitted(
                **self.at(),
                job_id=f"{self.jobs:016x}",
                queue="q",
                service=SERVICE,
                request=JobRequest(spec="s", steps=(step,)),
                accepted_wall_ms=self.now_ms,
            )
        )

    def list_ends(self, worker_id: str, ends: list[Run]) -> None:
        """Let a worker list all that it runs, and some ends."""
        self.now_ms += 1
        worker = self.state.workers[worker_id]
        gone = {run.key() for run in ends}
        rows = [
            RunningTask(task=key[0], attempt=key[1], saved="", percent=50, figure=0)
            for key in worker.runs
            if key not in gone
        ]
        ended = []
        for run in ends:
            self.numbers[worker_id] = self.numbers.get(worker_id, 0) + 1
            ended.append(
                EndedTask(
                    number=self.numbers[worker_id],
                    task=run.task.name,
                    attempt=run.attempt,
                    outcome="done",
                    saved="",
                )
            )
        self.give(
            WorkerAnswered(
                **self.at(),
                worker_id=worker_id,
                sent_ms=0,
                listing=Listing(clock_ms=self.now_ms, running=rows, ended=ended),
            )
        )

    def run_round(self) -> None:
        """Submit a job, answer all starts, and let one task end."""
        self.submit()
        planned, self.planned = self.planned, []
        for run in planned:
            self.give(StartAnswered(**self.at(), run=run, error=None))
        for run in planned[:TASKS]:
            self.list_ends(run.worker_id, [run])


def measure(size: Size) -> Measured:
    """Measure one size."""
    bench = Bench(size)
    bench.spent.clear()
    for _ in range(ROUNDS):
        bench.run_round()

    def mean_us(kind: type) -> float:
        spent = bench.spent.get(kind, [])
        return round(1e6 * sum(spent) / max(1, len(spent)), 1)

    return Measured(
        size=size.name,
        workers=size.workers,
        waiting_jobs=size.waiting,
        submit_us=mean_us(JobSubmitted),
        answer_us=mean_us(StartAnswered),
        listing_us=mean_us(WorkerAnswered),
    )


@measurement(
    "dispatching",
    help="Microseconds an event of a partition's owner, by workers and waiting jobs.",
    define=lambda values: None,
)
def run_dispatching(values: flags.FlagValues) -> int:
    """Measure every size."""
    for size in SIZES:
        sys.stdout.write(msgspec.json.encode(measure(size)).decode() + "\n")
        sys.stdout.flush()
    return 0
