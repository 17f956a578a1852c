"""An owner refuses large jobs for which it has no memory, if it surely may."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import pytest
import trio

from heatherkeel.admission.large_jobs import LargeJobs
from heatherkeel.admission.models import Doubt, RefusalReason
from heatherkeel.admission.service import AdmissionService
from heatherkeel.dispatch.building import LARGE_JOB_BYTES
from heatherkeel.helpers.clock import monotonic_ms, wall_ms
from heatherkeel.questions.messages import AdmissionAnswer

from .test_desk import QUESTION
from .test_service import ReadStore, make_service

OTHER = "00000000000000ff"


def make_full_service(store: ReadStore) -> AdmissionService:
    """Return the service of an owner whose memory a large job takes."""
    service = make_service(store)
    service.large_jobs = LargeJobs(state=service.desk.state, limit_bytes=LARGE_JOB_BYTES)
    service.large_jobs.promise(OTHER, LARGE_JOB_BYTES, now_ms=monotonic_ms())
    return service


def ask(service: AdmissionService, job_ids: Sequence[str]) -> list[AdmissionAnswer]:
    answers = []
    for job_id in job_ids:
        question = msgspec.structs.replace(
            QUESTION,
            job_id=job_id,
            sent_wall_ms=wall_ms(),
            kept_bytes=LARGE_JOB_BYTES,
            only_memory=True,
        )
        answers.append(trio.run(service.async_answer, question))
    return answers


def test_large_job_without_memory_is_refused_and_told_when_to_return() -> None:
    (answer,) = ask(make_full_service(ReadStore()), [QUESTION.job_id])
    assert answer.refusal == RefusalReason.NO_JOB_MEMORY.value and answer.retry_s >= 1


def test_large_job_is_refused_after_the_first_one_only() -> None:
    """Guards against jobs that are all admitted before the first of them is stored."""
    service = make_service(ReadStore())
    service.large_jobs = LargeJobs(state=service.desk.state, limit_bytes=LARGE_JOB_BYTES)
    answers = ask(service, [QUESTION.job_id, OTHER])
    assert [answer.refusal for answer in answers] == ["", RefusalReason.NO_JOB_MEMORY.value]


def test_job_that_is_stored_but_not_read_yet_is_not_refused_for_memory() -> None:
    """Guards against a refusal of a job that another entry instance has just accepted."""
    (answer,) = ask(make_full_service(ReadStore(QUESTION.job_id)), [QUESTION.job_id])
    assert (answer.refusal, answer.doubt) == ("", Doubt.KNOWN.value)


@pytest.mark.parametrize("is_new", [True, False])
def test_owner_that_is_unsure_says_so(is_new: bool) -> None:
    """Guards against a large job that is stored though nobody knows whether there is memory."""
    service = make_full_service(ReadStore(is_silent=not is_new))
    if is_new:
        service.desk.opened_ms = monotonic_ms()
    (answer,) = ask(service, [QUESTION.job_id])
    expected = Doubt.NEW_OWNER if is_new else Doubt.STORE_SILENT
    assert (answer.refusal, answer.doubt) == ("", expected.value)
