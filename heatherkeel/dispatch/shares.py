"""Finds the partitions of a service whose workers can run a job."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from heatherkeel.directory.directory import DirectoryState
from heatherkeel.platform.operator import WorkerEntry

from .fitting import can_hold
from .models import Job, Step

Entries = dict[int, list[WorkerEntry]]
"""The entries of the workers that take tasks, by partition."""


def find_shares(jobs: Iterable[Job], directory: DirectoryState, *, excluded: int) -> dict[str, int]:
    """Return the other partition of its service that can run most of what is left of each job.

    Jobs of which no other partition can run a waiting step are left out.
    """
    known: dict[str, Entries] = {}
    found = {}
    for job in jobs:
        if job.service not in known:
            known[job.service] = group_entries(job.service, directory, excluded=excluded)
        partition = choose_share(job, known[job.service])
        if partition is not None:
            found[job.id] = partition
    return found


def group_entries(service: str, directory: DirectoryState, *, excluded: int) -> Entries:
    """Return the entries of a service's workers that take tasks, but of one partition."""
    configured = directory.services.get(service)
    if configured is None or configured.is_standby:
        return {}
    grouped: Entries = {}
    for worker_id, entry in directory.workers.items():
        if entry.service != service or entry.is_draining():
            continue
        partition = directory.layout.partition_of_machine(service, entry.machine or worker_id)
        if partition is not None and partition != excluded:
            grouped.setdefault(partition, []).append(entry)
    return grouped


def choose_share(job: Job, entries: Entries) -> int | None:
    """Return the partition that can run the most steps of a job; None if none helps now."""
    waiting = [step for step in job.steps() if step.is_open and step.waiting()]
    left = [step for step in job.steps() if not step.is_done()]
    helping = [partition for partition in entries if _count_held(waiting, entries[partition])]
    return max(
        sorted(helping),
        key=lambda partition: _count_held(left, entries[partition]),
        default=None,
    )


def _count_held(steps: Sequence[Step], entries: list[WorkerEntry]) -> int:
    return sum(can_hold(step.request, entries) for step in steps)
