"""Jobs that are accepted in one partition and run by another, as callers see them."""

from __future__ import annotations

import trio
from result import Err

from heatherkeel.dispatch.models import JobState
from heatherkeel.dispatch.records import StoredProgress, StoredRequest
from heatherkeel.dispatch.recovery import StoredJobs
from heatherkeel.gateway.lookup import FoundJob, Lookup, count_stored
from heatherkeel.platform.callers import JobRequest
from heatherkeel.questions.links import QuestionLinks
from heatherkeel.questions.messages import (
    Answer,
    JobAnswer,
    JobQuestion,
    NotOwner,
    Question,
    QueueAnswer,
)

from .test_lookup import FakeHolderCache, FakeStore

JOB = "00000000000000aa"
FORWARDED = JobAnswer(state="pending", forwarded_to=1)
SETTLED = JobAnswer(state="pending", forwarded_to=1, is_settled=True)


class FakeLinks(QuestionLinks):
    """Owners with these answers, by partition; others don't own theirs."""

    def __init__(self, answers: dict[int, Answer]) -> None:
        self.answers = answers
        self.asked: list[int] = []

    async def async_ask(
        self, address: str, question: Question, *, timeout_s: float = 0.5
    ) -> Answer | None:
        """Return the answer of a partition's owner."""
        if isinstance(question, JobQuestion):
            self.asked.append(question.partition)
        return self.answers.get(question.partition, NotOwner())


def make_lookup(answers: dict[int, Answer], *, down: set[int] | None = None) -> Lookup:
    """Return a lookup with these owners and an empty store."""
    store = FakeStore(down=down or set())
    return Lookup(store=store, holders=FakeHolderCache(store=store), links=FakeLinks(answers))


def find(answers: dict[int, Answer], *, down: set[int] | None = None) -> object:
    """Find the job, whose home is partition 0."""
    return trio.run(make_lookup(answers, down=down).async_find_job, 0, JOB)


def test_state_is_the_one_of_the_partition_that_runs_the_job() -> None:
    found = find({0: FORWARDED, 1: JobAnswer(state="active")})
    assert isinstance(found, FoundJob) and found.state is JobState.ACTIVE


def test_job_that_has_not_arrived_yet_is_pending() -> None:
    """Guards against 410 for an accepted job while its record is on its way."""
    found = find({0: FORWARDED, 1: JobAnswer()})
    assert isinstance(found, FoundJob) and found.state is JobState.PENDING


def test_job_that_the_other_partition_has_forgotten_is_gone() -> None:
    """Guards against a job that is shown as pending again after it has ended."""
    assert find({0: SETTLED, 1: JobAnswer()}) is None


def test_state_is_not_available_while_the_other_partition_is_away() -> None:
    """Guards against the state of a job that its owner alone knows being made up."""
    assert isinstance(find({0: FORWARDED}, down={1}), Err)


def test_unknown_job_is_asked_of_one_partition() -> None:
    """Guards against a scan of partitions for each unknown job."""
    lookup = make_lookup({0: JobAnswer()})
    assert trio.run(lookup.async_find_job, 0, JOB) is None
    assert isinstance(lookup.links, FakeLinks) and lookup.links.asked == [0]


def test_pending_jobs_are_counted_where_they_were_forwarded_to() -> None:
    """Guards against a queue length without the jobs of a queue's new service."""
    answers: dict[int, Answer] = {
        0: QueueAnswer(pending=2, forwarded_to=[1, 2]),
        1: QueueAnswer(pending=3),
        2: QueueAnswer(pending=4, forwarded_to=[0]),
    }
    assert trio.run(make_lookup(answers).async_count_pending, (0,), "quotes") == 9


def test_stored_jobs_are_counted_as_their_owner_counts_them() -> None:
    progress = StoredProgress(
        state=JobState.PENDING, queue="quotes", service="desk", accepted_wall_ms=1, forwarded_to=2
    )
    request = StoredRequest(
        queue="quotes", service="desk", accepted_wall_ms=1, request=JobRequest()
    )
    stored = StoredJobs(requests={"a": request, "b": request}, progress={"a": progress})
    assert count_stored(stored, "quotes") == QueueAnswer(pending=1, forwarded_to=[2])
    assert count_stored(stored, "books") == QueueAnswer(pending=0)
