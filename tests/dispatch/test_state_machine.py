"""Stateful test of owners, workers and the store under faults in any order.

Checks the state of the simulated workers, not the owner's view of it.
"""

from __future__ import annotations

from unittest.mock import patch

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heatherkeel.dispatch.const import MIN_UNRESPONSIVE_MS
from heatherkeel.dispatch.events import (
    AcknowledgeEnds,
    Effect,
    Effects,
    EndStored,
    ForgetJob,
    IncarnationsListed,
    ReportEndStored,
    SaveJob,
    StartAnswered,
    StartTask,
    StopAnswered,
    StopTask,
    WorkerAnswered,
)
from heatherkeel.dispatch.jobs import stop_leftover_runs
from heatherkeel.dispatch.models import JobState, Run, RunState
from heatherkeel.dispatch.progress_records import ProgressRecords
from heatherkeel.dispatch.records import (
    PROGRESS_PREFIX,
    REQUEST_PREFIX,
    StoredRequest,
    encode_request,
)
from heatherkeel.dispatch.recovery import read_records, restore_jobs
from heatherkeel.platform import workers as listings
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.workers import Listing, RunningTask

from .partition import Partition, make_entry, make_step
from .simulated_workers import CPU, FIRST_BORN, SentOrder, SimulatedWorker
from .stored_progress import SMALL_RECORD_BYTES, restore_progress_records, store_changed

LEASE_MS = 6000
TASK_CPU = 2000
CRASHING = f"{2:016x}.0.0.0"
"""The first task of the second job crashes its workers."""
MOST_CRASHES = 5
"""Allowed for one task: three crashes and two more starts."""


class DispatchMachine(RuleBasedStateMachine):
    """Two workers with an owner and its successors."""

    def __init__(self) -> None:
        super().__init__()
        self.workers: dict[str, SimulatedWorker] = {}
        self.all_workers: list[SimulatedWorker] = []
        self.incarnations = 0
        self.partition = Partition(workers=0)
        self.partition.state.record_bytes = SMALL_RECORD_BYTES
        self.requests: dict[str, bytes] = {}
        self.work: dict[str, bytes] = {}
        """Stored progress by key; two tasks fill a record."""
        self.progress_records = ProgressRecords()
        self.canceled: set[str] = set()
        """Stored cancellations."""
        self.shown: dict[str, JobState] = {}
        """The last state in which callers were shown each job."""
        self.pending_effects: list[Effect] = []
        self.delayed_orders: list[SentOrder] = []
        self.acknowledged_tasks: set[str] = set()
        self.started_after_done: set[str] = set()
        """Tasks that have started though a live worker still has to list that they are done."""
        self.lapsed_ends: set[tuple[SimulatedWorker, int]] = set()
        """Ends whose worker's lease has run out since, which don't count as taken note of."""
        self.jobs = 0
        self.crashes = 0
        for _ in range(2):
            self._add_worker()
        self._apply_entries()

    # Events and faults.

    def _add_worker(self) -> None:
        self.incarnations += 1
        worker = SimulatedWorker(id=f"w{self.incarnations}", born=FIRST_BORN)
        self.workers[worker.id] = worker
        self.all_workers.append(worker)
        self.partition.entries[worker.id] = make_entry(cpu=CPU, born=worker.born)

    def _apply_entries(self) -> None:
        self._queue_effects(self.partition.list_workers())

    def _queue_effects(self, effects: list[Effect]) -> None:
        self.pending_effects += effects

    @rule(is_repeated=st.booleans())
    def submit(self, is_repeated: bool) -> None:
        """Submit a job."""
        if self.jobs >= 5:
            return
        self.jobs += 1
        job_id = f"{self.jobs:016x}"
        if is_repeated:
            step = make_step(count=1, cpu=TASK_CPU)
            effects = self.partition.submit(step, job_id=job_id, repeat_count=3, interval_ms=500)
        else:
            step = make_step(count=2, cpu=TASK_CPU)
            effects = self.partition.submit(step, job_id=job_id)
        self._queue_effects(effects)
        job = self.partition.job(job_id)
        stored = StoredRequest(
            queue="quotes", service="portal", accepted_wall_ms=1000, request=job.request
        )
        self.requests[job_id] = encode_request(stored)

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(1, 5))
    def cancel(self, number: int) -> None:
        """Cancel a job."""
        job_id = f"{min(number, self.jobs):016x}"
        if self.partition.state.find_job(job_id):
            self.canceled.add(job_id)
            self._queue_effects(self.partition.cancel(job_id))

    @rule()
    def run_undisturbed(self) -> None:
        """Run without faults for a while."""
        for _ in range(2):
            # Bounded, since a stop that can't reach its worker is repeated.
            for _ in range(len(self.pending_effects) + 10):
                if self.pending_effects:
                    self.execute_next_effect("done")
            for number in range(len(self.partition.state.workers)):
                self.list_worker_runs(number, False)
            self.find_dead_workers()

    @precondition(lambda self: self.pending_effects)
    @rule(delivery=st.sampled_from(["done", "unanswered", "lost", "late"]))
    def execute_until_order(self, delivery: str) -> None:
        """Execute effects up to and including the next order."""
        for _ in range(len(self.pending_effects)):
            is_order = isinstance(self.pending_effects[0], StartTask | StopTask)
            self.execute_next_effect(delivery)
            if is_order:
                return

    def execute_next_effect(self, delivery: str) -> None:
        """Execute the next effect."""
        effect = self.pending_effects.pop(0)
        match effect:
            case SaveJob():
                job = self.partition.state.find_job(effect.job_id)
                if job is not None:
                    store_changed(self.progress_records, job, self.work)
            case ForgetJob(only_request=True):
                self.requests.pop(effect.job_id, None)
                self.canceled.discard(effect.job_id)
            case ReportEndStored():
                stored = EndStored(**self.partition.event_times(), job=effect.job)
                self._queue_effects(self.partition.apply(stored))
            case AcknowledgeEnds():
                effect.worker.last_stored_end = max(effect.worker.last_stored_end, effect.number)
            case StartTask():
                self._execute_start(effect, delivery)
            case StopTask():
                self._execute_stop(effect, delivery)

    def _extend_lease(self, worker_id: str) -> int:
        worker = self.partition.state.workers[worker_id]
        until_ms = worker.clock_at(self.partition.now_ms) + LEASE_MS
        worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        return until_ms

    def _execute_start(self, effect: StartTask, delivery: str) -> None:
        run = effect.run
        if run not in run.task.runs or run.state is not RunState.PLANNED:
            return
        run.state = RunState.SENT
        until_ms = self._extend_lease(run.worker_id)
        order = self._make_order(run, "start", until_ms)
        error = self._send(order, delivery)
        answered = StartAnswered(**self.partition.event_times(), run=run, error=error)
        self._queue_effects(self.partition.apply(answered))

    def _execute_stop(self, effect: StopTask, delivery: str) -> None:
        run = effect.run
        if run not in run.task.runs:
            return
        order = self._make_order(run, "stop", 0)
        error = self._send(order, delivery)
        answered = StopAnswered(**self.partition.event_times(), run=run, error=error)
        self._queue_effects(self.partition.apply(answered))

    def _make_order(self, run: Run, kind: str, until_ms: int) -> SentOrder:
        return SentOrder(
            worker_id=run.worker_id,
            kind=kind,
            task=run.task.name,
            attempt=run.attempt,
            token=self.partition.state.token,
            until_ms=until_ms,
            worker=self.workers[run.worker_id],
            cpu=self.workers[run.worker_id].known_cpu,
        )

    def _send(self, order: SentOrder, delivery: str) -> CallError | None:
        worker = order.worker
        if not worker.is_alive:
            return CallError(failure=Failure.REFUSED)
        if delivery == "late":
            self.delayed_orders.append(order)
        if delivery in ("lost", "late"):
            return CallError(failure=Failure.UNKNOWN)
        reason = self._deliver(order)
        if delivery == "unanswered":
            return CallError(failure=Failure.UNKNOWN)
        if not reason:
            return None
        failure = Failure.FENCED if reason == "fence" else Failure.RESERVED
        return CallError(failure=failure, detail=reason)

    def _deliver(self, order: SentOrder) -> str:
        worker = order.worker
        now_ms = worker.clock(self.partition.now_ms)
        if order.kind == "stop":
            return worker.stop(order.task, order.attempt, order.token)
        was_running = order.task in worker.runs
        reason = worker.start(order.task, order.attempt, order.token, order.until_ms, now_ms)
        if not reason and not was_running:
            assert (
                order.task not in self.acknowledged_tasks
            ), f"{order.task} starts after its end was acknowledged"
            self.no_task_runs_twice()
            if self._is_done_on_a_worker(order.task):
                self.started_after_done.add(order.task)
            assert len(worker.runs) * TASK_CPU <= max(worker.known_cpu, order.cpu), worker
            if order.task == CRASHING:
                self.crashes += 1
                self._kill(worker)
        return reason

    def _is_done_on_a_worker(self, task: str) -> bool:
        """Return whether a live worker has a done end of a task to list, under a valid lease."""
        return any(
            ended.task == task
            and ended.outcome == "done"
            and (worker, ended.number) not in self.lapsed_ends
            for worker in self.workers.values()
            if worker.is_alive
            for ended in worker.ended
        )

    @precondition(lambda self: self.delayed_orders)
    @rule()
    def deliver_delayed_order(self) -> None:
        """Deliver an order on which the owner has given up."""
        order = self.delayed_orders.pop(0)
        if order.worker.is_alive:
            self._deliver(order)

    @rule(number=st.integers(0, 3), fails=st.booleans())
    def end_task(self, number: int, fails: bool) -> None:
        """End a task on its worker."""
        running = [(w, task) for w in self.workers.values() if w.is_alive for task in w.runs]
        if running:
            worker, task = running[number % len(running)]
            worker.end(task, "failed" if fails and number == 3 else "done")

    @precondition(lambda self: any(worker.runs for worker in self.workers.values()))
    @rule()
    def end_all_tasks(self) -> None:
        """End all tasks at once, so that a worker has several ends to list."""
        for worker in self.workers.values():
            for task in list(worker.runs):
                worker.end(task, "done")

    @rule(number=st.integers(0, 5), is_unreachable=st.booleans())
    def list_worker_runs(self, number: int, is_unreachable: bool) -> None:
        """List a worker's runs, or fail to reach it."""
        known_workers = [w for w in self.partition.state.workers.values() if w.id in self.workers]
        if not known_workers:
            return
        known_worker = known_workers[number % len(known_workers)]
        worker = self.workers[known_worker.id]
        if is_unreachable or not worker.is_alive:
            self._queue_effects(self.partition.fail_listing(worker.id))
            return
        if self.partition.state.token < worker.token:
            return
        worker.token = self.partition.state.token
        if known_worker.is_ready():
            worker.lease_until_ms = max(worker.lease_until_ms, self._extend_lease(worker.id))
        acknowledged = known_worker.to_acknowledge(self.partition.now_ms)
        self._acknowledge_ends(worker, acknowledged)
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
            ended=worker.ended[: listings.MAX_LISTED_ENDS],
        )
        answered = WorkerAnswered(
            **self.partition.event_times(),
            worker_id=worker.id,
            sent_ms=sent_ms,
            listing=listing,
            acknowledged=acknowledged,
        )
        self._queue_effects(self.partition.apply(answered))

    def _acknowledge_ends(self, worker: SimulatedWorker, acknowledged: int) -> None:
        """Let a worker forget its ends, including later ones, up to a number."""
        worker.acknowledged = max(worker.acknowledged, acknowledged)
        for ended in worker.ended:
            if ended.number <= worker.acknowledged and ended.outcome == "done":
                self.acknowledged_tasks.add(ended.task)
                assert (
                    ended.task not in self.started_after_done
                    or (worker, ended.number) in self.lapsed_ends
                ), f"{ended.task} has started after an end that is taken note of"
        worker.ended = [ended for ended in worker.ended if ended.number > worker.acknowledged]

    @rule(ms=st.sampled_from([50, 400, 1300, 7000]))
    def pass_time(self, ms: int) -> None:
        """Advance the clock."""
        self._queue_effects(self.partition.tick(ms))
        for worker in self.workers.values():
            now_ms = worker.clock(self.partition.now_ms)
            worker.expire_lease(now_ms)
            if now_ms > worker.lease_until_ms:
                self.lapsed_ends.update((worker, ended.number) for ended in worker.ended)

    @precondition(lambda self: any(worker.runs for worker in self.workers.values()))
    @rule(number=st.integers(0, 1))
    def kill_worker(self, number: int) -> None:
        """Kill a worker with all its runs and start a new one on its machine."""
        alive = [worker for worker in self.workers.values() if worker.is_alive]
        self._kill(alive[number % len(alive)])

    @rule(number=st.integers(0, 1), cpu=st.sampled_from([0, TASK_CPU, CPU]))
    def resize_worker(self, number: int, cpu: int) -> None:
        """Change a worker's capacity and its entry."""
        alive = [worker for worker in self.workers.values() if worker.is_alive]
        worker = alive[number % len(alive)]
        worker.cpu = cpu
        self._write_entry(worker)

    @rule(number=st.integers(0, 1), cpu=st.sampled_from([TASK_CPU, CPU]))
    def restart_worker(self, number: int, cpu: int) -> None:
        """Restart a worker under its id; its entry is updated later."""
        alive = [worker for worker in self.workers.values() if worker.is_alive]
        earlier = alive[number % len(alive)]
        earlier.is_alive = False
        earlier.runs.clear()
        self.partition.now_ms += 10
        later = SimulatedWorker(
            id=earlier.id, born=self.partition.now_ms, cpu=cpu, known_cpu=earlier.known_cpu
        )
        self.workers[later.id] = later
        self.all_workers.append(later)

    @rule(number=st.integers(0, 1))
    def write_entry(self, number: int) -> None:
        """Update a worker's entry."""
        alive = [worker for worker in self.workers.values() if worker.is_alive]
        self._write_entry(alive[number % len(alive)])

    def _write_entry(self, worker: SimulatedWorker) -> None:
        worker.known_cpu = worker.cpu
        self.partition.entries[worker.id] = make_entry(cpu=worker.cpu, born=worker.born)
        self._apply_entries()

    def _kill(self, worker: SimulatedWorker) -> None:
        worker.is_alive = False
        worker.runs.clear()
        worker.ended.clear()
        del self.partition.entries[worker.id]
        self._add_worker()
        self._apply_entries()

    @rule()
    def list_machines(self) -> None:
        """Apply the list of machines."""
        alive = frozenset(worker.id for worker in self.workers.values() if worker.is_alive)
        self._queue_effects(
            self.partition.apply(
                IncarnationsListed(**self.partition.event_times(), worker_ids=alive)
            )
        )

    @rule()
    def find_dead_workers(self) -> None:
        """Fail the listings of dead workers until they are dropped."""
        dead = [worker for worker in self.workers.values() if not worker.is_alive]
        known = [worker for worker in dead if worker.id in self.partition.state.workers]
        if not known:
            return
        for worker in known:
            self._queue_effects(self.partition.fail_listing(worker.id))
        self.pass_time(MIN_UNRESPONSIVE_MS)
        self.list_machines()

    @precondition(lambda self: self.jobs)
    @rule()
    def take_over(self) -> None:
        """Replace the owner; its pending effects are lost."""
        earlier = self.partition
        later = Partition(workers=0)
        later.state.token = earlier.state.token + 1
        later.now_ms = later.state.now_ms = later.state.wall_ms = earlier.now_ms + 10
        later.entries = earlier.entries
        self.partition = later
        self.pending_effects = []
        self._apply_entries()
        requests = {f"{REQUEST_PREFIX}{job_id}": value for job_id, value in self.requests.items()}
        records = [
            KeyedRecord(key=key, value=value, offset=offset)
            for offset, (key, value) in enumerate((requests | self.work).items())
        ]
        stored = read_records(records)
        self.progress_records = restore_progress_records(stored)
        later.state.record_bytes = SMALL_RECORD_BYTES
        restore_jobs(later.state, stored)
        for job_id, request in stored.requests.items():
            if job_id not in stored.progress:
                asked = request.request
                effects = later.submit(
                    *asked.steps,
                    job_id=job_id,
                    repeat_count=asked.repeat_count,
                    interval_ms=asked.interval_ms,
                )
                self._queue_effects(effects)
        leftovers = Effects()
        stop_leftover_runs(later.state, leftovers)
        self._queue_effects(leftovers.items)
        for job_id in sorted(self.canceled):
            self._queue_effects(later.cancel(job_id))

    # Invariants.

    @invariant()
    def no_end_that_was_shown_is_taken_back(self) -> None:
        """A job that callers were shown as ended stays so under every later owner."""
        stored = {key.removeprefix(PROGRESS_PREFIX) for key in self.work}
        for job_id in list(self.requests.keys() | stored):
            job = self.partition.state.find_job(job_id)
            if job is None:
                continue
            state = job.state_for_callers()
            before = self.shown.get(job_id, state)
            assert not before.is_final() or state is before, f"{job_id} was shown as {before}"
            self.shown[job_id] = state

    @invariant()
    def no_task_runs_twice(self) -> None:
        """No task runs on two live workers."""
        running = [task for worker in self.all_workers if worker.is_alive for task in worker.runs]
        assert len(running) == len(set(running)), running

    @invariant()
    def no_worker_exceeds_its_largest_capacity(self) -> None:
        """No worker runs more than its largest capacity allows."""
        for worker in self.all_workers:
            assert len(worker.runs) * TASK_CPU <= CPU, worker

    @invariant()
    def crashing_task_is_given_up(self) -> None:
        """A task that crashes its workers crashes a bounded number of them."""
        assert self.crashes <= MOST_CRASHES

    @invariant()
    def complete_jobs_have_only_done_steps(self) -> None:
        """A job is complete only when each of its tasks is done."""
        for job in self.partition.state.finished.values():
            if job.state == "complete":
                assert all(step.is_done() for step in job.steps())


class CutListingsMachine(DispatchMachine):
    """The same with workers that list one end at a time."""

    def __init__(self) -> None:
        self.limit = patch.object(listings, "MAX_LISTED_ENDS", 1)
        self.limit.start()
        super().__init__()

    def teardown(self) -> None:
        """Restore the limit."""
        self.limit.stop()


TestDispatch = DispatchMachine.TestCase
TestDispatchWithCutListings = CutListingsMachine.TestCase
TestDispatchWithCutListings.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None, derandomize=True
)
TestDispatch.settings = settings(
    max_examples=400, stateful_step_count=50, deadline=None, derandomize=True
)
