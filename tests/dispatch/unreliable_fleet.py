"""One owner's partition beside workers, a journal and sessions that fail in every documented way.

Unlike `simulated_workers`, effects aren't carried out at once: what isn't stored yet, what is
queued for a session and what a worker hasn't answered are lost with their owner or session.
"""

from __future__ import annotations

from typing import Final

from heatherkeel.dispatch.const import MIN_UNRESPONSIVE_MS, TICK_MS
from heatherkeel.dispatch.events import (
    AcknowledgeEnds,
    Effect,
    Effects,
    ForgetJob,
    GrantsOffered,
    IncarnationsListed,
    JobCanceled,
    JobSubmitted,
    LimitsChanged,
    SaveJob,
    StartAnswered,
    StartTask,
    StopAnswered,
    StopTask,
    Tick,
    WorkerAnswered,
)
from heatherkeel.dispatch.jobs import stop_leftover_runs
from heatherkeel.dispatch.models import Job, RunState
from heatherkeel.dispatch.progress_records import ProgressRecords
from heatherkeel.dispatch.records import (
    CANCEL_PREFIX,
    PROGRESS_PREFIX,
    REQUEST_PREFIX,
    StoredRequest,
    encode_request,
    make_caller_key,
)
from heatherkeel.dispatch.recovery import read_records, restore_jobs
from heatherkeel.dispatch.worker import Worker
from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.operator import WorkerEntry
from heatherkeel.platform.workers import Listing, RunningTask
from heatherkeel.workspaces.amounts import Amount
from heatherkeel.workspaces.messages import Grant, GrantOffer

from .fleet_calls import Call, FleetWorker, ListingCall
from .partition import Partition, make_entry, make_step
from .simulated_workers import CPU
from .stored_progress import SMALL_RECORD_BYTES, restore_progress_records, store_changed

LEASE_MS: Final = 6000
WORKSPACE: Final = "desk"
LIMIT: Final = Amount(2000, 0)
GANG_TIMEOUT_MS: Final = 3000

JOBS: Final[dict[str, tuple[StepRequest, ...]]] = {
    "plain": (make_step(count=2, cpu=2000),),
    "chain": (make_step(count=2, cpu=1000), make_step(count=1, cpu=2000, depends_on=(0,))),
    "gang": (make_step(count=2, cpu=2000, is_gang=True),),
    "lasting": (make_step(count=1, cpu=1000, lasts=True),),
    "copied": (make_step(count=1, cpu=1000, may_copy=True),),
    "large": (make_step(count=1, cpu=CPU),),
    WORKSPACE: (make_step(count=2, cpu=1000, saves=True),),
}
"""Steps by kind of job; the last kind belongs to a workspace with a limit."""


class UnreliableFleet:
    """Two workers and an owner, with everything that is in flight between them."""

    def __init__(self, *, reports_born: bool) -> None:
        self.reports_born = reports_born
        self.partition = Partition(workers=0)
        self.workers: dict[str, FleetWorker] = {}
        self.names = 0
        self.jobs = 0
        self.records: dict[str, bytes] = {}
        """Stored records by key."""
        self.progress_records = ProgressRecords()
        self.partition.state.record_bytes = SMALL_RECORD_BYTES
        self.journal: list[Effect] = []
        self.queue: list[tuple[Worker, Effect]] = []
        self.held: dict[str, list[Effect]] = {}
        """Orders for workers without a session."""
        self.calls: list[Call] = []
        self.listings: list[ListingCall] = []
        self.late_calls: list[Call] = []
        self.offers = 0
        self._configure_limits()
        for _ in range(2):
            self.add_worker()
        self.apply_entries()

    # What the owner's process does with effects.

    def carry_out(self, effects: list[Effect]) -> None:
        """Queue effects as an owner does: some at once, others behind the journal."""
        for effect in effects:
            if isinstance(effect, StopTask) and not effect.once_stored:
                self._queue_order(effect)
            elif isinstance(effect, SaveJob | ForgetJob | StartTask | StopTask | AcknowledgeEnds):
                self.journal.append(effect)
        self._update_sessions()

    def store_next(self) -> None:
        """Store the first effect of the journal, or pass on what waited for that."""
        effect = self.journal.pop(0)
        match effect:
            case SaveJob():
                job = self.partition.state.find_job(effect.job_id)
                if job is not None:
                    store_changed(self.progress_records, job, self.records)
            case ForgetJob(only_request=True):
                for prefix in (REQUEST_PREFIX, CANCEL_PREFIX):
                    key = make_caller_key(prefix, effect.job_id, effect.workspace)
                    self.records.pop(key, None)
            case ForgetJob():
                self.records.pop(f"{PROGRESS_PREFIX}{effect.job_id}", None)
                for record in self.progress_records.list_deletions(effect.job_id):
                    self.records.pop(record.key, None)
            case AcknowledgeEnds():
                if self.is_current(effect.worker):
                    stored = max(effect.worker.last_stored_end, effect.number)
                    effect.worker.last_stored_end = stored
            case StartTask() | StopTask():
                self._queue_order(effect)

    def _queue_order(self, effect: Effect) -> None:
        assert isinstance(effect, StartTask | StopTask)
        worker = self.partition.state.workers.get(effect.run.worker_id)
        if worker is not None and worker.entry.address:
            self.queue.append((worker, effect))
        else:
            self.held.setdefault(effect.run.worker_id, []).append(effect)

    def _update_sessions(self) -> None:
        """Close the sessions of replaced and dropped incarnations, and open those of new ones."""
        self.queue = [item for item in self.queue if self.is_current(item[0])]
        self.calls = [call for call in self.calls if self._is_answerable(call)]
        self.listings = [call for call in self.listings if self.is_current(call.worker)]
        workers = self.partition.state.workers
        for worker_id in list(self.held):
            worker = workers.get(worker_id)
            if worker is None:
                del self.held[worker_id]
            elif worker.entry.address:
                self.queue += [(worker, effect) for effect in self.held.pop(worker_id)]

    def is_current(self, worker: Worker) -> bool:
        """Return whether an incarnation still has its session."""
        return self.partition.state.workers.get(worker.id) is worker

    def _is_answerable(self, call: Call) -> bool:
        if self.is_current(call.worker):
            return True
        if not call.delivered:
            self.late_calls.append(call)
        return False

    def send_next(self, number: int) -> None:
        """Send one of the first two queued orders; a session sends two at a time."""
        worker, effect = self.queue.pop(number % min(2, len(self.queue)))
        assert isinstance(effect, StartTask | StopTask)
        run = effect.run
        is_start = isinstance(effect, StartTask)
        if run not in run.task.runs or (is_start and run.state is not RunState.PLANNED):
            return
        if is_start:
            run.state = RunState.SENT
        self.calls.append(
            Call(
                worker=worker,
                target=self.workers[worker.id],
                run=run,
                is_start=is_start,
                token=self.partition.state.token,
                until_ms=self._extend_lease(worker) if is_start else 0,
            )
        )

    def send_all(self) -> None:
        """Store everything, and send all orders that are queued by then."""
        while self.journal:
            self.store_next()
        for _ in range(len(self.queue)):
            if self.queue:
                self.send_next(0)

    def _extend_lease(self, worker: Worker) -> int:
        until_ms = worker.clock_at(self.partition.now_ms) + LEASE_MS
        worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        return until_ms

    def deliver(self, call: Call) -> None:
        """Let a worker carry out an order, if it is reachable."""
        target = call.target
        if call.delivered or not target.is_alive or target.is_dark:
            return
        call.delivered = True
        now_ms = target.clock(self.partition.now_ms)
        task, attempt = call.run.task.name, call.run.attempt
        if call.is_start:
            call.reason = target.start(task, attempt, call.token, call.until_ms, now_ms)
            target.begun_ms.setdefault(task, self.partition.now_ms)
        else:
            was_running = task in target.runs
            call.reason = target.stop(task, attempt, call.token)
            if was_running and task not in target.runs:
                self._break_gang(task)

    def answer(self, number: int, how: str) -> None:
        """Let an order in flight be answered, or time out."""
        call = self.calls.pop(number % len(self.calls))
        error: CallError | None = None
        if not call.target.is_alive:
            reused = call.target.is_address_reused
            error = CallError(failure=Failure.OTHER_INSTANCE if reused else Failure.REFUSED)
        elif call.target.is_dark or how in ("lost", "late"):
            if how == "late" and not call.delivered:
                self.late_calls.append(call)
            error = CallError(failure=Failure.UNKNOWN)
        else:
            self.deliver(call)
            if how == "unanswered":
                error = CallError(failure=Failure.UNKNOWN)
            elif call.reason:
                failure = Failure.FENCED if call.reason == "fence" else Failure.RESERVED
                error = CallError(failure=failure, detail=call.reason)
        kind = StartAnswered if call.is_start else StopAnswered
        self._apply(kind(**self.partition.event_times(), run=call.run, error=error))

    def deliver_late(self) -> None:
        """Deliver the first order on which its owner has given up."""
        self.deliver(self.late_calls.pop(0))

    def _apply(self, event: object) -> None:
        self.carry_out(self.partition.apply(event))  # type: ignore[arg-type]

    # Listings.

    def request_listing(self, worker: Worker) -> None:
        """Let a session list a worker; what it lists is received by `receive_listing`."""
        target = self.workers.get(worker.id)
        if target is None or not worker.entry.address:
            return
        is_renewed = worker.is_ready() and not worker.is_unresponsive
        until_ms = self._extend_lease(worker) if is_renewed else 0
        if not target.is_alive:
            reused = target.is_address_reused
            failure = Failure.OTHER_INSTANCE if reused else Failure.REFUSED
            self.carry_out(self.partition.fail_listing(worker.id, failure))
            return
        if target.is_dark or target.token > self.partition.state.token:
            self.carry_out(self.partition.fail_listing(worker.id))
            return
        target.token = self.partition.state.token
        target.lease_until_ms = max(target.lease_until_ms, until_ms)
        acknowledged = worker.to_acknowledge(self.partition.now_ms)
        target.acknowledged = max(target.acknowledged, acknowledged)
        target.ended = [ended for ended in target.ended if ended.number > target.acknowledged]
        sent_ms = self.partition.now_ms
        self.partition.now_ms += 10
        self.listings.append(
            ListingCall(
                worker=worker,
                sent_ms=sent_ms,
                listing=self._make_listing(target),
                acknowledged=acknowledged,
            )
        )

    def _make_listing(self, target: FleetWorker) -> Listing:
        rows = [
            RunningTask(
                task=task,
                attempt=attempt,
                saved="",
                percent=min(100.0, (self.partition.now_ms - target.begun_ms[task]) / 100),
                figure=0,
            )
            for task, attempt in target.runs.items()
        ]
        return Listing(
            clock_ms=target.clock(self.partition.now_ms),
            born=target.born if self.reports_born else 0,
            running=rows,
            ended=list(target.ended),
        )

    def receive_listing(self, number: int, *, is_lost: bool = False) -> None:
        """Receive a listing, or none in time."""
        call = self.listings.pop(number % len(self.listings))
        if is_lost:
            self.carry_out(self.partition.fail_listing(call.worker.id))
            return
        self._apply(
            WorkerAnswered(
                **self.partition.event_times(),
                worker_id=call.worker.id,
                sent_ms=call.sent_ms,
                listing=call.listing,
                acknowledged=call.acknowledged,
            )
        )

    def list_worker(self, worker_id: str) -> None:
        """List a worker, with the answer at once."""
        worker = self.partition.state.workers.get(worker_id)
        if worker is None or any(call.worker is worker for call in self.listings):
            return
        self.request_listing(worker)
        if self.listings and self.listings[-1].worker is worker:
            self.receive_listing(len(self.listings) - 1)

    def list_machines(self) -> None:
        """Apply the list of machines."""
        named = {w.id for w in self.workers.values() if w.is_alive and w.is_named}
        event = IncarnationsListed(**self.partition.event_times(), worker_ids=frozenset(named))
        self._apply(event)

    # Callers.

    def submit(self, kind: str) -> None:
        """Store and submit a job."""
        self.jobs += 1
        job_id = f"{self.jobs:016x}"
        workspace = kind if kind == WORKSPACE else ""
        request = JobRequest(spec="s", steps=JOBS[kind])
        stored = StoredRequest(
            queue="quotes",
            service="portal",
            accepted_wall_ms=self.partition.now_ms,
            workspace=workspace,
            request=request,
        )
        key = make_caller_key(REQUEST_PREFIX, job_id, workspace)
        self.records[key] = encode_request(stored)
        self._submit_stored(job_id, stored)

    def _submit_stored(self, job_id: str, stored: StoredRequest) -> None:
        self._apply(
            JobSubmitted(
                **self.partition.event_times(),
                job_id=job_id,
                queue=stored.queue,
                service=stored.service,
                request=stored.request,
                accepted_wall_ms=stored.accepted_wall_ms,
                workspace=stored.workspace,
            )
        )

    def cancel(self, job: Job) -> None:
        """Store and apply a cancellation."""
        self.records[make_caller_key(CANCEL_PREFIX, job.id, job.workspace)] = b"{}"
        self._cancel_stored(job.id, job.workspace)

    def _cancel_stored(self, job_id: str, workspace: str) -> None:
        event = JobCanceled(**self.partition.event_times(), job_id=job_id, workspace=workspace)
        self._apply(event)

    def _configure_limits(self) -> None:
        event = LimitsChanged(**self.partition.event_times(), limits={WORKSPACE: LIMIT})
        self._apply(event)

    def grant(self, amount: Amount = LIMIT) -> None:
        """Grant the workspace a part of its limit."""
        self.offers += 1
        offer = GrantOffer(
            lender=1,
            sequence=self.offers,
            owner=self.partition.state.token,
            since=0,
            grants=[Grant(workspace=WORKSPACE, granted=amount, limit=LIMIT)],
        )
        self._apply(GrantsOffered(**self.partition.event_times(), offer=offer))

    # Workers and their entries.

    def alive(self) -> list[FleetWorker]:
        """Return the incarnations that run."""
        return [worker for worker in self.workers.values() if worker.is_alive]

    def add_worker(self) -> FleetWorker:
        """Add a worker under a new ID."""
        self.names += 1
        worker = FleetWorker(id=f"w{self.names}", born=self.partition.now_ms)
        self.workers[worker.id] = worker
        self.partition.entries[worker.id] = self.make_entry(worker)
        return worker

    def make_entry(self, worker: FleetWorker) -> WorkerEntry:
        """Return the entry that a worker writes."""
        born = worker.born if self.reports_born else 0
        entry = make_entry(cpu=worker.cpu, born=born)
        return WorkerEntry(
            service=worker.service,
            address=entry.address,
            zone=entry.zone,
            capacity=entry.capacity,
            labels=entry.labels,
            born=entry.born,
        )

    def apply_entries(self) -> None:
        """Apply the entries in the store."""
        self.carry_out(self.partition.list_workers())

    def end_worker(self, worker: FleetWorker) -> None:
        """End an incarnation and all that runs there."""
        worker.is_alive = False
        for task in list(worker.runs):
            self._end_run(worker, task, "lapsed")
        worker.ended.clear()

    def replace_worker(self, worker: FleetWorker, *, is_address_reused: bool) -> None:
        """End an incarnation, and start another one under a new ID."""
        self.end_worker(worker)
        worker.is_address_reused = is_address_reused
        self.add_worker()
        self.apply_entries()

    def restart_worker(self, worker: FleetWorker, *, service: str) -> None:
        """Restart a worker under its ID; its entry is written later."""
        self.end_worker(worker)
        self.partition.now_ms += 10
        later = FleetWorker(id=worker.id, born=self.partition.now_ms, service=service)
        self.workers[worker.id] = later

    def remove_entry(self, worker_id: str) -> None:
        """Remove an entry, as the store does after a while without heartbeats."""
        self.partition.entries.pop(worker_id, None)
        self.apply_entries()

    def write_entry(self, worker: FleetWorker) -> None:
        """Let a worker write its entry."""
        self.partition.entries[worker.id] = self.make_entry(worker)
        self.apply_entries()

    def end_run(self, worker: FleetWorker, task: str, outcome: str) -> None:
        """End a run, and those of its gang with it."""
        gang = self._find_gang(task)
        if gang is not None and outcome == "done":
            for other, member in gang:
                self._end_run(other, member, "done")
            return
        self._end_run(worker, task, outcome)

    def _end_run(self, worker: FleetWorker, task: str, outcome: str) -> None:
        if task in worker.runs:
            worker.begun_ms.pop(task, None)
            worker.end(task, outcome)
            self._break_gang(task)

    def _break_gang(self, task: str) -> None:
        for worker, member in self._find_gang(task) or []:
            if member in worker.runs:
                worker.begun_ms.pop(member, None)
                worker.end(member, "broken")

    def _find_gang(self, task: str) -> list[tuple[FleetWorker, str]] | None:
        """Return the running members of a task's gang; None if it belongs to none."""
        step = task.rpartition(".")[0]
        job = self.partition.state.find_job(step.split(".", 1)[0])
        if job is None or not any(request.is_gang for request in job.request.steps):
            return None
        return [
            (worker, member)
            for worker in self.alive()
            for member in worker.runs
            if member.rpartition(".")[0] == step
        ]

    def pass_time(self, ms: int, *, tick: Tick | None = None) -> None:
        """Advance the clock, with a tick."""
        self.partition.now_ms += ms
        self._apply(tick or Tick(**self.partition.event_times()))
        for worker in self.alive():
            if worker.clock(self.partition.now_ms) > worker.lease_until_ms:
                for task in list(worker.runs):
                    self._end_run(worker, task, "lapsed")
            for task in list(worker.runs):
                gang = self._find_gang(task)
                waited_ms = self.partition.now_ms - worker.begun_ms.get(task, 0)
                if gang is not None and len(gang) < 2 and waited_ms > GANG_TIMEOUT_MS:
                    self._end_run(worker, task, "alone")

    # Owners.

    def take_over(self) -> None:
        """Replace the owner; all that it hasn't stored, and all that is queued, is lost."""
        earlier = self.partition
        later = Partition(workers=0, token=earlier.state.token + 1)
        later.now_ms = later.state.now_ms = later.state.wall_ms = earlier.now_ms + 10
        later.entries = earlier.entries
        self.late_calls += [call for call in self.calls if not call.delivered]
        self.journal, self.queue, self.held, self.calls, self.listings = [], [], {}, [], []
        self.partition = later
        self._configure_limits()
        self.apply_entries()
        stored = read_records(
            [
                KeyedRecord(key=key, value=value, offset=offset)
                for offset, (key, value) in enumerate(self.records.items())
            ]
        )
        self.progress_records = restore_progress_records(stored)
        later.state.record_bytes = SMALL_RECORD_BYTES
        restore_jobs(later.state, stored)
        for job_id, request in stored.requests.items():
            if job_id not in stored.progress:
                self._submit_stored(job_id, request)
        effects = Effects()
        stop_leftover_runs(later.state, effects)
        self.carry_out(effects.items)
        for job_id, workspace in stored.canceled.items():
            self._cancel_stored(job_id, workspace)

    # Recovery.

    def end_faults(self, *, ends_cuts: bool) -> None:
        """Let workers be listed and, with `ends_cuts`, answer; deliver all that is late."""
        for worker in self.workers.values():
            worker.is_dark = worker.is_dark and not ends_cuts
            worker.is_named = True
            if worker.is_alive:
                self.partition.entries[worker.id] = self.make_entry(worker)
            else:
                self.partition.entries.pop(worker.id, None)
        self.apply_entries()
        while self.late_calls:
            self.deliver_late()

    def run_round(self, *, ends_runs: bool) -> None:
        """Carry out everything without a fault, and list each worker."""
        self.send_all()
        while self.calls:
            self.answer(0, "done")
        while self.listings:
            self.receive_listing(0)
        for worker_id in list(self.partition.state.workers):
            self.list_worker(worker_id)
        if ends_runs:
            for worker in self.alive():
                for task in list(worker.runs):
                    if task in worker.runs and not self._lasts(task):
                        self.end_run(worker, task, "done")
        self.pass_time(TICK_MS)

    def _lasts(self, task: str) -> bool:
        job = self.partition.state.find_job(task.split(".", 1)[0])
        return job is not None and any(request.lasts for request in job.request.steps)

    def recover(self, *, rounds: int, ends_cuts: bool) -> None:
        """Run without faults for a while, in which all tasks that don't last end.

        Without `ends_cuts`, workers that are cut off stay so; the list of machines names them.
        """
        self.end_faults(ends_cuts=ends_cuts)
        for number in range(rounds):
            self.run_round(ends_runs=number % 5 == 4)
            if number % 5 == 0:
                self.grant()
                if self._has_unresponsive():
                    self.list_machines()

    def _has_unresponsive(self) -> bool:
        workers = self.partition.state.workers.values()
        return any(
            worker.is_unresponsive
            and worker.runs
            and self.partition.now_ms - worker.unresponsive_since_ms >= MIN_UNRESPONSIVE_MS
            for worker in workers
        )
