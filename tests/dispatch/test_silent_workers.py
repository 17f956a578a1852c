"""Guards against failing a job whose workers were lost without any sign that it crashed them."""

from __future__ import annotations

import pytest

from heatherkeel.dispatch.const import (
    LEASE_MS,
    MACHINE_LIST_INTERVAL_MS,
    MAX_LASTING_CRASHES,
    MAX_PAUSE_MS,
    MIN_KNOWN_CRASHES,
)
from heatherkeel.dispatch.events import IncarnationsListed, StartAnswered
from heatherkeel.dispatch.models import JobState, Run
from heatherkeel.dispatch.suspicion import needs_check
from heatherkeel.platform.errors import CallError, Failure

from .partition import Partition, make_entry, make_step, started_runs
from .test_crashing_tasks import CrashingFleet
from .test_recovery import take_over

ROUNDS = 8
"""Losses in a row; more than any task may cause."""
MAX_WAIT_MS = 3000
"""A job with nothing running has to start within this time while there is capacity."""
MAX_STARTS = 5
"""Starts that a task may cost which crashes its workers: three, and two more."""


class SilentFleet:
    """A partition with a job of one task, whose workers are lost again and again."""

    def __init__(self, *, lasts: bool = False, workers: int = 4) -> None:
        self.partition = Partition(workers=workers)
        self.partition.submit(make_step(cpu=2000, lasts=lasts))
        self.crashing = CrashingFleet(self.partition, crashing="")
        self.gone: set[str] = set()
        """Workers that have crashed."""

    def pass_time(self, ms: int, *, silent: set[str], is_list_read: bool = True) -> None:
        """Let time pass; silent workers answer nothing, and their machines are still listed."""
        partition = self.partition
        until_ms = partition.now_ms + ms
        listed_ms = partition.now_ms
        while partition.now_ms < until_ms:
            for worker_id, worker in list(partition.state.workers.items()):
                if worker_id not in silent | self.gone and worker.entry.address:
                    partition.list_known_runs(worker_id, percent=100.0)
            partition.tick(50)
            if is_list_read and partition.now_ms - listed_ms >= MACHINE_LIST_INTERVAL_MS:
                listed_ms = partition.now_ms
                self.list_machines()

    def list_machines(self, *, pools: dict[str, str] | None = None) -> None:
        """Read the list of machines, which names the workers that are up."""
        up = frozenset(self.partition.entries)
        times = self.partition.event_times()
        self.partition.apply(IncarnationsListed(**times, worker_ids=up, pools=pools or {}))

    def wait_planned(self, *, longest_ms: int = MAX_WAIT_MS) -> Run:
        """Return the next run once its start is planned."""
        partition = self.partition
        until_ms = partition.now_ms + longest_ms
        while not (runs := started_runs(partition.effects)):
            assert partition.now_ms < until_ms, "the task waits though workers have room"
            assert partition.job().state is not JobState.FAILED
            self.pass_time(100, silent=set())
        partition.effects.clear()
        (run,) = runs
        return run

    def wait_start(self, *, longest_ms: int = MAX_WAIT_MS) -> Run:
        """Return the next run once its start is answered."""
        run = self.wait_planned(longest_ms=longest_ms)
        self.partition.send(run)
        self.partition.answer_start(run)
        return run

    def lose_start(self, run: Run, *, is_timeout: bool) -> None:
        """Leave a start without an answer; it times out, or the connection breaks."""
        partition = self.partition
        partition.send(run)
        partition.tick(1000 if is_timeout else 10)
        error = CallError(failure=Failure.UNKNOWN, is_timeout=is_timeout)
        partition.apply(StartAnswered(**partition.event_times(), run=run, error=error))

    def cut_off(self, run: Run, *, is_list_read: bool = True) -> None:
        """Cut a worker off until its lease has expired."""
        self.partition.fail_listing(run.worker_id)
        until_ms = self.partition.now_ms + 2 * LEASE_MS
        while run in run.task.runs:
            assert self.partition.now_ms < until_ms, "its lease has expired"
            self.pass_time(700, silent={run.worker_id}, is_list_read=is_list_read)

    def lose_power(self, *, is_noticed: bool) -> None:
        """Crash all workers at once, noticed by calls or only by the list of machines."""
        partition = self.partition
        lost = list(partition.entries)
        with_runs = {w.id for w in partition.state.workers.values() if w.runs}
        for worker_id in lost:
            if is_noticed or worker_id in with_runs:
                partition.fail_listing(worker_id)
        self.gone |= set(lost)
        self.pass_time(1300, silent=set(), is_list_read=False)
        partition.entries = {f"{worker_id}x": make_entry() for worker_id in lost}
        partition.list_workers()
        for worker_id in partition.entries:
            partition.list_known_runs(worker_id)
        self.list_machines()


@pytest.mark.parametrize("lasts", [False, True])
def test_job_whose_workers_were_cut_off_is_kept(lasts: bool) -> None:
    fleet = SilentFleet(lasts=lasts)
    for _ in range(ROUNDS):
        run = fleet.wait_start()
        fleet.pass_time(100, silent={run.worker_id})
        fleet.cut_off(run)
        fleet.partition.list_runs(run.worker_id)
    assert fleet.partition.job().state is JobState.ACTIVE


@pytest.mark.parametrize("is_noticed", [False, True])
def test_job_whose_pool_lost_power_is_kept(is_noticed: bool) -> None:
    fleet = SilentFleet()
    for _ in range(ROUNDS):
        run = fleet.wait_start()
        fleet.pass_time(100, silent={run.worker_id})
        fleet.lose_power(is_noticed=is_noticed)
    assert fleet.partition.job().state is JobState.ACTIVE


def test_job_whose_starts_found_dead_workers_is_kept() -> None:
    """Guards against blaming a task for workers that had gone before its start was sent."""
    fleet = SilentFleet()
    partition = fleet.partition
    for number in range(ROUNDS):
        run = fleet.wait_planned()
        assert needs_check(run) == bool(number)
        if needs_check(run):
            partition.answer_start(run, Failure.REFUSED)
        else:
            fleet.lose_start(run, is_timeout=True)
        fleet.crashing.crash(run.worker_id)
    assert partition.job().state is JobState.ACTIVE
    assert (run.task.crashes, run.task.unclear_losses) == (0, 1)


@pytest.mark.parametrize("is_timeout", [True, False])
def test_job_whose_unchecked_starts_were_lost_is_kept(is_timeout: bool) -> None:
    """Guards against blaming a task for starts of which nobody knows whether they arrived."""
    fleet = SilentFleet()
    for _ in range(ROUNDS):
        run = fleet.wait_planned(longest_ms=MAX_PAUSE_MS + 1000)
        fleet.lose_start(run, is_timeout=is_timeout)
        run.is_checked = False
        fleet.crashing.crash(run.worker_id)
    assert fleet.partition.job().state is JobState.ACTIVE
    assert run.task.crashes == 0


def test_job_whose_machines_were_moved_is_kept() -> None:
    """Guards against blaming a task for workers that an instance's own order has ended."""
    fleet = SilentFleet()
    partition = fleet.partition
    for number in range(ROUNDS):
        run = fleet.wait_start()
        partition.fail_listing(run.worker_id)
        fleet.pass_time(1300, silent={run.worker_id}, is_list_read=False)
        entry = partition.entries.pop(run.worker_id)
        partition.entries[f"new{number}"] = make_entry()
        partition.list_workers()
        partition.list_known_runs(f"new{number}")
        fleet.list_machines(pools={entry.machine: "spare"})
    assert partition.job().state is JobState.ACTIVE
    assert run.task.possible_crashes() == 0


def test_job_whose_workers_drained_is_kept() -> None:
    """Guards against blaming a task for workers that leave as they said before."""
    fleet = SilentFleet(workers=6)
    for _ in range(3):
        run = fleet.wait_start()
        fleet.partition.entries[run.worker_id] = make_entry(state="draining")
        fleet.partition.list_workers()
        fleet.partition.fail_listing(run.worker_id)
        del fleet.partition.entries[run.worker_id]
        fleet.pass_time(2000, silent={run.worker_id})
    assert fleet.partition.job().state is JobState.ACTIVE
    assert run.task.possible_crashes() == 0


def test_pause_grows_while_nothing_is_known_of_silent_workers() -> None:
    """Guards against taking an expired lease for a crash, and against starts without a pause."""
    fleet = SilentFleet(workers=ROUNDS)
    partition = fleet.partition
    pauses = []
    for number in range(ROUNDS):
        run = fleet.wait_start(longest_ms=MAX_PAUSE_MS + 1000)
        fleet.cut_off(run, is_list_read=False)
        fleet.gone.add(run.worker_id)
        assert run.task.is_paused == (number + 1 >= MAX_LASTING_CRASHES)
        pauses += [until_ms - partition.now_ms for until_ms in partition.state.paused.values()]
    assert partition.job().state is JobState.ACTIVE
    assert len(pauses) == len(set(pauses)) > 1
    assert pauses == sorted(pauses)


def test_worker_that_answers_again_takes_its_unclear_loss_back() -> None:
    """Guards against pauses for losses that a later answer shows to be no crashes."""
    fleet = SilentFleet()
    for _ in range(ROUNDS):
        run = fleet.wait_start()
        fleet.cut_off(run, is_list_read=False)
        assert run.task.unclear_losses == 1
        fleet.partition.list_runs(run.worker_id)
        assert run.task.unclear_losses == 0
        assert fleet.partition.job().possible_crashes == 0


def test_unclear_losses_are_known_to_the_next_owner() -> None:
    """Guards against a count that begins anew with each owner."""
    fleet = SilentFleet(workers=8)
    for _ in range(MAX_LASTING_CRASHES):
        run = fleet.wait_start()
        fleet.cut_off(run, is_list_read=False)
        fleet.gone.add(run.worker_id)
    later = take_over(fleet.partition, workers=8, with_listings=True)
    (task,) = later.job().steps()[0].tasks
    assert task.unclear_losses == MAX_LASTING_CRASHES
    assert task.is_paused


@pytest.mark.parametrize("is_timeout", [True, False])
def test_task_that_crashes_workers_before_its_start_is_answered_is_given_up(
    is_timeout: bool,
) -> None:
    """Guards against starts without end of a task that nobody has seen running."""
    fleet = SilentFleet()
    partition = fleet.partition
    starts = 0
    while partition.job().state is not JobState.FAILED:
        run = fleet.wait_planned()
        starts += 1
        fleet.lose_start(run, is_timeout=is_timeout)
        fleet.crashing.crash(run.worker_id)
        assert starts <= MAX_STARTS
    assert starts >= MIN_KNOWN_CRASHES


def test_task_that_crashes_workers_after_unclear_losses_ends_within_its_budget() -> None:
    """Guards against starts beyond the budget where a part of the losses stays unclear."""
    fleet = SilentFleet(workers=6)
    partition = fleet.partition
    for _ in range(2):
        run = fleet.wait_start()
        fleet.cut_off(run, is_list_read=False)
        fleet.gone.add(run.worker_id)
    starts = 2
    while partition.job().state is not JobState.FAILED:
        run = fleet.wait_start()
        starts += 1
        partition.tick(10)
        fleet.crashing.crash(run.worker_id)
        assert starts <= MAX_STARTS
