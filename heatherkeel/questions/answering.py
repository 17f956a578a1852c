"""Answers questions about the partitions that this process owns."""

from __future__ import annotations

from collections.abc import Collection

from result import Err

from heatherkeel.directory.directory import DirectoryState
from heatherkeel.dispatch.events import DurationsOffered
from heatherkeel.dispatch.forwarder import is_settled
from heatherkeel.dispatch.load import measure_pools
from heatherkeel.dispatch.models import JobState
from heatherkeel.dispatch.owner import PartitionOwner
from heatherkeel.dispatch.state import PartitionState
from heatherkeel.durations.messages import DurationsOffer, DurationsReport
from heatherkeel.platform.framing import KeyedRecord

from .messages import (
    AdmissionAnswer,
    AdmissionQuestion,
    Answer,
    GrantsQuestion,
    JobAnswer,
    JobQuestion,
    LayoutAnswer,
    LayoutQuestion,
    NotOwner,
    OperatorPartQuestion,
    OperatorQuestion,
    PoolsAnswer,
    PoolsQuestion,
    Question,
    QueueAnswer,
    SlowQuestion,
    StoreJobAnswer,
    StoreJobQuestion,
)


def answer_question(
    owners: dict[int, PartitionOwner], directory: DirectoryState, question: Question
) -> Answer:
    """Answer a question.

    An owner whose copy of its partition may be outdated must not report a job as unknown.
    """
    if isinstance(question, LayoutQuestion):
        return LayoutAnswer(layout=directory.layout, queue_homes=directory.queue_homes)
    assert not isinstance(
        question, SlowQuestion | GrantsQuestion | OperatorQuestion | OperatorPartQuestion
    ), "answered by others"
    owner = _find_restored(owners, question.partition)
    if owner is None:
        return NotOwner()
    if isinstance(question, JobQuestion):
        return _answer_job(owner, question.job_id)
    if isinstance(question, PoolsQuestion):
        owner.set_leaving_workers(
            frozenset(question.leaving),
            due=frozenset(question.due),
            yielding=frozenset(question.yielding),
        )
        offer = question.offer
        accounts = owner.exchange_accounts(offer) if offer is not None else None
        durations = _exchange_durations(owner, question.durations)
        pools = measure_pools(owner.state, with_claims=question.divides)
        held = find_held_queues(owner.state, question.removed)
        return PoolsAnswer(pools=pools, accounts=accounts, durations=durations, held=held)
    if not owner.is_current():
        return NotOwner()
    pending = sum(
        1
        for job in owner.state.jobs.values()
        if job.queue == question.queue and not job.has_started()
    )
    # What isn't stored elsewhere yet is counted nowhere else.
    pending += sum(
        1
        for job in owner.state.forwarded.values()
        if job.queue == question.queue
        and job.settled_ms is None
        and job.state_for_callers() is JobState.PENDING
    )
    forwarded_to = {
        job.partition for job in owner.state.forwarded.values() if job.queue == question.queue
    }
    return QueueAnswer(pending=pending, forwarded_to=sorted(forwarded_to))


def _answer_job(owner: PartitionOwner, job_id: str) -> JobAnswer | NotOwner:
    forwarded = owner.state.forwarded.get(job_id)
    if forwarded is not None:
        return JobAnswer(
            state=forwarded.state_for_callers().value,
            workspace=forwarded.workspace,
            forwarded_to=forwarded.partition,
            is_settled=is_settled(forwarded, owner.times()[0]),
        )
    job = owner.state.find_job(job_id)
    if job is None:
        return JobAnswer() if owner.is_current() else NotOwner()
    return JobAnswer(state=job.state_for_callers().value, workspace=job.workspace)


def find_held_queues(state: PartitionState, removed: Collection[str]) -> list[str]:
    """Return those of the removed queues that have jobs in a partition."""
    if not removed:
        return []
    held = {job.queue for job in [*state.jobs.values(), *state.finished.values()]}
    held.update(job.queue for job in state.forwarded.values())
    return sorted(held.intersection(removed))


def _find_restored(owners: dict[int, PartitionOwner], partition: int) -> PartitionOwner | None:
    """Return a partition's owner, if it is in this process and has restored its jobs."""
    owner = owners.get(partition)
    return owner if owner is not None and owner.is_restored else None


def _exchange_durations(
    owner: PartitionOwner, offer: DurationsOffer | None
) -> DurationsReport | None:
    """Take over what others know of durations, and return what this owner has learned since."""
    if offer is None:
        return None
    now_ms, wall_ms = owner.times()
    owner.handle_event(DurationsOffered(now_ms=now_ms, wall_ms=wall_ms, offer=offer))
    return owner.state.durations.make_report(offer)


async def async_store_job(
    owners: dict[int, PartitionOwner], question: StoreJobQuestion
) -> StoreJobAnswer | NotOwner:
    """Store a caller's record with those that others ask to store meanwhile."""
    owner = _find_restored(owners, question.partition)
    if owner is None:
        return NotOwner()
    record = KeyedRecord(key=question.key, value=question.value)
    stored = await owner.submissions.async_store(record)
    if isinstance(stored, Err):
        error = stored.err_value
        return StoreJobAnswer(failure=error.failure, status=error.status, detail=error.detail)
    return StoreJobAnswer()


async def async_admit_job(
    owners: dict[int, PartitionOwner], question: AdmissionQuestion
) -> AdmissionAnswer | NotOwner:
    """Decide whether a job may be stored."""
    owner = _find_restored(owners, question.partition)
    if owner is None:
        return NotOwner()
    return await owner.admission.async_answer(question)
