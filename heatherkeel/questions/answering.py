"""Answers questions from the partitions that this process owns."""

from __future__ import annotations

from heatherkeel.dispatch.load import measure_pools
from heatherkeel.dispatch.owner import PartitionOwner
from heatherkeel.ownership.partitions import Layout

from .messages import (
    Answer,
    JobAsked,
    JobTold,
    LayoutAsked,
    LayoutTold,
    NotOwner,
    PoolsAsked,
    PoolsTold,
    Question,
    QueueTold,
    StoreAsked,
)


def answer_question(
    owners: dict[int, PartitionOwner], layout: Layout, question: Question
) -> Answer:
    """Answer a question; an owner that doesn't read its partition must not say "unknown"."""
    if isinstance(question, LayoutAsked):
        return LayoutTold(layout=layout)
    assert not isinstance(question, StoreAsked), "answered by whoever makes the call"
    owner = owners.get(question.partition)
    if owner is None or not owner.is_restored:
        return NotOwner()
    if isinstance(question, JobAsked):
        job = owner.state.find_job(question.job_id)
        if job is None and not owner.is_current():
            return NotOwner()
        return JobTold(state=job.state.value if job else "")
    if isinstance(question, PoolsAsked):
        owner.set_leaving_workers(frozenset(question.leaving), due=frozenset(question.due))
        return PoolsTold(pools=measure_pools(owner.state))
    if not owner.is_current():
        return NotOwner()
    pending = sum(
        1
        for job in owner.state.jobs.values()
        if job.queue == question.queue and not job.has_started()
    )
    return QueueTold(pending=pending)
