"""Jobs go on by the settings of their queue after it was removed and all processes restarted."""

from __future__ import annotations

from heatherkeel.dispatch.events import AskAdvice, QueuesChanged
from heatherkeel.dispatch.models import JobState
from heatherkeel.dispatch.records import (
    PROGRESS_PREFIX,
    REQUEST_PREFIX,
    StoredRequest,
    encode_progress,
    encode_request,
)
from heatherkeel.dispatch.recovery import read_records, restore_jobs
from heatherkeel.dispatch.terms import JobTerms
from heatherkeel.platform.advice import Advisor
from heatherkeel.platform.framing import KeyedRecord

from .partition import JOB, Partition, make_step, started_runs

TERMS = JobTerms(
    max_failures=2,
    priority=3,
    slack_factor=2.0,
    target_latency_ms=700,
    advisor=Advisor(decision_ms=20, validity_ms=3000),
)
PLAIN_TERMS = JobTerms(max_failures=2, priority=0, slack_factor=1.0, target_latency_ms=700)


def restore(terms: JobTerms, *, later_service: str = "portal") -> Partition:
    """Return a new owner of a started job whose queue isn't configured any more.

    `later_service` is the one of a repeated submission, which has replaced the stored request.
    """
    earlier = Partition()
    earlier.submit(make_step())
    job = earlier.job()
    job.terms = terms
    request = StoredRequest(
        queue=job.queue, service=later_service, accepted_wall_ms=1000, request=job.request
    )
    records = [
        KeyedRecord(key=f"{REQUEST_PREFIX}{JOB}", value=encode_request(request), offset=1),
        KeyedRecord(key=f"{PROGRESS_PREFIX}{JOB}", value=encode_progress(job), offset=2),
    ]
    later = Partition(workers=1)
    later.apply(QueuesChanged(**later.event_times(), queues={}))
    restore_jobs(later.state, read_records(records))
    return later


def test_job_of_a_removed_queue_still_asks_its_advisor() -> None:
    """Guards against starts without a ticket, which are refused for ever."""
    later = restore(TERMS)
    later.list_known_runs("w0")
    for run in later.job().runs():
        later.list_runs(run.worker_id)
    effects = later.tick(100)
    assert any(isinstance(effect, AskAdvice) for effect in [*later.effects, *effects])
    assert not started_runs(later.effects)


def test_task_of_a_removed_queue_has_no_more_attempts_than_its_queue_allowed() -> None:
    """Guards against a task that is started without end after its queue was removed."""
    later = restore(PLAIN_TERMS)
    later.list_known_runs("w0")
    for _ in range(PLAIN_TERMS.max_failures + 3):
        later.start_planned_runs()
        for run in later.job().runs():
            later.end_run(run, "failed")
        later.tick(1000)
    assert later.job().state is JobState.FAILED
    assert max(task.failures() for task in later.job().steps()[0].tasks) == 2


def test_started_job_keeps_its_service_after_a_repeated_submission_by_another_version() -> None:
    """Guards against a second run on the queue's new service beside the first."""
    later = restore(PLAIN_TERMS, later_service="desk")
    assert later.job().service == "portal"


def test_priority_and_objective_are_those_by_which_a_job_was_accepted() -> None:
    later = restore(TERMS)
    job = later.job()
    assert later.state.find_terms(job) is not None
    assert later.state.find_terms(job).priority == 3  # type: ignore[union-attr]
    assert job.due_ms - job.accepted_ms == 2.0 * 500 + 700


def test_records_of_an_earlier_release_are_still_read() -> None:
    """Guards against jobs that are lost while instances are replaced one by one."""
    earlier = Partition(workers=1)
    earlier.submit(make_step())
    job = earlier.job()
    job.accepted_wall_ms = 1000
    request = (
        b'{"queue":"quotes","service":"portal","accepted_wall_ms":1000,'
        b'"request":{"spec":"s","steps":[{"count":1,"cpu":2000,"memMb":100,"estimatedMs":500}]}}'
    )
    progress = (
        b'{"state":"active","queue":"quotes","service":"portal","accepted_wall_ms":1000,"begun":1,'
        b'"tasks":[[0,0,0,1,[],false,"",[[1,"w0",false]],0,[1]]]}'
    )
    assert encode_progress(job) == progress
    records = [
        KeyedRecord(key=f"{REQUEST_PREFIX}{JOB}", value=request, offset=1),
        KeyedRecord(key=f"{PROGRESS_PREFIX}{JOB}", value=progress, offset=2),
    ]
    later = Partition(workers=1)
    restore_jobs(later.state, read_records(records))
    assert later.job().state is JobState.ACTIVE
    assert later.state.find_terms(later.job()) is later.state.queues["quotes"]
