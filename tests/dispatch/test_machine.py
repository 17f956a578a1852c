"""Owners, workers and the store in any order of events: no task twice, no room exceeded.

The reducer's effects are carried out one by one, or lost with their owner. Orders are answered, or
not; carried out, or not, or later; workers end tasks, fall silent, die and lose their leases. What
real workers do is checked, not what the owner believes. One job's first task crashes each worker
that starts it, and workers' rooms shrink and grow: one counts as soon as its entry tells of it.
Workers also start again under their ids, which their listings tell, and later their entries.
"""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heatherkeel.dispatch.const import SILENT_MS
from heatherkeel.dispatch.events import (
    AcknowledgeEnds,
    Effect,
    Effects,
    ForgetJob,
    LivesListed,
    SaveJob,
    StartAnswered,
    StartTask,
    StopAnswered,
    StopTask,
    WorkerAnswered,
)
from heatherkeel.dispatch.jobs import stop_leftovers
from heatherkeel.dispatch.models import Run, RunState
from heatherkeel.dispatch.records import (
    PROGRESS_PREFIX,
    REQUEST_PREFIX,
    StoredRequest,
    encode_progress,
    encode_request,
)
from heatherkeel.dispatch.recovery import read_records, restore_jobs
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.workers import Listing, RunningTask

from .partition import Partition, make_entry, make_step
from .real_workers import CPU, FIRST_BORN, LateOrder, RealWorker

LEASE_MS = 6000
TASK_CPU = 2000
CRASHING = f"{2:016x}.0.0.0"
"""The task that crashes workers, of the second job."""
MOST_CRASHES = 5
"""Three workers may crash under a task, and it may be started twice more after that."""


class DispatchMachine(RuleBasedStateMachine):
    """Two workers, an owner and its successors."""

    def __init__(self) -> None:
        super().__init__()
        self.workers: dict[str, RealWorker] = {}
        self.everyone: list[RealWorker] = []
        self.lives = 0
        self.partition = Partition(workers=0)
        self.requests: dict[str, bytes] = {}
        self.progress: dict[str, bytes] = {}
        self.waiting: list[Effect] = []
        self.late: list[LateOrder] = []
        self.noted: set[str] = set()
        self.jobs = 0
        self.crashes = 0
        for _ in range(2):
            self._add_worker()
        self._list()

    # What happens to the fleet.

    def _add_worker(self) -> None:
        self.lives += 1
        worker = RealWorker(id=f"w{self.lives}", born=FIRST_BORN)
        self.workers[worker.id] = worker
        self.everyone.append(worker)
        self.partition.entries[worker.id] = make_entry(cpu=CPU, born=worker.born)

    def _list(self) -> None:
        self._collect(self.partition.list_workers())

    def _collect(self, effects: list[Effect]) -> None:
        self.waiting += effects

    @rule()
    def submit(self) -> None:
        """A job comes."""
        if self.jobs >= 5:
            return
        self.jobs += 1
        job_id = f"{self.jobs:016x}"
        step = make_step(count=2, cpu=TASK_CPU)
        self._collect(self.partition.submit(step, job_id=job_id))
        job = self.partition.job(job_id)
        stored = StoredRequest(
            queue="quotes", service="portal", accepted_wall_ms=1000, request=job.request
        )
        self.requests[job_id] = encode_request(stored)

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(1, 5))
    def cancel(self, number: int) -> None:
        """A job is canceled."""
        job_id = f"{min(number, self.jobs):016x}"
        if self.partition.state.find_job(job_id):
            self._collect(self.partition.cancel(job_id))

    @rule()
    def work_on(self) -> None:
        """Everything goes well for a while."""
        for _ in range(2):
            # Bounded: a stop that can't reach its worker is sent again and again.
            for _ in range(len(self.waiting) + 10):
                if self.waiting:
                    self.perform("done")
            for number in range(len(self.partition.state.workers)):
                self.hold(number, False)
            self.find_dead_workers()

    @precondition(lambda self: self.waiting)
    @rule(fate=st.sampled_from(["done", "unanswered", "lost", "late"]))
    def perform_some(self, fate: str) -> None:
        """The owner's process carries out its effects up to the next order."""
        for _ in range(len(self.waiting)):
            is_order = isinstance(self.waiting[0], StartTask | StopTask)
            self.perform(fate)
            if is_order:
                return

    def perform(self, fate: str) -> None:
        """Carry out the next effect."""
        effect = self.waiting.pop(0)
        match effect:
            case SaveJob():
                job = self.partition.state.find_job(effect.job_id)
                if job is not None:
                    self.progress[job.id] = encode_progress(job)
            case ForgetJob(only_request=True):
                self.requests.pop(effect.job_id, None)
            case AcknowledgeEnds():
                effect.worker.last_stored_end = max(effect.worker.last_stored_end, effect.number)
            case StartTask():
                self._perform_start(effect, fate)
            case StopTask():
                self._perform_stop(effect, fate)

    def _lease(self, worker_id: str) -> int:
        worker = self.partition.state.workers[worker_id]
        until_ms = worker.clock_at(self.partition.now_ms) + LEASE_MS
        worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        return until_ms

    def _perform_start(self, effect: StartTask, fate: str) -> None:
        run = effect.run
        if run not in run.task.runs or run.state is not RunState.PLANNED:
            return
        run.state = RunState.SENT
        until_ms = self._lease(run.worker_id)
        order = self._make_order(run, "start", until_ms)
        error = self._send(order, fate)
        answered = StartAnswered(**self.partition.at(), run=run, error=error)
        self._collect(self.partition.give(answered))

    def _perform_stop(self, effect: StopTask, fate: str) -> None:
        run = effect.run
        if run not in run.task.runs:
            return
        order = self._make_order(run, "stop", 0)
        error = self._send(order, fate)
        answered = StopAnswered(**self.partition.at(), run=run, error=error)
        self._collect(self.partition.give(answered))

    def _make_order(self, run: Run, kind: str, until_ms: int) -> LateOrder:
        return LateOrder(
            worker_id=run.worker_id,
            kind=kind,
            task=run.task.name,
            attempt=run.attempt,
            token=self.partition.state.token,
            until_ms=until_ms,
            worker=self.workers[run.worker_id],
            cpu=self.workers[run.worker_id].known_cpu,
        )

    def _send(self, order: LateOrder, fate: str) -> CallError | None:
        worker = order.worker
        if not worker.is_alive:
            return CallError(failure=Failure.REFUSED)
        if fate == "late":
            self.late.append(order)
        if fate in ("lost", "late"):
            return CallError(failure=Failure.UNKNOWN)
        reason = self._carry_out(order)
        if fate == "unanswered":
            return CallError(failure=Failure.UNKNOWN)
        if not reason:
            return None
        failure = Failure.FENCED if reason == "fence" else Failure.RESERVED
        return CallError(failure=failure, detail=reason)

    def _carry_out(self, order: LateOrder) -> str:
        worker = order.worker
        now_ms = worker.clock(self.partition.now_ms)
        if order.kind == "stop":
            return worker.stop(order.task, order.attempt, order.token)
        was_running = order.task in worker.runs
        reason = worker.start(order.task, order.attempt, order.token, order.until_ms, now_ms)
        if not reason and not was_running:
            assert order.task not in self.noted, f"{order.task} starts after its end was noted"
            self.no_task_runs_twice()
            assert len(worker.runs) * TASK_CPU <= max(worker.known_cpu, order.cpu), worker
            if order.task == CRASHING:
                self.crashes += 1
                self._kill(worker)
        return reason

    @precondition(lambda self: self.late)
    @rule()
    def carry_out_late(self) -> None:
        """An order that was given up is carried out."""
        order = self.late.pop(0)
        if order.worker.is_alive:
            self._carry_out(order)

    @rule(number=st.integers(0, 3), fails=st.booleans())
    def end_task(self, number: int, fails: bool) -> None:
        """A task ends at its worker."""
        running = [(w, task) for w in self.workers.values() if w.is_alive for task in w.runs]
        if running:
            worker, task = running[number % len(running)]
            worker.end(task, "failed" if fails and number == 3 else "done")

    @rule(number=st.integers(0, 5), is_unresponsive=st.booleans())
    def hold(self, number: int, is_unresponsive: bool) -> None:
        """The owner lists a worker's tasks, or doesn't reach it."""
        known = [w for w in self.partition.state.workers.values() if w.id in self.workers]
        if not known:
            return
        believed = known[number % len(known)]
        worker = self.workers[believed.id]
        if is_unresponsive or not worker.is_alive:
            self._collect(self.partition.fail(worker.id))
            return
        if self.partition.state.token < worker.token:
            return
        worker.token = self.partition.state.token
        if believed.is_ready():
            worker.lease_until_ms = max(worker.lease_until_ms, self._lease(worker.id))
        acknowledged = believed.to_acknowledge(self.partition.now_ms)
        self._note_ends(worker, acknowledged)
        sent_ms = self.partition.now_ms
        self.partition.now_ms += 10
        rows = [
            RunningTask(
                task=task, attempt=attempt, saved="", percent=self.partition.now_ms, figure=0
            )
            for task, attempt in worker.runs.items()
        ]
        listing = Listing(
            clock_ms=worker.clock(self.partition.now_ms),
            born=worker.born,
            running=rows,
            ended=list(worker.ended),
        )
        answered = WorkerAnswered(
            **self.partition.at(),
            worker_id=worker.id,
            sent_ms=sent_ms,
            listing=listing,
            acknowledged=acknowledged,
        )
        self._collect(self.partition.give(answered))

    def _note_ends(self, worker: RealWorker, acknowledged: int) -> None:
        """Let a worker forget ends up to a number, also such as come later."""
        worker.acknowledged = max(worker.acknowledged, acknowledged)
        for ended in worker.ended:
            if ended.number <= worker.acknowledged and ended.outcome == "done":
                self.noted.add(ended.task)
        worker.ended = [ended for ended in worker.ended if ended.number > worker.acknowledged]

    @rule(ms=st.sampled_from([50, 400, 1300, 7000]))
    def pass_time(self, ms: int) -> None:
        """Some time passes."""
        self._collect(self.partition.tick(ms))
        for worker in self.workers.values():
            worker.look(worker.clock(self.partition.now_ms))

    @precondition(lambda self: any(worker.runs for worker in self.workers.values()))
    @rule(number=st.integers(0, 1))
    def kill_worker(self, number: int) -> None:
        """A worker dies with all that it ran, and a new life begins on its machine."""
        alive = [worker for worker in self.workers.values() if worker.is_alive]
        self._kill(alive[number % len(alive)])

    @rule(number=st.integers(0, 1), cpu=st.sampled_from([0, TASK_CPU, CPU]))
    def resize_worker(self, number: int, cpu: int) -> None:
        """A worker's room changes, and its entry tells of it."""
        alive = [worker for worker in self.workers.values() if worker.is_alive]
        worker = alive[number % len(alive)]
        worker.cpu = cpu
        self._write_entry(worker)

    @rule(number=st.integers(0, 1), cpu=st.sampled_from([TASK_CPU, CPU]))
    def restart_worker(self, number: int, cpu: int) -> None:
        """A worker starts again under its id; its entry tells of it later."""
        alive = [worker for worker in self.workers.values() if worker.is_alive]
        earlier = alive[number % len(alive)]
        earlier.is_alive = False
        earlier.runs.clear()
        self.partition.now_ms += 10
        later = RealWorker(
            id=earlier.id, born=self.partition.now_ms, cpu=cpu, known_cpu=earlier.known_cpu
        )
        self.workers[later.id] = later
        self.everyone.append(later)

    @rule(number=st.integers(0, 1))
    def write_entry(self, number: int) -> None:
        """A worker writes its entry."""
        alive = [worker for worker in self.workers.values() if worker.is_alive]
        self._write_entry(alive[number % len(alive)])

    def _write_entry(self, worker: RealWorker) -> None:
        worker.known_cpu = worker.cpu
        self.partition.entries[worker.id] = make_entry(cpu=worker.cpu, born=worker.born)
        self._list()

    def _kill(self, worker: RealWorker) -> None:
        worker.is_alive = False
        worker.runs.clear()
        worker.ended.clear()
        del self.partition.entries[worker.id]
        self._add_worker()
        self._list()

    @rule()
    def list_lives(self) -> None:
        """The list of machines is read."""
        alive = frozenset(worker.id for worker in self.workers.values() if worker.is_alive)
        self._collect(self.partition.give(LivesListed(**self.partition.at(), worker_ids=alive)))

    @rule()
    def find_dead_workers(self) -> None:
        """Dead workers don't answer, and the list of machines doesn't name them any more."""
        dead = [worker for worker in self.workers.values() if not worker.is_alive]
        known = [worker for worker in dead if worker.id in self.partition.state.workers]
        if not known:
            return
        for worker in known:
            self._collect(self.partition.fail(worker.id))
        self.pass_time(SILENT_MS)
        self.list_lives()

    @precondition(lambda self: self.jobs)
    @rule()
    def take_over(self) -> None:
        """The owner dies, with all that it hasn't carried out, and another takes over."""
        earlier = self.partition
        later = Partition(workers=0)
        later.state.token = earlier.state.token + 1
        later.now_ms = later.state.now_ms = later.state.wall_ms = earlier.now_ms + 10
        later.entries = earlier.entries
        self.partition = later
        self.waiting = []
        self._list()
        records = [
            KeyedRecord(key=f"{prefix}{job_id}", value=value, offset=offset)
            for offset, (prefix, job_id, value) in enumerate(
                [(REQUEST_PREFIX, *item) for item in self.requests.items()]
                + [(PROGRESS_PREFIX, *item) for item in self.progress.items()]
            )
        ]
        stored = read_records(records)
        restore_jobs(later.state, stored)
        for job_id, request in stored.requests.items():
            if job_id not in stored.progress:
                self._collect(later.submit(*request.request.steps, job_id=job_id))
        effects = Effects()
        stop_leftovers(later.state, effects)
        self._collect(effects.items)

    # What must hold.

    @invariant()
    def no_task_runs_twice(self) -> None:
        """No task runs on two workers that are up."""
        running = [task for worker in self.everyone if worker.is_alive for task in worker.runs]
        assert len(running) == len(set(running)), running

    @invariant()
    def no_worker_is_over_its_largest_room(self) -> None:
        """No worker runs more than it ever had room for."""
        for worker in self.everyone:
            assert len(worker.runs) * TASK_CPU <= CPU, worker

    @invariant()
    def crashing_task_is_given_up(self) -> None:
        """A task that crashes its workers takes down a bounded number of them."""
        assert self.crashes <= MOST_CRASHES

    @invariant()
    def complete_means_done(self) -> None:
        """A job is complete only when each of its tasks is done."""
        for job in self.partition.state.finished.values():
            if job.state == "complete":
                assert all(step.is_done() for step in job.steps())


TestDispatch = DispatchMachine.TestCase
TestDispatch.settings = settings(
    max_examples=400, stateful_step_count=50, deadline=None, derandomize=True
)
