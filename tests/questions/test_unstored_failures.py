"""A job's failure is shown once it is stored, since the next owner knows only what is stored."""

from __future__ import annotations

from collections.abc import Callable

from heatherkeel.directory.directory import DirectoryState
from heatherkeel.dispatch.events import JobSubmitted, QueuesChanged, WorkerAnswered, WorkersListed
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


def fail_job_without_store() -> tuple[PartitionOwner, list[Callable[[], None]]]:
    """Return an owner whose job has failed, and what waits until its records are stored."""
    owner = make_owner()
    owner.is_restored = True
    now_ms, wall_ms = owner.times()
    times = {"now_ms": now_ms, "wall_ms": wall_ms}
    owner.handle_event(QueuesChanged(**times, queues={"quotes": QUEUE}))
    owner.handle_event(WorkersListed(**times, entries={"w0": make_entry()}))
    list_worker(owner)
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
    (run,) = owner.state.jobs[JOB].runs()
    run.state = RunState.RUNNING
    list_worker(
        owner,
        EndedTask(number=1, task=run.task.name, attempt=run.attempt, outcome="failed", saved=""),
    )
    assert owner.state.finished[JOB].state is JobState.FAILED
    return owner, owner.journal.batch.callbacks


def ask_state(owner: PartitionOwner) -> str:
    """Return the state that the owner answers."""
    answer = answer_question({0: owner}, DirectoryState(), JobQuestion(partition=0, job_id=JOB))
    assert isinstance(answer, JobAnswer)
    return answer.state


def test_a_failure_that_the_next_owner_may_not_know_isnt_shown() -> None:
    """Guards against `failed` from an owner without the store, for a job that others complete."""
    owner, _ = fail_job_without_store()
    assert ask_state(owner) == "active"


def test_a_failure_is_shown_once_it_is_stored() -> None:
    owner, callbacks = fail_job_without_store()
    for callback in callbacks:
        callback()
    assert ask_state(owner) == "failed"
