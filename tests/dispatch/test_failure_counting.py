"""A job fails only once one of its tasks, or a gang, has failed as often as it may."""

from __future__ import annotations

import msgspec

from heatherkeel.dispatch.const import LEASE_MS
from heatherkeel.dispatch.events import QueuesChanged
from heatherkeel.dispatch.models import JobState, Run, Task
from heatherkeel.dispatch.terms import make_terms
from heatherkeel.platform.callers import JobRequest
from heatherkeel.platform.operator import Queue
from heatherkeel.platform.workers import EndedTask

from .partition import JOB, OTHER_JOB, Partition, make_step, started_runs
from .test_recovery import take_over


def make_queue(partition: Partition, **changes: object) -> Queue:
    """Return the partition's queue with changed settings."""
    return msgspec.structs.replace(partition.state.queues["quotes"], **changes)


def change_queue(partition: Partition, **changes: object) -> None:
    """Apply a later configuration of the queue."""
    queue = make_queue(partition, **changes)
    partition.apply(QueuesChanged(**partition.event_times(), queues={"quotes": queue}))


def only_task(partition: Partition, job_id: str = JOB) -> Task:
    """Return the first task of a job."""
    return partition.job(job_id).occurrences[0][0].tasks[0]


def start_next_run(partition: Partition) -> Run:
    """Start the one run that is planned."""
    (run,) = [run for run in partition.start_planned_runs() if run in run.task.runs]
    return run


def fail_next_run(partition: Partition) -> Run:
    """Start the planned run, and let it end as failed."""
    run = start_next_run(partition)
    partition.end_run(run, "failed")
    return run


def list_end(partition: Partition, worker_id: str, *, attempt: int, outcome: str) -> None:
    """Let a worker list an end of the job's first task, whoever has started it."""
    ends = partition.ends.setdefault(worker_id, [])
    task = only_task(partition).name
    ends.append(
        EndedTask(number=len(ends) + 1, task=task, attempt=attempt, outcome=outcome, saved="")
    )
    partition.list_known_runs(worker_id)


def test_failures_listed_by_two_lives_of_a_worker_count_by_their_attempts() -> None:
    """Guards against a count by the numbers of ends, which start anew with each life."""
    partition = Partition(workers=1, max_failures=3)
    partition.submit(make_step())
    first = fail_next_run(partition)
    partition.restart_worker("w0")
    partition.list_known_runs("w0")
    second = fail_next_run(partition)
    assert [end.number for end in partition.ends["w0"]] == [1]
    assert only_task(partition).failed_attempts == {first.attempt, second.attempt}
    assert first.attempt != second.attempt
    assert partition.job().state is JobState.ACTIVE


def test_failures_are_kept_by_each_of_several_owners() -> None:
    """Guards against a count that starts anew, or counts twice, with each change of owners."""
    partition = Partition(max_failures=9)
    partition.submit(make_step())
    for failures in range(1, 4):
        fail_next_run(partition)
        assert only_task(partition).failures() == failures
        ends = partition.ends
        partition = take_over(partition)
        partition.ends = ends
        change_queue(partition, max_failures=9)
        for worker_id in partition.entries:
            partition.list_runs(worker_id)
        assert only_task(partition).failures() == failures


def test_a_failure_of_a_superseded_run_counts_as_that_attempt() -> None:
    """Guards against a second count of the run that replaced one of an unresponsive worker."""
    partition = Partition(max_failures=3)
    partition.submit(make_step())
    (first,) = partition.start_planned_runs()
    partition.fail_listing(first.worker_id)
    partition.tick(2 * LEASE_MS)
    (second,) = partition.start_planned_runs()
    list_end(partition, first.worker_id, attempt=first.attempt, outcome="failed")
    partition.list_known_runs(second.worker_id)
    assert only_task(partition).failed_attempts == {first.attempt}
    partition.end_run(second, "failed")
    assert only_task(partition).failed_attempts == {first.attempt, second.attempt}


def test_two_failed_members_of_one_run_of_a_gang_count_once() -> None:
    """Guards against failing a gang by the number of its members."""
    partition = Partition(max_failures=2)
    partition.submit(make_step(count=3, is_gang=True))
    runs = partition.start_planned_runs()
    partition.end_run(runs[0], "failed")
    partition.end_run(runs[1], "failed")
    partition.end_run(runs[2], "broken")
    assert partition.job().state is JobState.ACTIVE
    assert [task.failures() for task in partition.job().occurrences[0][0].tasks] == [1, 1, 1]


def test_runs_that_a_gang_lost_or_that_were_stopped_count_as_no_failure() -> None:
    """Guards against failing a gang for ends that aren't failures."""
    partition = Partition(max_failures=2)
    partition.submit(make_step(count=2, is_gang=True))
    for outcome in ("broken", "alone", "stopped", "lapsed"):
        for run in partition.start_planned_runs():
            partition.end_run(run, outcome)
    assert partition.job().state is JobState.ACTIVE
    assert only_task(partition).failures() == 0


def test_failures_of_one_occurrence_arent_charged_to_another() -> None:
    """Guards against failing a repeated job for failures of different runs of its steps."""
    partition = Partition(max_failures=2)
    partition.submit(make_step())
    job = partition.job()
    job.request = JobRequest(
        spec="s", steps=job.request.steps, repeat_count=3, start_at_ms=0, interval_ms=1000
    )
    fail_next_run(partition)
    for _ in range(2):
        partition.tick(1000)
    for run in partition.start_planned_runs():
        if run.task.step.occurrence:
            partition.end_run(run, "failed")
    failures = [steps[0].tasks[0].failures() for steps in job.occurrences.values()]
    assert failures == [1, 1, 1]
    assert job.state is JobState.ACTIVE


def test_failures_of_one_task_arent_charged_to_another() -> None:
    """Guards against failing a job for one failure of each of its tasks."""
    partition = Partition(max_failures=2)
    partition.submit(make_step(count=3))
    for run in partition.start_planned_runs():
        partition.end_run(run, "failed")
    assert partition.job().state is JobState.ACTIVE


def test_a_failed_copy_of_a_task_that_is_done_doesnt_fail_its_job() -> None:
    """Guards against failing a job that can be completed, since a copy failed after the first."""
    partition = Partition(workers=2, max_failures=2)
    partition.submit(make_step(may_copy=True), make_step(depends_on=(0,)))
    fail_next_run(partition)
    (first,) = partition.start_planned_runs()
    partition.fail_listing(first.worker_id)
    partition.tick(100)
    (copy,) = partition.start_planned_runs()
    partition.end_run(copy)
    assert only_task(partition).is_done
    list_end(partition, first.worker_id, attempt=first.attempt, outcome="failed")
    assert partition.job().state is JobState.ACTIVE
    (follower,) = started_runs(partition.effects)
    assert follower.task.step.number == 1


def test_a_job_accepted_with_more_attempts_keeps_them() -> None:
    """Guards against failing a job by a later configuration that allows fewer attempts."""
    partition = Partition(workers=1, max_failures=4)
    partition.submit(make_step())
    partition.job().terms = make_terms(partition.state.queues["quotes"])
    fail_next_run(partition)
    fail_next_run(partition)
    change_queue(partition, max_failures=2)
    fail_next_run(partition)
    assert partition.job().state is JobState.ACTIVE
    fail_next_run(partition)
    assert partition.job().state is JobState.FAILED


def test_a_job_gets_the_attempts_that_a_later_configuration_adds() -> None:
    """Guards against failing a job before it has failed as often as its queue allows."""
    partition = Partition(workers=1, max_failures=2)
    partition.submit(make_step())
    partition.job().terms = make_terms(partition.state.queues["quotes"])
    fail_next_run(partition)
    change_queue(partition, max_failures=3)
    fail_next_run(partition)
    assert partition.job().state is JobState.ACTIVE
    fail_next_run(partition)
    assert partition.job().state is JobState.FAILED


def test_a_later_queue_of_the_same_name_for_another_service_changes_no_attempts() -> None:
    """Guards against failing a job by the settings of a queue that isn't its own."""
    partition = Partition(workers=1, max_failures=3)
    partition.submit(make_step())
    partition.job().terms = make_terms(partition.state.queues["quotes"])
    change_queue(partition, max_failures=1, service="desk")
    fail_next_run(partition)
    fail_next_run(partition)
    assert partition.job().state is JobState.ACTIVE
    fail_next_run(partition)
    assert partition.job().state is JobState.FAILED


def test_a_failure_of_another_job_counts_against_that_job_only() -> None:
    partition = Partition(workers=1, max_failures=1)
    partition.submit(make_step())
    partition.submit(make_step(), job_id=OTHER_JOB)
    first, second = partition.start_planned_runs()
    partition.end_run(first, "failed")
    assert partition.job(first.task.step.job.id).state is JobState.FAILED
    assert partition.job(second.task.step.job.id).state is JobState.ACTIVE
