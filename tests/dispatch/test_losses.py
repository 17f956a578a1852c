"""Workers fall silent, go, come back as others, or fail everything."""

from __future__ import annotations

from heatherkeel.dispatch.const import LEASE_MS, LEAVING_MS, QUARANTINE_MS, SILENT_MS, STANDING_MS
from heatherkeel.dispatch.events import LivesListed, Tick
from heatherkeel.dispatch.models import JobState, Run
from heatherkeel.platform.errors import Failure
from heatherkeel.platform.workers import RunningTask

from .partition import JOB, OTHER_JOB, Partition, make_entry, make_step, started, stopped


def start_on(partition: Partition, worker_id: str, job_id: str = JOB) -> Run:
    """Start a job of one task on a given worker; returns its run."""
    partition.effects.clear()
    for worker in partition.state.workers.values():
        worker.is_leaving = worker.id != worker_id
    partition.submit(make_step(), job_id=job_id)
    (run,) = partition.start_all()
    assert run.worker_id == worker_id
    for worker in partition.state.workers.values():
        worker.is_leaving = False
    partition.state.workers[worker_id].lease_until_ms = partition.now_ms + 500_000 + LEASE_MS
    return run


def test_silent_worker_keeps_its_tasks_until_its_lease_has_lapsed() -> None:
    """A worker is cut off and runs on; its entry lapses in the store.

    Its task is neither gone nor free: started elsewhere, it would run twice. Once its lease has
    surely run out, also by a clock that is 2% slow, the task starts elsewhere.
    """
    partition = Partition()
    run = start_on(partition, "w0")
    partition.fail("w0")
    del partition.entries["w0"]
    partition.list_workers()
    partition.effects.clear()
    partition.tick(LEASE_MS)
    assert not started(partition.effects)
    partition.tick(LEASE_MS // 10 + 600)
    (again,) = started(partition.effects)
    assert again.task is run.task
    assert again.worker_id == "w1"
    assert "w0" not in partition.state.workers


def test_address_with_another_life_proves_that_the_worker_is_gone() -> None:
    partition = Partition()
    run = start_on(partition, "w0")
    partition.effects.clear()
    partition.fail("w0", Failure.OTHER_INSTANCE)
    (again,) = started(partition.effects)
    assert again.task is run.task


def test_entry_of_a_life_that_is_gone_is_not_believed() -> None:
    """A worker dies and another life takes its address; its own entry stands for seconds more.

    Taken in again, the entry would be asked, and dropped, over and over until it lapses.
    """
    partition = Partition()
    partition.fail("w0", Failure.OTHER_INSTANCE)
    partition.list_workers()
    assert "w0" not in partition.state.workers
    del partition.entries["w0"]
    partition.list_workers()
    assert not partition.state.ended_incarnations


def test_run_that_a_later_listing_lacks_starts_again() -> None:
    partition = Partition()
    run = start_on(partition, "w0")
    partition.effects.clear()
    partition.now_ms += 10
    partition.list_exactly("w0")
    (again,) = started(partition.effects)
    assert again.attempt == run.attempt + 1


def test_listing_asked_for_before_the_start_was_answered_proves_nothing() -> None:
    """A listing waits at the worker while a task is started over another connection.

    Answers on different connections overtake each other, so the listing may lack the task
    though it runs. Only a listing asked for after the start's answer can prove it gone.
    """
    partition = Partition()
    run = start_on(partition, "w0")
    partition.now_ms -= 10
    partition.list_exactly("w0")
    assert run in run.task.runs


def test_stopped_task_goes_on_from_what_it_saved() -> None:
    partition = Partition()
    run = start_on(partition, "w0")
    partition.effects.clear()
    partition.end(run, "stopped", saved="half")
    (again,) = started(partition.effects)
    assert again.saved == "half"


def test_task_that_fails_as_often_as_allowed_fails_its_job() -> None:
    partition = Partition(max_failures=2)
    partition.submit(make_step(count=2))
    first, _ = partition.start_all()
    partition.end(first, "failed")
    assert partition.job().state is JobState.ACTIVE
    again = next(run for run in partition.start_all() if run.task is first.task)
    effects = partition.end(again, "failed")
    assert partition.job().state is JobState.FAILED
    assert len(stopped(effects)) == 1


def test_ends_other_than_failed_use_up_no_attempt() -> None:
    partition = Partition(max_failures=1)
    partition.submit(make_step())
    for _ in range(4):
        (run,) = partition.start_all()
        partition.end(run, "lapsed")
    assert partition.job().state is JobState.ACTIVE


def test_worker_that_fails_job_after_job_is_set_aside_and_tried_again() -> None:
    """One worker fails all that it starts, so it is the emptiest of its pool.

    It would get most of the work, and job after job would use up its attempts there. After
    three jobs in a row it gets nothing for a while.
    """
    partition = Partition(workers=3, max_failures=9)
    for number in range(3):
        partition.end(start_on(partition, "w0", f"{number:016x}"), "failed")
    assert partition.state.workers["w0"].quarantined_until_ms > partition.now_ms
    assert not partition.state.workers["w0"].runs
    partition.tick(QUARANTINE_MS)
    assert partition.state.workers["w0"].accepts_work(partition.now_ms)


def test_draining_worker_gets_no_new_work() -> None:
    partition = Partition(workers=1)
    partition.entries["w0"] = make_entry(state="draining")
    partition.list_workers()
    assert not started(partition.submit(make_step()))


def test_lasting_tasks_leave_one_at_a_time() -> None:
    """Two machines with tasks of one lasting step are to be maintained at once.

    The step may miss one task. The second is stopped only when the first is at work again
    elsewhere, since a task that starts still counts as away.
    """
    partition = Partition(workers=4)
    partition.submit(make_step(count=2, cpu=100, lasts=True, max_unavailable=1, max_per_worker=1))
    first, second = partition.start_all()
    for worker_id in partition.entries:
        partition.answer(worker_id, percent=100.0)
    (stop,) = stopped(partition.leave(first.worker_id, second.worker_id))
    partition.end(stop, "stopped")
    (moved,) = partition.start_all()
    partition.answer(moved.worker_id, percent=20.0)
    partition.effects.clear()
    partition.tick(100)
    assert not stopped(partition.effects)
    partition.answer(moved.worker_id, percent=100.0)
    partition.tick(100)
    (other,) = stopped(partition.effects)
    assert {stop, other} == {first, second}


def test_lasting_task_on_a_silent_worker_counts_as_away() -> None:
    """A rack falls silent with a task of a lasting step; another task's machine is to go.

    The silent worker's task seemed to be at work when it was last heard of. Stopping the other
    one leaves two of the step away, where one may be.
    """
    partition = Partition(workers=3)
    partition.submit(make_step(count=2, cpu=100, lasts=True, max_unavailable=1, max_per_worker=1))
    first, second = partition.start_all()
    for worker_id in partition.entries:
        partition.answer(worker_id, percent=100.0)
    partition.fail(first.worker_id)
    assert not stopped(partition.leave(second.worker_id))


def test_nothing_is_taken_off_a_leaving_worker_while_nothing_can_be_started() -> None:
    partition = Partition()
    partition.submit(make_step(cpu=100, lasts=True, max_unavailable=1))
    (run,) = partition.start_all()
    partition.answer(run.worker_id, percent=100.0)
    partition.give(Tick(**partition.at(), can_start=False))
    assert not stopped(partition.leave(run.worker_id))


def test_worker_serves_again_when_nobody_takes_it_away_any_more() -> None:
    """The fleet's owner dies after it has named a worker that is to be emptied.

    Left as leaving, the worker would get no work for good.
    """
    partition = Partition(workers=1)
    partition.leave("w0")
    assert not started(partition.submit(make_step()))
    partition.tick(LEAVING_MS)
    assert started(partition.effects)


def test_worker_is_empty_only_when_it_was_told_that_its_ends_are_stored() -> None:
    """A task ends, and its worker's machine is to be maintained.

    The machine takes its list of ends with it. Were the owner to die before it has stored the
    end, the task would run again after it was done.
    """
    partition = Partition()
    run = start_on(partition, "w0")
    partition.end(run)
    worker = partition.state.workers["w0"]
    assert not worker.runs
    assert not worker.is_empty()
    worker.last_acknowledged_end = worker.last_processed_end
    assert worker.is_empty()


def test_silent_worker_whose_machine_is_in_another_life_is_given_up_at_once() -> None:
    partition = Partition()
    run = start_on(partition, "w0")
    partition.effects.clear()
    partition.fail("w0")
    partition.now_ms += SILENT_MS
    partition.give(LivesListed(**partition.at(), worker_ids=frozenset({"w1"})))
    (again,) = started(partition.effects)
    assert again.task is run.task


def test_silent_worker_that_its_machine_still_names_keeps_its_tasks() -> None:
    """A worker is cut off from this process and from the store, and runs on."""
    partition = Partition()
    start_on(partition, "w0")
    partition.effects.clear()
    partition.fail("w0")
    partition.now_ms += SILENT_MS
    partition.give(LivesListed(**partition.at(), worker_ids=frozenset({"w0", "w1"})))
    assert not started(partition.effects)


def test_worker_whose_tasks_stand_still_is_left() -> None:
    """A worker answers and lists its tasks, but none of them gets any further.

    Nothing ends, fails or lapses, so the jobs would wait for as long as the worker stands. Its
    tasks are stopped and go on elsewhere, and it gets no work for a while.
    """
    partition = Partition(workers=4)
    first = start_on(partition, "w0")
    second = start_on(partition, "w0", OTHER_JOB)
    partition.answer("w0", percent=30.0)
    partition.now_ms += STANDING_MS
    effects = partition.answer("w0", percent=30.0)
    assert set(stopped(effects)) == {first, second}
    assert not partition.state.workers["w0"].accepts_work(partition.now_ms)


def test_worker_with_one_task_that_moves_is_kept() -> None:
    partition = Partition(workers=4)
    first = start_on(partition, "w0")
    second = start_on(partition, "w0", OTHER_JOB)
    partition.answer("w0", percent=30.0)
    partition.now_ms += STANDING_MS
    rows = [
        RunningTask(task=run.task.name, attempt=1, saved="", percent=percent, figure=0.0)
        for run, percent in ((first, 30.0), (second, 31.0))
    ]
    assert not stopped(partition.list_exactly("w0", *rows))


def test_worker_that_refuses_the_connection_is_not_tried_again_at_once() -> None:
    """A machine has moved away, and its worker's entry stands for seconds more.

    It is the emptiest of its pool, so a start that couldn't reach it goes to it again, each time
    with a new attempt to store and a new connection. It gets no work before it is heard again.
    """
    partition = Partition(workers=2)
    worker = partition.state.workers["w0"]
    partition.state.workers["w1"].is_leaving = True
    (run,) = started(partition.submit(make_step()))
    partition.state.workers["w1"].is_leaving = False
    (again,) = started(partition.start_answered(run, Failure.REFUSED))
    assert again.worker_id == "w1"
    assert not worker.accepts_work(partition.now_ms)
    partition.answer("w0")
    assert worker.accepts_work(partition.now_ms)


def test_start_that_another_life_answered_proves_the_worker_gone() -> None:
    partition = Partition(workers=2)
    (run,) = started(partition.submit(make_step()))
    (again,) = started(partition.start_answered(run, Failure.OTHER_INSTANCE))
    assert again.worker_id != run.worker_id
    assert run.worker_id not in partition.state.workers
