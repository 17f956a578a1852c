"""Test harness that applies events to a partition's state and keeps the effects."""

from __future__ import annotations

from typing import Any

import msgspec

from heatherkeel.dispatch import subjects  # noqa: F401
from heatherkeel.dispatch.events import (
    Effect,
    Event,
    JobCanceled,
    JobSubmitted,
    QueuesChanged,
    StartAnswered,
    StartTask,
    StopTask,
    Tick,
    WorkerAnswered,
    WorkerFailed,
    WorkersLeaving,
    WorkersListed,
)
from heatherkeel.dispatch.models import Job, Run, RunState
from heatherkeel.dispatch.reducer import reduce_event
from heatherkeel.dispatch.state import PartitionState
from heatherkeel.dispatch.suspicion import needs_check
from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.operator import Capacity, Queue, WorkerEntry
from heatherkeel.platform.workers import EndedTask, Listing, RunningTask

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"


class Partition:
    """A partition's state with a clock that tests advance and workers that list their runs."""

    def __init__(
        self, *, workers: int = 2, cpu: int = 8000, max_failures: int = 2, token: int = 7
    ) -> None:
        self.state = PartitionState(token=token, lease_ms=6000, status_ms=120_000)
        self.now_ms = 1000
        self.effects: list[Effect] = []
        self.ends: dict[str, list[EndedTask]] = {}
        self.born_ms: dict[str, int] = {}
        """Start times of the current incarnations of restarted workers."""
        queue = Queue(
            name="quotes",
            host="a.example",
            path_prefix="/q/",
            service="portal",
            max_failures=max_failures,
            slack_factor=1.6,
            target_latency_ms=600,
        )
        self.apply(QueuesChanged(**self.event_times(), queues={"quotes": queue}))
        self.entries = {f"w{number}": make_entry(cpu=cpu) for number in range(workers)}
        self.list_workers()
        for worker_id in self.entries:
            self.list_known_runs(worker_id)

    def event_times(self) -> dict[str, Any]:
        """Return the time fields of an event."""
        return {"now_ms": self.now_ms, "wall_ms": self.now_ms}

    def apply(self, event: Event) -> list[Effect]:
        """Reduce one event; keep and return its effects."""
        effects = reduce_event(self.state, event)
        self.effects += effects
        return effects

    def list_workers(self) -> list[Effect]:
        """Apply the current worker entries."""
        return self.apply(WorkersListed(**self.event_times(), entries=dict(self.entries)))

    def submit(self, *steps: StepRequest, job_id: str = JOB, **schedule: int) -> list[Effect]:
        """Submit a job; a schedule holds the fields of a repeated one."""
        return self.apply(
            JobSubmitted(
                **self.event_times(),
                job_id=job_id,
                queue="quotes",
                service="portal",
                request=JobRequest(spec="s", steps=steps, **schedule),
                accepted_wall_ms=self.now_ms,
            )
        )

    def cancel(self, job_id: str = JOB) -> list[Effect]:
        """Cancel a job."""
        return self.apply(JobCanceled(**self.event_times(), job_id=job_id))

    def mark_leaving(self, *worker_ids: str) -> list[Effect]:
        """Report that the machines of these workers are about to be removed."""
        return self.apply(WorkersLeaving(**self.event_times(), worker_ids=frozenset(worker_ids)))

    def tick(self, ms: int) -> list[Effect]:
        """Advance the clock and apply a tick."""
        self.now_ms += ms
        return self.apply(Tick(**self.event_times()))

    def list_known_runs(self, worker_id: str, *, percent: float = 50.0) -> list[Effect]:
        """Let a worker list all runs with an answered start, and its ends."""
        self.now_ms += 10
        worker = self.state.workers[worker_id]
        running = [
            RunningTask(
                task=run.task.name, attempt=run.attempt, saved="", percent=percent, figure=0.0
            )
            for run in worker.runs.values()
            if run.answered_ms is not None
        ]
        listing = self._list(worker_id, running)
        sent_ms = self.now_ms - 5
        return self.apply(
            WorkerAnswered(
                **self.event_times(), worker_id=worker_id, sent_ms=sent_ms, listing=listing
            )
        )

    def list_runs(self, worker_id: str, *running: RunningTask) -> list[Effect]:
        """Let a worker list exactly these runs, and its ends."""
        self.now_ms += 10
        listing = self._list(worker_id, list(running))
        return self.apply(
            WorkerAnswered(
                **self.event_times(), worker_id=worker_id, sent_ms=self.now_ms - 5, listing=listing
            )
        )

    def _list(self, worker_id: str, running: list[RunningTask]) -> Listing:
        born_ms = self.born_ms.get(worker_id)
        clock_ms = self.now_ms + 500_000 if born_ms is None else self.now_ms - born_ms
        ended = self.ends.get(worker_id, [])
        return Listing(clock_ms=clock_ms, born=born_ms or 1, running=running, ended=ended)

    def restart_worker(self, worker_id: str, *, is_listed: bool = True) -> None:
        """Restart a worker under its id; with `is_listed=False` its entry is updated later."""
        self.now_ms += 10
        self.born_ms[worker_id] = self.now_ms
        self.ends[worker_id] = []
        if is_listed:
            self.write_entry(worker_id)

    def write_entry(self, worker_id: str) -> None:
        """Update a worker's entry to its current incarnation."""
        born = self.born_ms.get(worker_id, 1)
        self.entries[worker_id] = msgspec.structs.replace(self.entries[worker_id], born=born)
        self.list_workers()

    def fail_listing(self, worker_id: str, failure: Failure = Failure.UNKNOWN) -> list[Effect]:
        """Apply a failed listing call."""
        error = CallError(failure=failure)
        return self.apply(WorkerFailed(**self.event_times(), worker_id=worker_id, error=error))

    def end_run(self, run: Run, outcome: str = "done", saved: str = "") -> list[Effect]:
        """End a run and let its worker list the end."""
        ends = self.ends.setdefault(run.worker_id, [])
        ends.append(
            EndedTask(
                number=len(ends) + 1,
                task=run.task.name,
                attempt=run.attempt,
                outcome=outcome,
                saved=saved,
            )
        )
        if run.key() in self.state.workers[run.worker_id].runs:
            run.answered_ms = None
        return self.list_known_runs(run.worker_id)

    def end_run_listed(
        self, run: Run, begun_ms: int | None, *, outcome: str = "done", saved: str = ""
    ) -> list[Effect]:
        """End a run that was answered at `begun_ms`, and let its worker list the end."""
        ends = self.ends.setdefault(run.worker_id, [])
        number = len(ends) + 1
        ended = EndedTask(
            number=number, task=run.task.name, attempt=run.attempt, outcome=outcome, saved=saved
        )
        ends.append(ended)
        run.answered_ms = begun_ms
        others = [
            RunningTask(
                task=other.task.name, attempt=other.attempt, saved="", percent=50.0, figure=0.0
            )
            for other in self.state.workers[run.worker_id].runs.values()
            if other is not run
        ]
        return self.list_runs(run.worker_id, *others)

    def answer_start(
        self, run: Run, failure: Failure | None = None, *, detail: str = ""
    ) -> list[Effect]:
        """Apply the answer to a start, or its failure."""
        error = CallError(failure=failure, detail=detail) if failure else None
        return self.apply(StartAnswered(**self.event_times(), run=run, error=error))

    def start_planned_runs(self) -> list[Run]:
        """Answer every planned start with success and return the runs."""
        runs = started_runs(self.effects)
        self.effects = [effect for effect in self.effects if not isinstance(effect, StartTask)]
        for run in runs:
            if run in run.task.runs:
                self.extend_lease(run.worker_id)
                self.answer_start(run)
        return runs

    def send(self, run: Run) -> None:
        """Send a start as a session does, to a worker that answers the check before it."""
        run.is_checked = needs_check(run)
        run.state = RunState.SENT
        run.sent_ms = self.now_ms
        self.extend_lease(run.worker_id)

    def extend_lease(self, worker_id: str) -> None:
        """Record a lease as sent with an order or a listing, as a session does."""
        worker = self.state.workers[worker_id]
        until_ms = worker.clock_at(self.now_ms) + self.state.lease_ms
        worker.lease_until_ms = max(worker.lease_until_ms, until_ms)

    def job(self, job_id: str = JOB) -> Job:
        """Return a job."""
        job = self.state.find_job(job_id)
        assert job is not None
        return job


def make_entry(
    *,
    cpu: int = 8000,
    state: str = "ready",
    rack: str = "r1",
    zone: str = "a",
    born: int = 1,
    service: str = "portal",
) -> WorkerEntry:
    """Return a worker's entry."""
    return WorkerEntry(
        service=service,
        address="10.0.0.1:80",
        zone=zone,
        state=state,
        capacity=Capacity(cpu=cpu, memory_mb=16_000, gpu=0),
        labels=["a", rack],
        born=born,
    )


def make_step(count: int = 1, cpu: int = 2000, **more: object) -> StepRequest:
    """Return a step request."""
    fields: dict[str, object] = {"estimated_ms": 500, "memory_mb": 100} | more
    return StepRequest(count=count, cpu=cpu, **fields)  # type: ignore[arg-type]


def started_runs(effects: list[Effect]) -> list[Run]:
    """Return the runs started by the effects."""
    return [effect.run for effect in effects if isinstance(effect, StartTask)]


def stopped_runs(effects: list[Effect]) -> list[Run]:
    """Return the runs stopped by the effects."""
    return [effect.run for effect in effects if isinstance(effect, StopTask)]
