"""Stateful test: a job fails only if a task really failed, or really ran on crashed workers."""

from __future__ import annotations

from collections import defaultdict
from typing import Final

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heatherkeel.dispatch.const import LEASE_MS
from heatherkeel.dispatch.models import Job, JobState

from .fleet_calls import FleetWorker
from .unreliable_fleet import UnreliableFleet

KINDS: Final = ("chain", "copied", "gang", "large", "plain")
MAX_JOBS: Final = 4
MAX_FAILURES: Final = 2
"""Attempts that may fail, as configured by the test's partition."""
KNOWN_CRASHES: Final = 2
"""Workers that must have crashed under a task for its job to be given up."""


class WitnessedFleet(UnreliableFleet):
    """A fleet that records what really became of each run, whoever has heard of it."""

    def __init__(self) -> None:
        self.failed: dict[str, set[int]] = defaultdict(set)
        """Attempts that ended as failed, by task, or by step for a gang."""
        self.crashed: dict[str, set[int]] = defaultdict(set)
        """Numbers of the crashes under each of these."""
        self.crashes = 0
        super().__init__(reports_born=True)

    def end_worker(self, worker: FleetWorker) -> None:
        """End an incarnation, and record under which tasks it crashed."""
        self.crashes += 1
        for task in worker.runs:
            self.crashed[self.find_unit(task)].add(self.crashes)
        super().end_worker(worker)

    def _end_run(self, worker: FleetWorker, task: str, outcome: str) -> None:
        if outcome == "failed" and task in worker.runs:
            self.failed[self.find_unit(task)].add(worker.runs[task])
        super()._end_run(worker, task, outcome)

    def find_unit(self, task: str) -> str:
        """Return what succeeds or fails as a whole: the step of a gang, or the task itself."""
        job_id, *_ = task.split(".")
        job = self.partition.state.find_job(job_id)
        is_gang = job is not None and any(request.is_gang for request in job.request.steps)
        return task.rpartition(".")[0] if is_gang else task


class FailedVerdicts(RuleBasedStateMachine):
    """An owner and its successors beside workers that fall silent, crash, or fail tasks."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = WitnessedFleet()
        for _ in range(2):
            self.fleet.add_worker()
        self.fleet.apply_entries()
        self.fleet.run_round(ends_runs=False)

    def _pick(self, number: int) -> FleetWorker:
        alive = self.fleet.alive()
        return alive[number % len(alive)]

    def _pick_busy(self, number: int) -> FleetWorker:
        busy = [worker for worker in self.fleet.alive() if worker.runs]
        return busy[number % len(busy)] if busy else self._pick(number)

    @precondition(lambda self: self.fleet.jobs < MAX_JOBS)
    @rule(kind=st.sampled_from(KINDS))
    def submit(self, kind: str) -> None:
        """Submit a job, and start it."""
        self.fleet.submit(kind)
        self.fleet.run_round(ends_runs=False)

    @rule(rounds=st.integers(1, 3), ends_runs=st.booleans())
    def run_undisturbed(self, rounds: int, ends_runs: bool) -> None:
        """Carry out everything for a while, beside faults that last."""
        for _ in range(rounds):
            self.fleet.run_round(ends_runs=ends_runs)

    @rule(count=st.integers(1, 4))
    def store(self, count: int) -> None:
        """Store a part of what isn't stored yet."""
        for _ in range(min(count, len(self.fleet.journal))):
            self.fleet.store_next()

    @rule(how=st.sampled_from(["done", "unanswered", "lost", "late"]))
    def answer_all(self, how: str) -> None:
        """Store everything and send all orders, which are all answered or not."""
        self.fleet.send_all()
        for _ in range(len(self.fleet.calls)):
            if self.fleet.calls:
                self.fleet.answer(0, how)

    @precondition(lambda self: self.fleet.late_calls)
    @rule()
    def deliver_late(self) -> None:
        """Deliver an order on which its owner has given up."""
        self.fleet.deliver_late()

    @rule(number=st.integers(0, 5))
    def fail_task(self, number: int) -> None:
        """Let a run end as failed."""
        running = [(worker, task) for worker in self.fleet.alive() for task in worker.runs]
        if running:
            worker, task = running[number % len(running)]
            self.fleet.end_run(worker, task, "failed")

    @rule(number=st.integers(0, 1), how=st.sampled_from(["done", "unanswered"]))
    def fail_all_runs(self, number: int, how: str) -> None:
        """Let all runs of a worker end as failed, and start their tasks again."""
        worker = self._pick_busy(number)
        for task in list(worker.runs):
            if task in worker.runs:
                self.fleet.end_run(worker, task, "failed")
        self.fleet.list_worker(worker.id)
        self.answer_all(how)

    @rule(number=st.integers(0, 3))
    def list_worker(self, number: int) -> None:
        """List a worker."""
        self.fleet.list_worker(self._pick(number).id)

    @rule(number=st.integers(0, 3))
    def cut_worker(self, number: int) -> None:
        """Cut a worker with tasks off; its machine stays listed, and its tasks run on."""
        self._pick_busy(number).is_dark = True

    @rule(number=st.integers(0, 3))
    def silence_until_lease_expires(self, number: int) -> None:
        """Cut a worker with tasks off until its lease has expired, and connect it again."""
        worker = self._pick_busy(number)
        worker.is_dark = True
        for _ in range(2):
            self.fleet.run_round(ends_runs=False)
            self.fleet.pass_time(LEASE_MS)
        self.fleet.run_round(ends_runs=False)
        worker.is_dark = False

    @rule()
    def connect_all(self) -> None:
        """End all cuts."""
        for worker in self.fleet.alive():
            worker.is_dark = False

    @rule(number=st.integers(0, 3), is_address_reused=st.booleans())
    def crash_worker(self, number: int, is_address_reused: bool) -> None:
        """Crash a worker; another one starts under a new ID."""
        self.fleet.replace_worker(self._pick_busy(number), is_address_reused=is_address_reused)

    @rule(number=st.integers(0, 3))
    def restart_worker(self, number: int) -> None:
        """Crash a worker that starts again under its ID."""
        worker = self._pick_busy(number)
        self.fleet.restart_worker(worker, service=worker.service)
        self.fleet.write_entry(self.fleet.workers[worker.id])

    @rule(number=st.integers(0, 5))
    def remove_entry(self, number: int) -> None:
        """Remove an entry, as the store does while it is away."""
        entries = list(self.fleet.partition.entries)
        if entries:
            self.fleet.remove_entry(entries[number % len(entries)])

    @rule(number=st.integers(0, 3))
    def write_entry(self, number: int) -> None:
        """Write a worker's entry."""
        self.fleet.write_entry(self._pick(number))

    @rule()
    def list_machines(self) -> None:
        """Apply the list of machines, which names those that are up."""
        self.fleet.list_machines()

    @rule(ms=st.sampled_from([50, 400, 1300, 7000]))
    def pass_time(self, ms: int) -> None:
        """Advance the clock."""
        self.fleet.pass_time(ms)

    @rule()
    def take_over(self) -> None:
        """Replace the owner; what isn't stored is lost."""
        self.fleet.take_over()

    @invariant()
    def failed_jobs_have_a_cause(self) -> None:
        """A task of a failed job has failed as often as it may, or crashed two workers."""
        for job in self.fleet.partition.state.finished.values():
            if job.state is JobState.FAILED:
                assert self._has_cause(job), job.id

    def _has_cause(self, job: Job) -> bool:
        prefix = f"{job.id}."
        return any(
            len(attempts) >= MAX_FAILURES
            for unit, attempts in self.fleet.failed.items()
            if unit.startswith(prefix)
        ) or any(
            len(crashes) >= KNOWN_CRASHES
            for unit, crashes in self.fleet.crashed.items()
            if unit.startswith(prefix)
        )


TestFailedVerdicts = FailedVerdicts.TestCase
TestFailedVerdicts.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True
)
