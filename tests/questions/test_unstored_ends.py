"""A job's end is shown once it is stored, since the next owner knows only what is stored."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from heatherkeel.directory.directory import DirectoryState
from heatherkeel.dispatch.events import (
    JobCanceled,
    JobSubmitted,
    QueuesChanged,
    Tick,
    WorkerAnswered,
    WorkersListed,
)
from heatherkeel.dispatch.models import JobState, RunState
from heatherkeel.dispatch.owner import PartitionOwner
from heatherkeel.platform.callers import JobRequest
from heatherkeel.platform.operator import Queue
from heatherkeel.platform.workers import EndedTask, Listing
from heatherkeel.questions.answering import answer_question
from heatherkeel.questions.messages import JobAnswer, JobQuestion

from ..dispatch.partition import JOB, make_entry, make_step
from ..dispatch.test_owner_end import make_owner

QUEUE = Queue(
    name="quotes",
    host="a.example",
    path_prefix="/q/",
    service="portal",
    max_failures=1,
    slack_factor=1.6,
    target_latency_ms=600,
)


def list_worker(owner: PartitionOwner, *ended: EndedTask) -> None:
    """Let the only worker answer a listing with nothing running."""
    now_ms, wall_ms = owner.times()
    listing = Listing(clock_ms=now_ms, born=1, running=[], ended=list(ended))
    owner.handle_event(
        WorkerAnswered(
            now_ms=now_ms, wall_ms=wall_ms, worker_id="w0", sent_ms=now_ms, listing=listing
        )
    )


def submit(owner: PartitionOwner) -> None:
    """Submit a job of one task."""
    now_ms, wall_ms = owner.times()
    owner.handle_event(
        JobSubmitted(
            now_ms=now_ms,
            wall_ms=wall_ms,
            job_id=JOB,
            queue="quotes",
            service="portal",
            request=JobRequest(spec="s", steps=(make_step(),)),
            accepted_wall_ms=wall_ms,
        )
    )


def end_job_without_store(outcome: str) -> tuple[PartitionOwner, list[Callable[[], None]]]:
    """Return an owner whose job has ended, and what waits until its records are stored."""
    owner = make_owner()
    owner.is_restored = True
    now_ms, wall_ms = owner.times()
    times = {"now_ms": now_ms, "wall_ms": wall_ms}
    owner.handle_event(QueuesChanged(**times, queues={"quotes": QUEUE}))
    owner.handle_event(WorkersListed(**times, entries={"w0": make_entry()}))
    list_worker(owner)
    submit(owner)
    (run,) = owner.state.jobs[JOB].runs()
    run.state = RunState.RUNNING
    list_worker(
        owner,
        EndedTask(number=1, task=run.task.name, attempt=run.attempt, outcome=outcome, saved=""),
    )
    return owner, owner.journal.batch.callbacks


def ask_state(owner: PartitionOwner) -> str:
    """Return the state that the owner answers."""
    answer = answer_question({0: owner}, DirectoryState(), JobQuestion(partition=0, job_id=JOB))
    assert isinstance(answer, JobAnswer)
    return answer.state


ENDS = {"failed": JobState.FAILED, "done": JobState.COMPLETE}
"""How a job has ended, by the outcome of its only task."""


@pytest.mark.parametrize("outcome", ENDS)
def test_an_end_that_the_next_owner_may_not_know_isnt_shown(outcome: str) -> None:
    """Guards against an end shown by an owner without the store, of a job that runs once more."""
    owner, _ = end_job_without_store(outcome)
    assert owner.state.finished[JOB].state is ENDS[outcome]
    assert ask_state(owner) == "active"


@pytest.mark.parametrize("outcome", ENDS)
def test_an_end_is_shown_once_it_is_stored(outcome: str) -> None:
    owner, callbacks = end_job_without_store(outcome)
    for callback in callbacks:
        callback()
    assert ask_state(owner) == ENDS[outcome].value


def test_a_cancellation_is_shown_at_once() -> None:
    """It is stored before the owner reads it, so each later owner knows it."""
    owner = make_owner()
    owner.is_restored = True
    now_ms, wall_ms = owner.times()
    submit(owner)
    owner.handle_event(JobCanceled(now_ms=now_ms, wall_ms=wall_ms, job_id=JOB))
    assert ask_state(owner) == "canceled"


def test_an_end_that_is_stored_late_is_shown_for_as_long_as_any() -> None:
    """Guards against a job that is forgotten at once after an outage, so that GET answers 410."""
    owner, callbacks = end_job_without_store("done")
    ended_ms = owner.state.now_ms
    for callback, after_ms in ((None, 300_000), (callbacks, 1000)):
        ended_ms += after_ms
        owner.handle_event(Tick(now_ms=ended_ms, wall_ms=ended_ms))
        for stored in callback or ():
            stored()
    assert ask_state(owner) == "complete"
