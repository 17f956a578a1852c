"""Tests of the memory that a partition's owner has for large jobs."""

from __future__ import annotations

from heatherkeel.admission.const import PROMISED_MS
from heatherkeel.admission.large_jobs import LargeJobs
from heatherkeel.dispatch.building import LARGE_JOB_BYTES, estimate_kept_bytes
from heatherkeel.dispatch.models import Job
from heatherkeel.platform.callers import JobRequest, StepRequest
from tests.dispatch.partition import Partition

LIMIT = 4 * LARGE_JOB_BYTES


def make_large_jobs() -> LargeJobs:
    return LargeJobs(state=Partition().state, limit_bytes=LIMIT)


def keep(large: LargeJobs, job_id: str, size: int) -> None:
    large.state.jobs[job_id] = Job(
        id=job_id,
        queue="quotes",
        service="portal",
        request=JobRequest(),
        kept_bytes=size,
        accepted_ms=0,
        accepted_wall_ms=0,
    )


def test_a_single_job_has_room_whatever_its_size() -> None:
    large = make_large_jobs()
    assert large.has_room("a", 100 * LIMIT, now_ms=0)
    keep(large, "a", 100 * LIMIT)
    assert large.has_room("a", 100 * LIMIT, now_ms=0)
    assert not large.has_room("b", LARGE_JOB_BYTES, now_ms=0)


def test_small_jobs_are_not_counted() -> None:
    large = make_large_jobs()
    for number in range(1000):
        keep(large, str(number), LARGE_JOB_BYTES - 1)
    assert large.used_bytes(0) == 0


def test_jobs_that_are_about_to_be_stored_are_counted_for_some_time() -> None:
    """Guards against many jobs that are all admitted before the first of them is read."""
    large = make_large_jobs()
    large.promise("a", LIMIT, now_ms=0)
    assert not large.has_room("b", LARGE_JOB_BYTES, now_ms=PROMISED_MS)
    assert large.has_room("b", LARGE_JOB_BYTES, now_ms=PROMISED_MS + 1)


def test_job_that_was_read_is_counted_once() -> None:
    large = make_large_jobs()
    large.promise("a", LIMIT // 2, now_ms=0)
    keep(large, "a", LIMIT // 2)
    assert large.used_bytes(0) == LIMIT // 2


def test_memory_is_estimated_by_tasks_and_dependencies() -> None:
    few = JobRequest(steps=(StepRequest(count=24), StepRequest(count=24, depends_on=(0,))))
    many = JobRequest(steps=(StepRequest(count=20_000),))
    wide = JobRequest(steps=(StepRequest(count=1, depends_on=tuple([0] * 2000)),))
    repeated = JobRequest(steps=(StepRequest(count=1),), repeat_count=1_000_000)
    assert estimate_kept_bytes(few) < LARGE_JOB_BYTES
    assert estimate_kept_bytes(many) > 10_000_000
    assert estimate_kept_bytes(wide) > LARGE_JOB_BYTES
    assert LARGE_JOB_BYTES < estimate_kept_bytes(repeated) < 1_000_000
