"""Stateful test: each task that may be started waits for room, or what settles it is on its way."""

from __future__ import annotations

from typing import Final

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heatherkeel.dispatch.const import MIN_UNRESPONSIVE_MS
from heatherkeel.dispatch.events import Tick
from heatherkeel.workspaces.amounts import NOTHING

from .fleet_calls import FleetWorker
from .fleet_checks import (
    find_idle_tasks,
    find_unlisted_steps,
    find_unsettled_runs,
    find_unused_workers,
)
from .unreliable_fleet import JOBS, LIMIT, UnreliableFleet

MAX_JOBS: Final = 5
RECOVERY_ROUNDS: Final = 130
"""Rounds of 100 ms; a task must be started within them once faults have ended."""


class StartableTasks(RuleBasedStateMachine):
    """An owner and its successors beside workers that may be in any kind of trouble."""

    reports_born = True

    def __init__(self) -> None:
        super().__init__()
        self.fleet = UnreliableFleet(reports_born=self.reports_born)
        self.fleet.grant()
        self.fleet.run_round(ends_runs=False)

    def _pick(self, number: int) -> FleetWorker:
        alive = self.fleet.alive()
        return alive[number % len(alive)]

    @precondition(lambda self: self.fleet.jobs < MAX_JOBS)
    @rule(kind=st.sampled_from(sorted(JOBS)))
    def submit(self, kind: str) -> None:
        """Submit a job."""
        self.fleet.submit(kind)

    @precondition(lambda self: self.fleet.partition.state.jobs)
    @rule(number=st.integers(0, 4))
    def cancel(self, number: int) -> None:
        """Cancel a job."""
        jobs = list(self.fleet.partition.state.jobs.values())
        self.fleet.cancel(jobs[number % len(jobs)])

    @precondition(lambda self: self.fleet.journal)
    @rule(count=st.integers(1, 6))
    def store(self, count: int) -> None:
        """Store a part of what isn't stored yet."""
        for _ in range(min(count, len(self.fleet.journal))):
            self.fleet.store_next()

    @precondition(lambda self: self.fleet.queue)
    @rule(number=st.integers(0, 1))
    def send(self, number: int) -> None:
        """Send an order."""
        self.fleet.send_next(number)

    @precondition(lambda self: self.fleet.calls)
    @rule(number=st.integers(0, 3))
    def deliver(self, number: int) -> None:
        """Let a worker carry out an order before it is answered."""
        self.fleet.deliver(self.fleet.calls[number % len(self.fleet.calls)])

    @precondition(lambda self: self.fleet.calls)
    @rule(number=st.integers(0, 3), how=st.sampled_from(["done", "unanswered", "lost", "late"]))
    def answer(self, number: int, how: str) -> None:
        """Answer an order, or let it time out."""
        self.fleet.answer(number, how)

    @precondition(lambda self: self.fleet.late_calls)
    @rule()
    def deliver_late(self) -> None:
        """Deliver an order on which its owner has given up."""
        self.fleet.deliver_late()

    @rule(number=st.integers(0, 5))
    def request_listing(self, number: int) -> None:
        """Request a listing."""
        workers = list(self.fleet.partition.state.workers.values())
        if workers:
            worker = workers[number % len(workers)]
            if not any(call.worker is worker for call in self.fleet.listings):
                self.fleet.request_listing(worker)

    @precondition(lambda self: self.fleet.listings)
    @rule(number=st.integers(0, 3), is_lost=st.booleans())
    def receive_listing(self, number: int, is_lost: bool) -> None:
        """Receive a listing, or none in time."""
        self.fleet.receive_listing(number, is_lost=is_lost)

    @rule(rounds=st.integers(1, 3))
    def run_undisturbed(self, rounds: int) -> None:
        """Carry out everything for a while, beside faults that last."""
        for _ in range(rounds):
            self.fleet.run_round(ends_runs=False)

    @rule(how=st.sampled_from(["done", "unanswered", "lost", "late"]))
    def answer_all(self, how: str) -> None:
        """Store everything and send all orders, which are all answered or not."""
        self.fleet.send_all()
        for _ in range(len(self.fleet.calls)):
            if self.fleet.calls:
                self.fleet.answer(0, how)

    @rule(kind=st.sampled_from(sorted(JOBS)), number=st.integers(0, 1))
    def cut_worker_with_tasks(self, kind: str, number: int) -> None:
        """Start a job, and cut off a worker."""
        if self.fleet.jobs < MAX_JOBS:
            self.fleet.submit(kind)
        self.fleet.run_round(ends_runs=False)
        self._pick(number).is_dark = True

    @rule(number=st.integers(0, 5), outcome=st.sampled_from(["done", "done", "failed"]))
    def end_run(self, number: int, outcome: str) -> None:
        """End a run."""
        running = [(worker, task) for worker in self.fleet.alive() for task in worker.runs]
        if running:
            worker, task = running[number % len(running)]
            self.fleet.end_run(worker, task, outcome)

    @rule(ms=st.sampled_from([50, 400, 1300, 7000]))
    def pass_time(self, ms: int) -> None:
        """Advance the clock."""
        self.fleet.pass_time(ms)

    @rule(
        can_start=st.booleans(),
        are_limits_recent=st.booleans(),
        is_outdated=st.booleans(),
        number=st.integers(0, 1),
    )
    def tick_in_trouble(
        self, can_start: bool, are_limits_recent: bool, is_outdated: bool, number: int
    ) -> None:
        """Tick while the store, the limits or an entry can't be relied on."""
        outdated = frozenset({self._pick(number).id}) if is_outdated else frozenset()
        tick = Tick(
            **self.fleet.partition.event_times(),
            can_start=can_start,
            are_limits_recent=are_limits_recent,
            outdated=outdated,
        )
        self.fleet.pass_time(100, tick=tick)

    @rule(is_withdrawn=st.booleans())
    def grant(self, is_withdrawn: bool) -> None:
        """Grant the workspace its limit, or nothing of it."""
        self.fleet.grant(NOTHING if is_withdrawn else LIMIT)

    @rule(number=st.integers(0, 1), is_dark=st.booleans(), is_named=st.booleans())
    def cut_worker(self, number: int, is_dark: bool, is_named: bool) -> None:
        """Cut a worker off, or connect it again; the list of machines may name it or not."""
        worker = self._pick(number)
        worker.is_dark = is_dark
        worker.is_named = is_named or not is_dark

    @rule()
    def list_machines(self) -> None:
        """Apply the list of machines."""
        self.fleet.list_machines()

    @rule(number=st.integers(0, 1), is_address_reused=st.booleans())
    def replace_worker(self, number: int, is_address_reused: bool) -> None:
        """Replace a worker by one with another ID."""
        self.fleet.replace_worker(self._pick(number), is_address_reused=is_address_reused)

    @precondition(lambda self: self.reports_born)
    @rule(number=st.integers(0, 1), moves=st.booleans())
    def restart_worker(self, number: int, moves: bool) -> None:
        """Restart a worker under its ID, at times for another service."""
        worker = self._pick(number)
        other = "other" if worker.service == "portal" else "portal"
        self.fleet.restart_worker(worker, service=other if moves else worker.service)

    @precondition(lambda self: self.reports_born)
    @rule(kind=st.sampled_from(sorted(JOBS)), is_delivered=st.booleans())
    def restart_worker_with_orders(self, kind: str, is_delivered: bool) -> None:
        """Restart a worker while orders to it are in flight; its entry tells of that first."""
        if self.fleet.jobs < MAX_JOBS:
            self.fleet.submit(kind)
        self.fleet.send_all()
        if not self.fleet.calls:
            return
        call = self.fleet.calls[0]
        if is_delivered:
            self.fleet.deliver(call)
        worker = self.fleet.workers[call.target.id]
        self.fleet.restart_worker(worker, service=worker.service)
        self.fleet.write_entry(self.fleet.workers[worker.id])

    @rule(number=st.integers(0, 5))
    def remove_entry(self, number: int) -> None:
        """Remove an entry."""
        entries = list(self.fleet.partition.entries)
        if entries:
            self.fleet.remove_entry(entries[number % len(entries)])

    @rule(number=st.integers(0, 1))
    def write_entry(self, number: int) -> None:
        """Write a worker's entry."""
        self.fleet.write_entry(self._pick(number))

    @rule(number=st.integers(0, 1))
    def mark_leaving(self, number: int) -> None:
        """Report that a machine is about to be removed."""
        fleet = self.fleet
        fleet.carry_out(fleet.partition.mark_leaving(self._pick(number).id))

    @rule()
    def take_over(self) -> None:
        """Replace the owner."""
        self.fleet.take_over()

    @invariant()
    def startable_tasks_wait_for_room(self) -> None:
        """Each step with tasks to start is among those that wait."""
        assert not find_unlisted_steps(self.fleet)

    @invariant()
    def runs_will_settle(self) -> None:
        """Each run is on its worker, and runs, ends, or is about to be known not to run."""
        assert not find_unsettled_runs(self.fleet)

    @rule(number=st.integers(0, 1))
    def lose_worker_from_lists(self, number: int) -> None:
        """Cut a worker off until the list of machines, which doesn't name it, counts."""
        worker = self._pick(number)
        worker.is_dark, worker.is_named = True, False
        for _ in range(2):
            self.fleet.list_worker(worker.id)
            self.fleet.pass_time(MIN_UNRESPONSIVE_MS)
        self.fleet.list_machines()

    def teardown(self) -> None:
        """Each task is started while a worker has room, first beside cuts, then without."""
        for ends_cuts in (False, True):
            self.fleet.recover(rounds=RECOVERY_ROUNDS, ends_cuts=ends_cuts)
            self.startable_tasks_wait_for_room()
            self.runs_will_settle()
            assert not find_idle_tasks(self.fleet)
            assert not find_unused_workers(self.fleet)


class StartableTasksWithoutStartTimes(StartableTasks):
    """Workers get a new ID with each start, and don't report when that was."""

    reports_born = False


TestStartableTasks = StartableTasks.TestCase
TestStartableTasks.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True
)
TestStartableTasksWithoutStartTimes = StartableTasksWithoutStartTimes.TestCase
TestStartableTasksWithoutStartTimes.settings = TestStartableTasks.settings
